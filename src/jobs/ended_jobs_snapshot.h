#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "src/jobs/generated/ledger.capnp.h"
#include "src/jobs/ledger.h"

namespace marjoramplank {

// The part of a ledger snapshot that holds the ended jobs, which are by far the
// most. They differ by little but their ids.
class EndedJobsSnapshot {
 public:
  using Jobs = std::map<std::string, LedgerJob>;

  // Returns the ids of the jobs that it has written.
  static std::set<std::string_view> Write(
      const Jobs& jobs,
      const std::deque<std::string>& ended_order,
      ledger_wire::Snapshot::Builder out);
  // Adds the jobs and their order. Jobs that are inconsistent are left out.
  static void Read(Time now,
                   ledger_wire::Snapshot::Reader in,
                   Jobs& jobs,
                   std::deque<std::string>& ended_order);
};

}  // namespace marjoramplank
