// Entries of another writer between those of the system: the good ones are all
// followed, as if the odd ones were not there.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <vector>

#include "platform/rules_decoder.h"
#include "platform/worker_api.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/supervisor/supervisor.h"
#include "tests/support/heard_worker.h"

namespace marjoramplank {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1000};

std::string Nested(int depth) {
  const auto n = static_cast<std::size_t>(depth);
  return std::string(n, '[') + std::string(n, ']');
}

// A JSON value that no number of a message may have.
std::string OddNumber() {
  return *rc::gen::oneOf(
      rc::gen::element<std::string>("1e999", "-1e999", "1e300", "{}", "[]",
                                    "[null]", "true", R"("7")", "-1.5e30",
                                    "99999999999999999999"),
      rc::gen::map(
          rc::gen::inRange<std::int64_t>(
              std::int64_t{1} << 54, std::numeric_limits<std::int64_t>::max()),
          [](std::int64_t n) { return std::to_string(n); }),
      rc::gen::map(rc::gen::inRange<std::int64_t>(
                       std::numeric_limits<std::int64_t>::min(), -(1LL << 40)),
                   [](std::int64_t n) { return std::to_string(n); }),
      rc::gen::map(rc::gen::inRange(33, 5'000), Nested));
}

std::string OddAddress() {
  return *rc::gen::oneOf(
      rc::gen::map(rc::gen::inRange<std::int64_t>(65'536, 1LL << 40),
                   [](std::int64_t port) {
                     return "\"10.0.0.9:" + std::to_string(port) + "\"";
                   }),
      rc::gen::map(rc::gen::inRange<std::int64_t>(-(1LL << 40), 1),
                   [](std::int64_t port) {
                     return "\"10.0.0.9:" + std::to_string(port) + "\"";
                   }),
      rc::gen::element<std::string>("7", "{}", R"("")", R"("10.0.0.9")"));
}

struct Fields {
  std::string address = R"("10.0.0.9:8080")";
  std::string cpu = "8000";
  std::string sequence = "1";
  std::string born = "1000";
  std::string clock = "500";
};

std::string HeartbeatBody(const Fields& f) {
  return R"({"service":"s","zone":"z","state":"ready","labels":["a","r"],)"
         R"("address":)" +
         f.address + R"(,"capacity":{"cpu":)" + f.cpu + R"(},"sequence":)" +
         f.sequence + R"(,"born":)" + f.born + R"(,"clockMs":)" + f.clock + "}";
}

std::string OddHeartbeatBody() {
  Fields f;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      f.address = OddAddress();
      break;
    case 1:
      f.cpu = OddNumber();
      break;
    case 2:
      f.sequence = OddNumber();
      break;
    case 3:
      f.born = OddNumber();
      break;
    default:
      f.clock = OddNumber();
      break;
  }
  return HeartbeatBody(f);
}

// Overwrites some bytes of a text and may truncate it.
std::string Corrupt(std::string text) {
  const auto changes =
      *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
          rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(),
                        rc::gen::arbitrary<char>()));
  for (const auto& [at, c] : changes) {
    text[at % text.size()] = c;
  }
  const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
  return *rc::gen::arbitrary<bool>() ? text.substr(0, cut) : text;
}

std::optional<WorkerReported> ReportOf(Supervisor& supervisor, Time now) {
  for (const LedgerRecord& record : supervisor.TakeRecords(now)) {
    if (const auto* report = std::get_if<WorkerReported>(&record)) {
      return *report;
    }
  }
  return std::nullopt;
}

TEST_CASE("odd heartbeats between those of the worker",
          "[property][decoder][odd]") {
  rc::prop("the worker's last heartbeat counts", [] {
    const auto is_odd =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    Supervisor supervisor({.agent = "a", .process = "p"});
    Ledger ledger;
    ledger.Apply(10s, AgentHeartbeat{.agent = "a", .process = "p"});
    supervisor.OnLedger(10s, ledger, /*current=*/false);
    std::int64_t good = 0;
    for (const bool odd : is_odd) {
      if (odd) {
        RC_ASSERT(!platform::DecodeHeartbeat("w", OddHeartbeatBody()));
        (void)platform::DecodeHeartbeat("w", Corrupt(HeartbeatBody({})));
        continue;
      }
      ++good;
      const auto heartbeat = platform::DecodeHeartbeat(
          "w", HeartbeatBody({.cpu = std::to_string(8000 + good),
                              .sequence = std::to_string(good)}));
      RC_ASSERT(heartbeat.has_value());
      const bool was_taken = good > 1
                                 ? supervisor.OnHeartbeat(10s, *heartbeat) ==
                                       Supervisor::HeartbeatVerdict::kTaken
                                 : HearWorker(supervisor, 10s, *heartbeat);
      RC_ASSERT(was_taken);
    }
    const std::optional<WorkerReported> report = ReportOf(supervisor, 10s);
    RC_ASSERT(report.has_value() == (good > 0));
    RC_ASSERT(!report ||
              (report->incarnation == kIncarnation && report->accepting &&
               report->capacity.cpu_milli == 8000 + good));
  });
}

JobRequest MakeJob(std::int64_t number) {
  return {.id = "j" + std::to_string(number),
          .steps = {{.tasks = 2}, {.tasks = 1, .after = {0}}}};
}

LedgerRecord OddRecord() {
  constexpr std::int64_t kTooMuch = std::int64_t{1} << 54;
  const std::int64_t n =
      *rc::gen::oneOf(rc::gen::inRange<std::int64_t>(
                          kTooMuch, std::numeric_limits<std::int64_t>::max()),
                      rc::gen::inRange<std::int64_t>(
                          std::numeric_limits<std::int64_t>::min(), -kTooMuch));
  const auto small = static_cast<std::int32_t>(*rc::gen::inRange<std::int64_t>(
      30'000, std::numeric_limits<std::int32_t>::max()));
  JobRequest job = MakeJob(-1);
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      job.steps[0].tasks = *rc::gen::element(small, -small);
      return JobSubmitted{.request = job};
    case 1:
      job.steps[1].after = {*rc::gen::element(small, -small)};
      return JobSubmitted{.request = job};
    case 2:
      job.recurrence.occurrence_count = *rc::gen::element(small, -small);
      return JobSubmitted{.request = job};
    case 3:
      job.steps[0].need.memory_mb = n;
      return JobSubmitted{.request = job};
    case 4:
      return WorkerReported{.agent = "a",
                            .incarnation = kIncarnation,
                            .service = "s",
                            .capacity = {.cpu_milli = n}};
    case 5:
      return PlannerElected{.entry = "odd", .epoch = n};
    case 6:
      return TaskEnded{.incarnation = kIncarnation, .end_number = n};
    default:
      return WorkerReported{.agent = "a",
                            .incarnation = {.id = "w", .started_at_unix_ms = n},
                            .service = "s"};
  }
}

LedgerRecord GoodRecord(std::int64_t number) {
  switch (number % 3) {
    case 0:
      return PlannerElected{.entry = "e", .epoch = number + 1};
    case 1:
      return JobSubmitted{.request = MakeJob(number)};
    default:
      return WorkerReported{.agent = "a",
                            .incarnation = kIncarnation,
                            .service = "s",
                            .capacity = {.cpu_milli = number}};
  }
}

void ApplyBytes(Ledger& ledger, const std::string& bytes) {
  if (const std::optional<LedgerRecord> record = DecodeRecord(bytes)) {
    ledger.Apply(1s, *record);
  }
}

TEST_CASE("odd records between those of the system",
          "[property][decoder][odd]") {
  rc::prop("the ledger is the same without them", [] {
    const auto is_odd =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    Ledger ledger;
    Ledger expected;
    std::int64_t good = 0;
    for (const bool odd : is_odd) {
      if (odd) {
        ApplyBytes(ledger, EncodeRecord(OddRecord()));
        continue;
      }
      const std::string bytes = EncodeRecord(GoodRecord(good++));
      ApplyBytes(ledger, bytes);
      ApplyBytes(expected, bytes);
    }
    RC_ASSERT(LedgerSnapshot::Save(ledger, good) ==
              LedgerSnapshot::Save(expected, good));
  });
  rc::prop("damaged records and snapshots end no process", [] {
    Ledger ledger;
    for (std::int64_t n = 0; n < 9; ++n) {
      const std::string bytes = EncodeRecord(GoodRecord(n));
      ApplyBytes(ledger, bytes);
      ApplyBytes(ledger, Corrupt(bytes));
    }
    (void)LedgerSnapshot::Load(1s, Corrupt(LedgerSnapshot::Save(ledger, 9)));
  });
}

TEST_CASE("odd routes between those of a configuration",
          "[property][decoder][odd]") {
  rc::prop("all others are followed", [] {
    const auto is_odd =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    std::string routes;
    std::size_t good = 0;
    for (const bool odd : is_odd) {
      const std::string name = odd ? "odd" : "q" + std::to_string(good++);
      routes += std::string(routes.empty() ? "" : ",") + R"({"host":")" + name +
                R"(","name":"q","pathPrefix":"/","service":"s","priority":)" +
                (odd ? OddNumber() : "1") + "}";
    }
    const std::optional<RuleChange> change = platform::DecodeRuleChange(
        {.key = "config",
         .value = R"({"version":3,"routes":[)" + routes + "]}"});
    RC_ASSERT(change.has_value());
    const auto& rules = std::get<Rules>(*change);
    RC_ASSERT(rules.queues.size() == good);
    for (std::size_t n = 0; n < good; ++n) {
      RC_ASSERT(rules.FindQueue("q" + std::to_string(n), "/x") != nullptr);
    }
  });
  rc::prop("a damaged configuration ends no process", [] {
    (void)platform::DecodeRuleChange(
        {.key = "config",
         .value = Corrupt(
             R"({"version":3,"routes":[{"host":"h","name":"q","pathPrefix":"/","service":"s","priority":1,"stretch":1.5}],"tenants":[{"name":"a","apiKeys":["k"],"guaranteed":{"gpu":4}}]})")});
  });
}

}  // namespace
}  // namespace marjoramplank
