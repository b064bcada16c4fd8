#pragma once

#include <vector>

#include "src/supervisor/worker_calls.h"

namespace marjoramplank {

// Heartbeats that name an incarnation of the worker which its agent does not
// know to live. Anyone can send a heartbeat, and a delayed one comes from an
// incarnation that has ended, so each is only a claim until the worker itself
// has answered under that name.
class WorkerClaims {
 public:
  // A worker that lives repeats its heartbeat sooner than this.
  static constexpr Duration kLifetime{5000};
  // Between two questions about the same claim.
  static constexpr Duration kRetryInterval{300};
  // The claim that was heard least recently is dropped beyond this number.
  static constexpr std::size_t kMaxClaims = 8;

  void Add(Time now, const WorkerHeartbeat& heartbeat);
  // The claim to ask about now. Empty: none is due. Each is returned once per
  // retry interval.
  std::optional<WorkerIncarnation> TakeDue(Time now);
  // Removes the claim. Returns its heartbeat; empty: there is no such claim.
  std::optional<WorkerHeartbeat> Remove(const WorkerIncarnation& incarnation);

 private:
  struct Claim {
    WorkerHeartbeat heartbeat;
    Time heard_at{0};
    Time asked_at{0};  // 0: not yet.
  };
  std::vector<Claim>::iterator Find(const WorkerIncarnation& incarnation);

  std::vector<Claim> claims_;
};

}  // namespace marjoramplank
