#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/daemon/event_loop.h"
#include "src/store/ledger_writer.h"
#include "src/store/record_ring.h"

namespace marjoramplank {

// Relays the log: other processes read the records that this entry has
// buffered, and append through it. Relaying never takes more than one hop,
// since the entry itself appends to the log service directly.
class RelayServer {
 public:
  struct Partition {
    LogPartition partition;
    RecordRing* ring = nullptr;
  };

  // `writer` must append to the log service directly, not through a relay.
  RelayServer(const std::string& address,
              std::vector<Partition> partitions,
              LedgerWriter& writer);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

 private:
  class Service;
  struct ReadWaiters;

  void Wake();

  std::shared_ptr<ReadWaiters> read_waiters_;
  std::vector<Partition> partitions_;
  EventLoop loop_;
  struct Listener;
  std::unique_ptr<Listener> listener_;  // Used on the loop's thread only.
};

}  // namespace marjoramplank
