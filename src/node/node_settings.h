#pragma once

#include <string>
#include <vector>

#include "marjoramplank/inventory.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// Bounds that the platform states; the node's own time limits are derived from
// them where a node is built (platform/site_main.cc).
struct PlatformBounds {
  Duration revoke{5000};        // A key taken away is refused within this.
  Duration max_lease{10000};    // Longest lease that a worker gives.
  Duration gang_timeout{3000};  // Members wait this long for each other.
  Duration grace{6000};         // From SIGTERM to SIGKILL.
  Duration reclaim{2700};       // A guaranteed job has started within this.

  friend bool operator==(const PlatformBounds&,
                         const PlatformBounds&) = default;
};

// Settings of an entry or agent that runs on the platform's log service. JSON;
// faults are listed with their paths.
struct NodeSettings {
  std::string name;               // Of the machine. Required.
  std::string data_centre;        // Where it stands. Required.
  std::string store;              // "IP:port" of the log service. Required.
  std::string client_address;     // Entry: takes callers' requests.
  std::string readiness_address;  // Entry: asked whether it takes connections.
  std::string relay_address;      // Entry: other processes read the log here.
  std::string metrics_address;    // Counters, at /metrics. Empty: none.
  std::string worker_address;     // Agent: takes its worker's heartbeats.
  std::string endpoint;           // Agent: "IP:port" of its worker.
  PlatformBounds bounds;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

NodeSettings ParseNodeSettings(const std::string& text,
                               std::vector<FieldError>& errors);

}  // namespace marjoramplank
