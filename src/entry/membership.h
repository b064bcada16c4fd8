#pragma once

#include <map>
#include <string>
#include <vector>

#include "marjoramplank/time.h"
#include "src/log/records.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// State of another entry, from its heartbeats.
struct PeerEntry {
  PeerHeartbeat heartbeat;     // Latest heartbeat.
  Time last_heartbeat_at{-1};  // When it arrived. Negative: never.
  // Local send time of the newest heartbeat that the peer has echoed. The
  // content of `heartbeat` was true after this instant.
  Time echoed_sent_at{-1};
};

struct MembershipOptions {
  ProcessId self;       // Required.
  std::string address;  // RPC address of this process.
  Duration heartbeat_interval = 200ms;
  Duration live_timeout = 2s;  // A peer that is silent for longer is dead.
  // Maximum age of a peer's statement that it cannot read the log.
  Duration outage_report_max_age = 700ms;
  // A new owner of a region takes effect after it was stable for this long.
  Duration hold_down = 500ms;
};

// Tracks the live entries and assigns each region to one of them by rendezvous
// hashing over the live entries that can read the log. Safety does not depend
// on the assignment.
class Membership {
 public:
  explicit Membership(MembershipOptions options)
      : options_(std::move(options)) {}

  void OnHeartbeat(Time now, const PeerHeartbeat& heartbeat);
  void Forget(const std::string& name) { peers_.erase(name); }

  // Returns a heartbeat for a peer. The caller sets the fields about the log.
  PeerHeartbeat MakeHeartbeat(Time now, const std::string& peer) const;

  bool IsLive(Time now, const std::string& name) const;
  const std::map<std::string, PeerEntry>& peers() const { return peers_; }
  const MembershipOptions& options() const { return options_; }

  // Returns true if all other members listed on the log have recently reported
  // that they cannot read the log either, and none has a newer configuration.
  // No configuration change can have been accepted in that case.
  bool AllMembersReportLogOutage(
      Time now,
      const std::map<std::string, MemberRecord>& members,
      Offset config_version) const;

  // Returns the entry that should plan the region.
  std::string ChooseOwner(Time now,
                          const std::string& region,
                          bool self_log_readable,
                          bool self_leaving) const;

 private:
  MembershipOptions options_;
  std::map<std::string, PeerEntry> peers_;
};

}  // namespace marjoramplank
