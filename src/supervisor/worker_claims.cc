#include "src/supervisor/worker_claims.h"

#include <algorithm>

namespace marjoramplank {

std::vector<WorkerClaims::Claim>::iterator WorkerClaims::Find(
    const WorkerIncarnation& incarnation) {
  return std::find_if(claims_.begin(), claims_.end(), [&](const Claim& c) {
    return c.heartbeat.incarnation == incarnation;
  });
}

void WorkerClaims::Add(Time now, const WorkerHeartbeat& heartbeat) {
  const auto known = Find(heartbeat.incarnation);
  if (known != claims_.end()) {
    const bool was_leaving = known->heartbeat.leaving;
    if (heartbeat.sequence >= known->heartbeat.sequence) {
      known->heartbeat = heartbeat;
      known->heartbeat.leaving = heartbeat.leaving || was_leaving;
    }
    known->heard_at = now;
    return;
  }
  if (claims_.size() >= kMaxClaims) {
    claims_.erase(std::min_element(claims_.begin(), claims_.end(),
                                   [](const Claim& a, const Claim& b) {
                                     return a.heard_at < b.heard_at;
                                   }));
  }
  claims_.push_back({.heartbeat = heartbeat, .heard_at = now});
}

std::optional<WorkerIncarnation> WorkerClaims::TakeDue(Time now) {
  std::erase_if(claims_,
                [&](const Claim& c) { return now - c.heard_at > kLifetime; });
  const auto it =
      std::find_if(claims_.begin(), claims_.end(), [&](const Claim& c) {
        return c.asked_at == Time{0} || now - c.asked_at >= kRetryInterval;
      });
  if (it == claims_.end()) {
    return std::nullopt;
  }
  it->asked_at = now;
  return it->heartbeat.incarnation;
}

std::optional<WorkerHeartbeat> WorkerClaims::Remove(
    const WorkerIncarnation& incarnation) {
  const auto it = Find(incarnation);
  if (it == claims_.end()) {
    return std::nullopt;
  }
  WorkerHeartbeat out = std::move(it->heartbeat);
  claims_.erase(it);
  return out;
}

}  // namespace marjoramplank
