#include "src/entry/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramplank {

void Membership::OnHeartbeat(Time now, const PeerHeartbeat& heartbeat) {
  PeerEntry& peer = peers_[heartbeat.entry.name];
  const bool same_run =
      peer.heartbeat.entry.incarnation == heartbeat.entry.incarnation;
  if (same_run && heartbeat.sent_at < peer.heartbeat.sent_at) {
    return;  // Reordered: a newer heartbeat was received already.
  }
  peer.heartbeat = heartbeat;
  peer.last_heartbeat_at = now;
  peer.echoed_sent_at =
      same_run ? std::max(peer.echoed_sent_at, Time{heartbeat.echoed_sent_at})
               : Time{heartbeat.echoed_sent_at};
}

PeerHeartbeat Membership::MakeHeartbeat(Time now,
                                        const std::string& peer) const {
  PeerHeartbeat out{.entry = options_.self,
                    .address = options_.address,
                    .sent_at = now.count()};
  if (const auto it = peers_.find(peer); it != peers_.end()) {
    out.echoed_sent_at = it->second.heartbeat.sent_at;
  }
  return out;
}

bool Membership::IsLive(Time now, const std::string& name) const {
  const auto it = peers_.find(name);
  return it != peers_.end() && it->second.last_heartbeat_at >= Time{0} &&
         now - it->second.last_heartbeat_at <= options_.live_timeout;
}

bool Membership::AllMembersReportLogOutage(
    Time now,
    const std::map<std::string, MemberRecord>& members,
    Offset config_version) const {
  for (const auto& [name, record] : members) {
    if (name == options_.self.name) {
      continue;
    }
    const auto it = peers_.find(name);
    if (it == peers_.end() ||
        now - it->second.echoed_sent_at > options_.outage_report_max_age ||
        it->second.heartbeat.log_visible ||
        it->second.heartbeat.config_version > config_version) {
      return false;
    }
  }
  return true;
}

std::string Membership::ChooseOwner(Time now,
                                    const std::string& region,
                                    bool self_log_readable,
                                    bool self_leaving) const {
  struct Candidate {
    std::string name;
    bool log_readable;
  };
  std::vector<Candidate> candidates;
  if (!self_leaving) {
    candidates.push_back({options_.self.name, self_log_readable});
  }
  for (const auto& [name, peer] : peers_) {
    if (IsLive(now, name) && !peer.heartbeat.shutting_down) {
      candidates.push_back({name, peer.heartbeat.log_visible});
    }
  }
  const bool any_log_readable =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& c) { return c.log_readable; });
  std::string best;
  std::uint64_t best_score = 0;
  for (const Candidate& c : candidates) {
    if (any_log_readable && !c.log_readable) {
      continue;
    }
    const std::string key = region + "/" + c.name;
    const std::uint64_t score = XXH3_64bits(key.data(), key.size());
    if (best.empty() || score > best_score) {
      best = c.name;
      best_score = score;
    }
  }
  return best;
}

}  // namespace marjoramplank
