#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramplank::soak {

// A worker as its own heartbeats describe it.
struct WorkerIdentity {
  std::string id;
  std::string address;
  std::string agent;  // Address for its heartbeats.
  std::string zone;
  std::string rack;
  std::string service;
  std::int64_t born = 0;
};

struct Message {
  std::string target;
  std::string body;
};

constexpr int kHeartbeatVariants = 16;

// A heartbeat of another writer, or of an earlier life, as the worker's agent
// may receive it.
Message ForeignHeartbeat(const WorkerIdentity& worker, int variant);

// A record of the operator's keyed topic that is none of the operator's.
Message OddEntry(int variant);

}  // namespace marjoramplank::soak
