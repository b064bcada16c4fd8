#pragma once

#include "src/jobs/generated/ledger.capnp.h"
#include "src/jobs/ledger.h"

namespace marjoramplank {

// The part of a ledger snapshot that holds one job. Equal units in a row are
// written once, and so are equal occurrences: most tasks of a large job are
// untouched or done.
class JobSnapshot {
 public:
  static void Write(const LedgerJob& in, ledger_wire::JobState::Builder out);
  // Times that are not replicated are set to `now`. Check IsSound() before use.
  static LedgerJob Read(Time now, ledger_wire::JobState::Reader in);
  // True if the job can be scheduled: its units are those of its steps.
  static bool IsSound(const LedgerJob& job);
};

}  // namespace marjoramplank
