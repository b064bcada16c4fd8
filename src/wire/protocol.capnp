@0xd5b8a7c3f1e24690;
# Protocol between the processes of marjoramplank. See messages.h for what each message means.
# Regenerate with: capnp compile -oc++ protocol.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("marjoramplank::rpc");

struct ProcessId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct TaskReport {
  job @0 :Text;
  attempt @1 :Int32;
  task @2 :Int32;
  acceleratorMask @3 :UInt32;
  state @4 :UInt8;
  reason @5 :Text;
}

struct AgentReport {
  agent @0 :ProcessId;
  dataCentre @1 :Text;
  sequence @2 :UInt64;
  sentAt @3 :Int64;
  leaving @4 :Bool;
  configVersion @5 :Int64;
  tasks @6 :List(TaskReport);
}

struct EntryBeat {
  entry @0 :ProcessId;
  echo @1 :Int64;
  fresh @2 :Bool;
  configVersion @3 :Int64;
  dataCentreOut @4 :Bool;
  cordoned @5 :Bool;
  entries @6 :List(Text);
}

struct Placement {
  task @0 :Int32;
  worker @1 :Text;
  acceleratorMask @2 :UInt32;
}

struct Prepare {
  job @0 :Text;
  attempt @1 :Int32;
  entry @2 :ProcessId;
  agentIncarnation @3 :UInt64;
  cores @4 :Int32;
  memoryMb @5 :Int32;
  accelerators @6 :Int32;
  tasks @7 :List(Placement);
  payload @8 :Text;
  ttlMs @9 :Int64;
  traceparent @10 :Text;
  gangTasks @11 :Int32;
}

struct AttemptReply {  # PrepareReply and CommitReply.
  agent @0 :ProcessId;
  job @1 :Text;
  attempt @2 :Int32;
  ok @3 :Bool;
  reason @4 :Text;
}

struct Commit {
  job @0 :Text;
  attempt @1 :Int32;
  entry @2 :ProcessId;
  agentIncarnation @3 :UInt64;
}

struct Stop {
  job @0 :Text;
  attempt @1 :Int32;
  checkpoint @2 :Bool;
  boundMs @3 :Int64;
}

struct StopReply {
  agent @0 :ProcessId;
  job @1 :Text;
  attempt @2 :Int32;
  verdict @3 :UInt8;
}

struct AnswerPart {
  agent @0 :ProcessId;
  job @1 :Text;
  attempt @2 :Int32;
  task @3 :Int32;
  data @4 :Text;
}

struct Collect {
  job @0 :Text;
  attempt @1 :Int32;
  entry @2 :ProcessId;
}

struct Forget {
  job @0 :Text;
  attempt @1 :Int32;
}

struct PeerBeat {
  entry @0 :ProcessId;
  address @1 :Text;
  sentAt @2 :Int64;
  echo @3 :Int64;
  logVisible @4 :Bool;
  position @5 :Int64;
  configVersion @6 :Int64;
  owned @7 :List(Text);
  leaving @8 :Bool;
}

struct Query {
  id @0 :UInt64;
  entry @1 :ProcessId;
  kind @2 :UInt8;
  subject @3 :Text;
}

struct QueryReply {
  id @0 :UInt64;
  body @1 :Text;
}

struct Message {
  union {
    agentReport @0 :AgentReport;
    entryBeat @1 :EntryBeat;
    prepare @2 :Prepare;
    prepareReply @3 :AttemptReply;
    commit @4 :Commit;
    commitReply @5 :AttemptReply;
    stop @6 :Stop;
    stopReply @7 :StopReply;
    answerPart @8 :AnswerPart;
    forget @9 :Forget;
    peerBeat @10 :PeerBeat;
    query @11 :Query;
    queryReply @12 :QueryReply;
    spanBatch @13 :List(Text);
    collect @14 :Collect;
  }
}

# Introduces a process to another at the start of a connection.
struct Hello {
  process @0 :ProcessId;
  isEntry @1 :Bool;
}

interface Node {
  attach @0 (hello :Hello, node :Node) -> (hello :Hello);
  deliver @1 (message :Message) -> ();
}
