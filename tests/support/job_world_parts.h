#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/support/job_world.h"

namespace marjoramplank {

// What the world is made of, for its own files alone.

struct JobWorld::FakeWorkerRun {
  std::int32_t run = 1;
  Time ends{0};
  bool fails = false;
  bool stopping = false;
  bool gang = false;
  Time begun{0};
};

struct JobWorld::FakeWorker {
  WorkerLife life;
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;  // Its clock: now.
  std::map<TaskRef, FakeWorkerRun> runs;
  std::map<TaskRef, std::int32_t> highest;  // Run stopped or ended here.
  std::vector<TaskEnded> ended;
  // Ends that were listed before the lease ran out: noting them counts no more.
  std::set<std::int64_t> lapsed_ends;
  std::map<std::int64_t, Time> end_times;
  std::int64_t last_end = 0;
};

struct JobWorld::Agent {
  std::string name;
  std::string data_centre;
  std::int32_t process = 0;
  FakeWorker worker;
  std::unique_ptr<Supervisor> supervisor;
  Ledger ledger;
  std::size_t read = 0;
  Time next_beat{0};
  Time next_heartbeat{0};
  Time down_until{0};
  Time cut_until{0};
  std::int64_t sequence = 0;
};

struct JobWorld::Delayed {
  Time at{0};
  Agent* agent = nullptr;
  OrderCall call;
};

// The members of one run of a gang.
struct JobWorld::GangFacts {
  std::int32_t size = 1;
  std::set<std::int32_t> present;
  Time ends = kNever;   // Once all are present.
  bool broken = false;  // A member ended otherwise than done.
};

struct JobWorld::TaskFacts {
  std::set<std::string> running_on;  // Worker names.
  bool done_noted = false;           // An end as done was taken note of.
  Time last_start{0};
  std::int32_t failed = 0;
};

}  // namespace marjoramplank
