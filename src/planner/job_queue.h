#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>

#include "marjoramplank/job_spec.h"
#include "src/planner/worker_table.h"

namespace marjoramplank {

// Jobs of one class are equivalent for placement: if one does not fit, none of
// them does.
struct JobClass {
  Priority priority = Priority::kNormal;
  std::int32_t tasks = 1;
  TaskShape shape;
  Adjacency adjacency = Adjacency::kDataCentre;
  bool may_borrow = true;  // May run on capacity guaranteed to other accounts.
  // log2 of the expected run time in seconds.
  std::int32_t run_time_octave = 0;

  friend auto operator<=>(const JobClass&, const JobClass&) = default;
};

// Waiting jobs of one class, oldest first. Entries of removed jobs are skipped
// when they reach the front, so that a removal is O(1).
struct ClassQueue {
  std::deque<JobIndex> jobs;
  // Capacity epoch at which the head was last found not to fit; it is not tried
  // again in the same epoch. 0: none.
  std::uint64_t blocked_at_epoch = 0;
};

// Waiting jobs of one account by class. The number of classes stays small
// however many jobs wait, so the cost of a scheduling pass does not grow with
// the queue.
struct JobQueue {
  std::map<JobClass, ClassQueue> classes;
  std::int32_t size = 0;  // Waiting jobs, without stale entries.
};

}  // namespace marjoramplank
