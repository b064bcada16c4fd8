#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/inventory.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// JSON settings files of the daemons. Every key is optional unless marked as
// required. The parsers in settings.cc show the key of each field.

struct LogSettings {
  std::string level = "info";  // trace, debug, info, warning, error.
  bool json = false;           // One JSON object per line.

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

struct EntrySettings {
  std::string name;  // Instance name, unique among the entries. Required.
  // Listen addresses, "IP:port"; port 0 picks a free one.
  std::string http_address = "127.0.0.1:8080";  // For clients and operators.
  std::string rpc_address = "127.0.0.1:0";      // For the other processes.
  // "IP:port" of the platform's log service. Required.
  std::string platform_log_address;
  // RPC addresses of the entries to connect to at the start. Further entries
  // are discovered.
  std::vector<std::string> peer_addresses;
  // Requests served at once, long polls included. 4 to 4096.
  std::int32_t http_threads = 128;
  // Of an append or another call to the log service. 50 ms to 60 s.
  Duration append_timeout{2'000};
  // For a submission to be recorded. 100 ms to 60 s.
  Duration submit_timeout{5'000};
  Duration shutdown_timeout{30'000};  // Of a graceful shutdown. 0 to 1 h.
  // Longest time between two snapshots; must be well below the log's retention.
  // 1 s to 30 days.
  Duration snapshot_interval{3'600'000};
  // Records after which a snapshot is due before the interval ends. 10 to 10^9.
  std::int64_t snapshot_records = 20'000;
  LogSettings logging;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

struct AgentSettings {
  std::string worker;       // Name of the worker in the inventory. Required.
  std::string data_centre;  // Required.
  // "IP:port" of the endpoint on the worker. Required.
  std::string endpoint_address;
  // RPC addresses of the entries to connect to at the start. Further entries
  // are discovered. Required.
  std::vector<std::string> entry_addresses;
  // Listen address for metrics and debug views, "IP:port"; port 0 picks a free
  // one.
  std::string http_address = "127.0.0.1:0";
  std::int32_t cores = 0;         // Of the endpoint. Required.
  std::int32_t memory_mb = 0;     // Of the endpoint. Required.
  std::int32_t accelerators = 0;  // Of the endpoint. 0 to 16.
  std::int32_t slots = 8;         // Of the endpoint. 1 to 1024.
  Duration lease{10'000};  // Lease of each task at the worker. 1 s to 10 min.
  // Wait for running tasks after SIGTERM. 0: until they end. Up to 30 days.
  Duration shutdown_timeout{0};
  LogSettings logging;

  friend bool operator==(const AgentSettings&, const AgentSettings&) = default;
};

// Parses and checks the text of a settings file. Returns every error with the
// path of its field.
std::variant<EntrySettings, std::vector<FieldError>> ParseEntrySettings(
    const std::string& text);
std::variant<AgentSettings, std::vector<FieldError>> ParseAgentSettings(
    const std::string& text);

// Returns the settings as JSON text, defaults included.
std::string ToJsonText(const EntrySettings& settings);
std::string ToJsonText(const AgentSettings& settings);

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};
// Splits "IP:port". The address must be valid, as the parsers ensure.
HostPort SplitAddress(const std::string& address);

}  // namespace marjoramplank
