#pragma once

#include <optional>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {

// The heartbeat's worker lives: it sends the heartbeat, and answers the agent's
// question. `s` must have read its own heartbeat on the ledger. Returns false
// if the agent did not ask.
inline bool HearWorker(Supervisor& s,
                       Time now,
                       const WorkerHeartbeat& heartbeat) {
  s.OnHeartbeat(now, heartbeat);
  const std::optional<HoldCall> call = s.NextHold(now);
  if (!call || !call->verifies_incarnation ||
      call->incarnation != heartbeat.incarnation) {
    return false;
  }
  s.OnHoldReply(now, *call,
                {.kind = HoldReply::Kind::kOk,
                 .started_at_unix_ms = heartbeat.incarnation.started_at_unix_ms,
                 .clock_ms = heartbeat.clock_ms});
  return true;
}

}  // namespace marjoramplank
