#pragma once

#include "src/jobs/generated/ledger.capnp.h"
#include "src/run_times/run_time_model.h"

namespace marjoramplank {

// The part of a ledger snapshot that holds the run-time model.
class RunTimeSnapshot {
 public:
  static void Write(const RunTimeModel& in, ledger_wire::RunTimes::Builder out);
  // Numbers that are not finite count as 0. Times that are not replicated are
  // set to `now`.
  static RunTimeModel Read(Time now, ledger_wire::RunTimes::Reader in);
};

}  // namespace marjoramplank
