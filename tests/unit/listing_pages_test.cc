// A worker lists its ended runs a page at a time, so one listing need not show
// every end.

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <numeric>
#include <set>

#include "src/supervisor/supervisor.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1000};
constexpr Duration kTick = 50ms;

TaskRef Task(std::int32_t index) {
  return {.job = "j", .index = index};
}

// A worker that lists one page of its ends, and the ledger and supervisor of
// its agent. Records reach the ledger after `record_delay`.
struct Rig {
  Rig(std::int32_t tasks, bool gang) : tasks(tasks) {
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "old"});
    ledger.Apply(now, WorkerReported{.agent = "agent",
                                     .incarnation = kIncarnation,
                                     .service = "s",
                                     .data_centre = "dc",
                                     .capacity = kCapacity});
    ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
    ledger.Apply(
        now, JobSubmitted{.request = {.id = "j",
                                      .account = "a",
                                      .payload = "p",
                                      .steps = {{.tasks = tasks, .gang = gang}},
                                      .terms = {.queue = "q",
                                                .service = "s",
                                                .max_attempts = 2}}});
  }

  void OrderTask(std::int32_t index) { Order({index}); }
  void OrderGang() {
    std::vector<std::int32_t> all(static_cast<std::size_t>(tasks));
    std::iota(all.begin(), all.end(), 0);
    Order(all);
  }
  void Order(const std::vector<std::int32_t>& indices) {
    RunStarted order{.epoch = 1, .first = Task(indices.front())};
    for (const std::int32_t n : indices) {
      order.members.push_back({.index = n, .incarnation = kIncarnation});
    }
    REQUIRE(ledger.Apply(now, order));
  }
  void End(std::int32_t index) {
    running.erase(Task(index));
    ended.push_back({.end_number = ++last_end, .task = Task(index)});
  }
  void RestartAgent() {
    supervisor = Supervisor({.agent = "agent", .process = "new"});
    ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  }

  void Run(Duration duration) {
    for (const Time end = now + duration; now < end; now += kTick) {
      Step();
    }
  }
  void Step() {
    for (; !in_flight.empty() && in_flight.front().first <= now;
         in_flight.pop_front()) {
      ledger.Apply(now, in_flight.front().second);
    }
    supervisor.OnHeartbeat(now, {.incarnation = kIncarnation,
                                 .service = "s",
                                 .data_centre = "dc",
                                 .capacity = kCapacity,
                                 .sequence = now.count(),
                                 .clock_ms = now.count()});
    supervisor.OnLedger(now, ledger, /*current=*/true);
    supervisor.OnAgentHeartbeatStored(now);
    for (const TaskCommand& command : supervisor.TakeCommands(now)) {
      Carry(command);
    }
    if (const auto hold = supervisor.NextHold(now)) {
      ++listings;
      supervisor.OnHoldReply(now, *hold, List(*hold));
    }
    for (const LedgerRecord& record : supervisor.TakeRecords(now)) {
      refused += std::holds_alternative<StartRefused>(record) ? 1 : 0;
      in_flight.emplace_back(now + record_delay, record);
    }
  }
  void Carry(const TaskCommand& command) {
    CommandReply reply{.kind = CommandReply::Kind::kDone,
                       .clock_ms = now.count()};
    if (const auto* start = std::get_if<StartCall>(&command)) {
      started_again += HasEnded(start->task) ? 1 : 0;
      if (loses_starts.erase(start->task) > 0) {
        reply = {};
      } else if (loses_replies.erase(start->task) > 0) {
        End(start->task.index);
        reply = {};
      } else {
        running.insert(start->task);
      }
      supervisor.OnStartReply(now, *start, reply);
    } else {
      supervisor.OnStopReply(now, std::get<StopCall>(command), reply);
    }
  }
  HoldReply List(const HoldCall& call) {
    acked = std::max(acked, call.acked_end);
    HoldReply reply{.kind = HoldReply::Kind::kOk, .clock_ms = now.count()};
    for (const TaskRef& task : running) {
      reply.running.push_back({.task = task});
    }
    for (const TaskEnded& e : ended) {
      if (e.end_number > acked && reply.ended.size() < page) {
        reply.ended.push_back(e);
      }
    }
    return reply;
  }
  bool HasEnded(const TaskRef& task) const {
    return std::any_of(ended.begin(), ended.end(),
                       [&](const TaskEnded& e) { return e.task == task; });
  }

  static constexpr Resources kCapacity{.cpu_milli = 8000, .memory_mb = 8000};
  std::int32_t tasks;
  std::size_t page = 1;
  Duration record_delay{0};
  Time now = 12s;
  Ledger ledger;
  Supervisor supervisor{{.agent = "agent", .process = "old"}};
  std::set<TaskRef> running;
  std::vector<TaskEnded> ended;
  std::set<TaskRef> loses_starts;   // Their next start is lost.
  std::set<TaskRef> loses_replies;  // So is the reply; the task ends at once.
  std::deque<std::pair<Time, LedgerRecord>> in_flight;
  std::int64_t last_end = 0;
  std::int64_t acked = 0;
  int listings = 0;
  int refused = 0;
  int started_again = 0;  // After they had ended.
};

// Guards against tasks that run again as their ends are not on the first page.
TEST_CASE("listing pages: ends beyond the first page are in doubt",
          "[supervisor]") {
  SECTION("single tasks that ended while no agent ran") {
    Rig rig(3, /*gang=*/false);
    for (std::int32_t n = 0; n < 3; ++n) {
      rig.OrderTask(n);
      rig.End(n);
    }
    rig.RestartAgent();
    rig.Run(3s);
    CHECK(rig.refused == 0);
    CHECK(rig.started_again == 0);
    CHECK(rig.ledger.FindJob("j")->phase == JobPhase::kCompleted);
  }

  SECTION("members of a gang that ended while no agent ran") {
    Rig rig(3, /*gang=*/true);
    rig.OrderGang();
    rig.RestartAgent();
    for (std::int32_t n = 2; n >= 0; --n) {
      rig.End(n);
    }
    rig.ended[0].outcome = TaskOutcome::kFailed;
    rig.Run(3s);
    CHECK(rig.refused == 0);
    CHECK(rig.acked == 3);
  }

  SECTION("a task that a restarted agent had to stop") {
    Rig rig(3, /*gang=*/false);
    for (std::int32_t n = 0; n < 3; ++n) {
      rig.OrderTask(n);
    }
    rig.Run(500ms);
    REQUIRE(rig.running.size() == 3);
    rig.record_delay = 300ms;
    for (std::int32_t n = 0; n < 3; ++n) {
      rig.End(n);
    }
    rig.ledger.Apply(rig.now,
                     RunStopped{.epoch = 1, .first = Task(2), .run = 1});
    rig.Run(3s);
    CHECK(rig.refused == 0);
    CHECK(rig.ledger.FindJob("j")->phase == JobPhase::kCompleted);
  }

  SECTION("a start that had no reply, of a task that has ended since") {
    Rig rig(3, /*gang=*/false);
    rig.OrderTask(0);
    rig.OrderTask(1);
    rig.Run(500ms);
    rig.OrderTask(2);
    rig.loses_replies = {Task(2)};
    rig.End(0);
    rig.End(1);
    rig.Run(3s);
    CHECK(rig.refused == 0);
    CHECK(rig.started_again == 0);
    CHECK(rig.ledger.FindJob("j")->phase == JobPhase::kCompleted);
  }
}

// Guards against a start in doubt that stays so, and holds up all others, for
// as long as other tasks end.
TEST_CASE("listing pages: a start that never came is settled", "[supervisor]") {
  constexpr std::int32_t kTasks = 60;
  Rig rig(kTasks + 1, /*gang=*/false);
  for (std::int32_t n = 0; n < kTasks; ++n) {
    rig.OrderTask(n);
  }
  rig.Run(1s);
  REQUIRE(rig.running.size() == kTasks);
  rig.loses_starts = {Task(kTasks)};
  rig.OrderTask(kTasks);

  SECTION("by the first listing if there are no ends") {
    rig.Run(200ms);
    CHECK(rig.running.contains(Task(kTasks)));
  }

  SECTION("while ends keep coming that the ledger does not have yet") {
    rig.page = 500;
    rig.record_delay = 300ms;
    for (std::int32_t n = 0; n < 30; ++n) {
      rig.End(n);
      rig.Step();
      rig.now += kTick;
    }
    CHECK(rig.running.contains(Task(kTasks)));
  }

  SECTION("while ends keep coming and it has to be stopped") {
    rig.page = 500;
    rig.record_delay = 300ms;
    for (std::int32_t n = 0; n < 30; ++n) {
      rig.End(n);
      rig.Step();
      rig.now += kTick;
      if (n == 0) {
        rig.ledger.Apply(
            rig.now, RunStopped{.epoch = 1, .first = Task(kTasks), .run = 1});
      }
    }
    CHECK(rig.refused == 1);
    CHECK_FALSE(rig.running.contains(Task(kTasks)));
  }
}

}  // namespace
}  // namespace marjoramplank
