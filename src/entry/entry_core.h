#pragma once

#include <string>
#include <vector>

#include "src/entry/entry_io.h"
#include "src/entry/entry_state.h"

namespace marjoramplank {

// State machine of an entry instance: admission, log replay, membership,
// planning of the regions that it owns, gang starts and answers. It uses no
// sockets, threads or clocks: a host passes inputs to Step() and carries out
// the outputs.
class EntryCore {
 public:
  EntryCore(EntryOptions options, Metrics* metrics);

  std::vector<EntryOutput> Step(Time now, const EntryInput& input);

  // Offset from which the host reads the log next.
  Offset NextOffset() const;

  // Returns true if requests can be served.
  bool IsReady(Time now) const;

  // Returns true if the process may exit after BeginShutdown.
  bool IsDrained(Time now) const;

  std::string DebugState(Time now) const;  // JSON text.
  const EntryState& state() const { return state_; }

 private:
  void OnPeerMessage(Time now, const std::string& peer, const Message& message);
  void OnTick(Time now);
  void SendHeartbeats(Time now);
  void UpdateGauges(Time now);

  EntryState state_;
};

}  // namespace marjoramplank
