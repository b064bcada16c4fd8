#pragma once

#include <string>
#include <vector>

#include "marjoramplank/inventory.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// Time limits that the platform guarantees or requires. The timeouts of a node
// are derived from them in platform/site_main.cc.
struct PlatformBounds {
  Duration key_revocation{5000};  // A revoked API key is rejected within this.
  Duration max_lease{10000};      // Longest lease that a worker grants.
  Duration gang_timeout{3000};    // Gang members wait this long for each other.
  Duration grace{6000};           // From SIGTERM to SIGKILL.
  Duration reclaim{2700};         // A guaranteed job starts within this.
  std::int32_t ends_per_listing = 500;  // That a worker lists at once.

  friend bool operator==(const PlatformBounds&,
                         const PlatformBounds&) = default;
};

// Settings of an entry or agent that runs on the platform's log service.
struct NodeSettings {
  std::string name;               // Name of the machine. Required.
  std::string data_centre;        // Data centre of the machine. Required.
  std::string store_address;      // "IP:port" of the log service. Required.
  std::string client_address;     // Entry: serves client requests.
  std::string readiness_address;  // Entry: serves readiness checks.
  std::string relay_address;      // Entry: relays the log to other processes.
  std::string metrics_address;    // Serves /metrics. Empty: disabled.
  std::string worker_address;     // Agent: receives its worker's heartbeats.
  std::string endpoint_address;   // Agent: "IP:port" of its worker's endpoint.
  PlatformBounds bounds;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

// Parses JSON settings. Adds each fault, with its path, to `errors`.
NodeSettings ParseNodeSettings(const std::string& text,
                               std::vector<FieldError>& errors);

}  // namespace marjoramplank
