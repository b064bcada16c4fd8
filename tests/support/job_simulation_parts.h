#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/support/job_simulation.h"

namespace marjoramplank {

// Private types of the simulation.

struct JobSimulation::FakeWorkerRun {
  std::int32_t run = 1;
  Time ends_at{0};
  bool will_fail = false;
  bool is_stopping = false;
  bool gang = false;
  Time started_at{0};
};

struct JobSimulation::FakeWorker {
  WorkerIncarnation incarnation;
  bool is_lost = false;      // Its process is gone: no heartbeat, no answer.
  bool is_crashing = false;  // A task has just made it crash.
  Time silent_until{0};
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;  // Worker's clock, ms.
  // The worker's clock is behind simulated time by the time it was suspended.
  Duration clock_lag{0};
  std::map<TaskRef, FakeWorkerRun> runs;
  // Highest run of each task that was stopped or has ended here.
  std::map<TaskRef, std::int32_t> highest_ended_run;
  std::vector<TaskEnded> ended;  // Not acknowledged yet.
  // Ended runs that were still unacknowledged when the lease expired. Their
  // acknowledgement does not count as a confirmed end.
  std::set<std::int64_t> ends_before_lease_expiry;
  std::map<std::int64_t, Time> end_time_by_number;
  std::int64_t last_end_number = 0;
};

// A call that the worker carries out at `arrives_at` and that the agent gets
// the reply of at `replied_at`.
struct JobSimulation::CommandInFlight {
  TaskCommand call;
  Time arrives_at{0};
  Time replied_at{0};
  bool has_arrived = false;
  CommandReply reply;
};

struct JobSimulation::HoldInFlight {
  HoldCall call;
  Time sent_at{0};
  Time arrives_at{0};
  Time listed_by = kNever;  // Once it has arrived: when it is answered at last.
  Time replied_at = kNever;
  Duration reply_latency{0};
  HoldReply reply;
};

struct JobSimulation::PendingRecord {
  LedgerRecord record;
  Time sent_at{0};
  Time stored_at{0};
};

struct JobSimulation::Agent {
  std::string name;
  std::string data_centre;
  std::int32_t process = 0;
  FakeWorker worker;
  std::unique_ptr<Supervisor> supervisor;
  Ledger ledger;
  std::size_t next_record = 0;
  Time next_agent_heartbeat_at{0};
  Time next_worker_heartbeat_at{0};
  Time down_until{0};
  Time started_at{0};  // Its process.
  Time log_outage_until{0};
  Time suspended_until{0};
  Time paused_until{0};           // The agent alone.
  Duration suspended_unheard{0};  // Since its last heartbeat in the log.
  std::int64_t sequence = 0;
  std::deque<TaskCommand> queue;
  std::vector<CommandInFlight> commands;
  std::optional<HoldInFlight> hold;
  std::deque<PendingRecord> sent_records;
  Time next_delay_at{0};
  Duration read_delay{0};
};

struct JobSimulation::DelayedCommand {
  Time deliver_at{0};
  Agent* agent = nullptr;
  TaskCommand call;
};

struct JobSimulation::LateCopy {
  Time stored_at{0};
  LedgerRecord record;
};

// One run of a gang.
struct JobSimulation::GangRun {
  std::int32_t size = 1;
  std::set<std::int32_t> started_members;
  Time ends_at = kNever;           // Set once all members have started.
  bool has_failed_member = false;  // A member ended, but not as done.
};

struct JobSimulation::TaskHistory {
  std::set<std::string> running_on;  // Worker names.
  bool done_acknowledged = false;    // The agent acknowledged its completion.
  Time last_started_at{0};
  bool reported_overlap = false;
  std::int32_t failed_runs = 0;
  std::int32_t crashed_workers = 0;  // That ran it at the time.
  std::set<std::string> crashed_on;  // Their names.
  std::int32_t starts_after_third_crash = 0;
};

}  // namespace marjoramplank
