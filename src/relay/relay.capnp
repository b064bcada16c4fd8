# What an entry does for processes that reach it but not the log service, or
# that spare the log service their reads.
@0xb3f1d0a96c2e7745;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramplank::relay_wire");

struct LogRecord {
  offset @0 :Int64;
  bytes @1 :Data;
}

interface Relay {
  # Records of a partition from an offset on, as this entry has read them.
  # `known` is false if the entry does not follow the partition or has not yet
  # read it to its end; `kept` is false if it no longer has records that far
  # back.
  read @0 (topic :Text, part :Int32, offset :Int64, waitMs :Int64)
      -> (known :Bool, kept :Bool, first :Int64, end :Int64, ageMs :Int64,
          records :List(LogRecord));

  # Appends to the ledger. Outcome: 0 stored, 1 not stored, 2 unknown.
  append @1 (records :List(Data), limitMs :Int64) -> (outcome :UInt8);
}
