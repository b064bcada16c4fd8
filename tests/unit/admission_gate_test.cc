// Rejections of an entry for want of capacity are true: the job is not accepted
// by any entry before. Run on a log in memory.

#include "src/node/admission_gate.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/job_service.h"

namespace marjoramplank {
namespace {

constexpr Duration kDiscoveryTime = 100ms;

struct MemoryLog {
  std::mutex mutex;
  std::vector<std::string> records;
  std::atomic<bool> is_readable{true};
  std::atomic<AppendResult::Kind> append_result{AppendResult::Kind::kStored};

  void Append(const LedgerRecord& record) {
    const std::lock_guard lock(mutex);
    records.push_back(EncodeRecord(record));
  }
  std::size_t size() {
    const std::lock_guard lock(mutex);
    return records.size();
  }
};

class MemoryStore final : public LogStore {
 public:
  explicit MemoryStore(MemoryLog& log) : log_(log) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>& records,
                      const ProducerStamp&,
                      Duration) override {
    const std::lock_guard lock(log_.mutex);
    if (log_.append_result == AppendResult::Kind::kStored) {
      log_.records.insert(log_.records.end(), records.begin(), records.end());
    } else {
      std::this_thread::sleep_for(5ms);
    }
    return {.kind = log_.append_result};
  }
  ReadResult Read(const LogPartition& from,
                  std::int64_t offset,
                  Duration,
                  Duration) override {
    std::this_thread::sleep_for(5ms);
    if (!from.topic.empty()) {
      return {.kind = ReadResult::Kind::kOk, .end_offset = offset};
    }
    if (!log_.is_readable) {
      return {.kind = ReadResult::Kind::kFailed};
    }
    const std::lock_guard lock(log_.mutex);
    ReadResult out{.kind = ReadResult::Kind::kOk,
                   .end_offset = std::ssize(log_.records)};
    for (std::int64_t n = offset; n < out.end_offset; ++n) {
      out.records.push_back(
          {.offset = n, .bytes = log_.records[static_cast<std::size_t>(n)]});
    }
    return out;
  }
  LatestResult ReadLatest(const LogPartition& from, Duration) override {
    if (from.topic != "rules") {
      return {.ok = true};
    }
    return {.ok = true,
            .end_offset = 1,
            .records = {{.key = "rules", .value = "1"}}};
  }

 private:
  MemoryLog& log_;
};

std::optional<RuleChange> DecodeRules(const KeyedRecord&) {
  Rules rules;
  rules.version = 1;
  rules.queues = {{.host = "h",
                   .path_prefix = "/q/",
                   .terms = {.queue = "q",
                             .service = "s",
                             .priority = 1,
                             .max_attempts = 2,
                             .stretch = 3,
                             .target = 1s},
                   .anonymous = true},
                  {.host = "h",
                   .path_prefix = "/k/",
                   .terms = {.queue = "k", .service = "s"}}};
  rules.accounts = {{.name = "a", .keys = {"key-a"}},
                    {.name = "b", .keys = {"key-b"}}};
  return rules;
}

JobService::Options MakeOptions() {
  JobService::Options out;
  out.max_rules_age = 600s;
  out.store_unreachable_after = 600s;
  out.append_timeout = 5s;
  out.admission.admission.workers.discovery_time = kDiscoveryTime;
  out.admission.measuring_interval = 10ms;
  // Not the subject of these tests, and a busy machine delays reads.
  out.admission.admission.max_view_age = 5s;
  out.admission.confirm_timeout = 2s;
  return out;
}

struct Entry {
  explicit Entry(JobService::Options options = MakeOptions())
      : rules({.partition = {.topic = "rules"}},
              std::make_unique<MemoryStore>(log),
              DecodeRules),
        ledger({.records = {}, .snapshots = {.topic = "snapshots"}},
               std::make_unique<MemoryStore>(log),
               std::make_unique<MemoryStore>(log),
               metrics),
        writer({}, std::make_unique<MemoryStore>(log), metrics),
        service(options, rules, ledger, writer, metrics) {
    log.Append(WorkerReported{.agent = "a",
                              .incarnation = {.id = "w"},
                              .service = "s",
                              .data_centre = "d",
                              .rack = "r",
                              .capacity = {.accelerators = 8}});
    ledger.Start();
    REQUIRE(ledger.WaitForPosition(1, 10s));
    for (const Time end = BootClockNow() + 10s;
         !rules.view()->loaded && BootClockNow() < end;) {
      std::this_thread::sleep_for(1ms);
    }
  }

  ClientResponse Submit(const std::string& id,
                        std::int64_t accelerators = 9,
                        Duration client_timeout = 0ms) {
    return service.Submit(
        {.host = "h",
         .path = "/q/" + id,
         .received_at = BootClockNow(),
         .client_timeout = client_timeout},
        [&](JobRequest& job) {
          job.payload = "p";
          job.steps = {{.need = {.accelerators = accelerators}}};
          return std::vector<std::string>();
        });
  }

  // Until the workers are known.
  void Discover() {
    Submit("first");
    std::this_thread::sleep_for(2 * kDiscoveryTime);
    Submit("second", 1);
  }

  MemoryLog log;
  Metrics metrics;
  RulesFollower rules;
  LedgerFollower ledger;
  LedgerWriter writer;
  JobService service;
};

using Kind = ClientResponse::Kind;

// Guards against: a job that was accepted is said not to run.
TEST_CASE("an entry rejects only what nobody has accepted", "[admission]") {
  Entry entry;

  SECTION("workers still unknown: accepted") {
    CHECK(entry.Submit("early").kind == Kind::kOk);
  }

  entry.Discover();
  const std::size_t stored = entry.log.size();
  const ClientResponse rejection = entry.Submit("never");
  REQUIRE(rejection.kind == Kind::kNotRun);
  CHECK(rejection.retry_after == 30s);
  CHECK(rejection.reason ==
        "steps[0]: none of the 1 known workers of the service has the capacity "
        "for a task");
  CHECK(entry.log.size() == stored);
  CHECK(entry.metrics.Get(Counter::kSubmitsUnrunnable) == 1);
  CHECK(entry.metrics.Get(Counter::kSubmitsRefused) == 1);

  SECTION("an accepted ID asked again is accepted") {
    CHECK(entry.Submit("first").kind == Kind::kOk);
  }

  SECTION("also one that another entry has accepted a moment ago") {
    for (int n = 0; n < 20; ++n) {
      const std::string id = "other" + std::to_string(n);
      entry.log.Append(
          JobSubmitted{.request = {.id = id,
                                   .payload = "p",
                                   .steps = {{.need = {.accelerators = 9}}},
                                   .terms = {.queue = "q", .service = "s"}}});
      CHECK(entry.Submit(id).kind == Kind::kOk);
    }
  }
}

// Guards against: a worker that has just appeared is not known to the decision,
// which uses a measurement from before.
TEST_CASE("a rejected job is accepted once a worker could run it",
          "[admission]") {
  JobService::Options options = MakeOptions();
  options.admission.measuring_interval = 600s;
  Entry entry(options);
  entry.Discover();
  REQUIRE(entry.Submit("never").kind == Kind::kNotRun);
  entry.log.Append(WorkerReported{.agent = "b",
                                  .incarnation = {.id = "x"},
                                  .service = "s",
                                  .data_centre = "d",
                                  .rack = "r",
                                  .capacity = {.accelerators = 16}});
  REQUIRE(entry.ledger.WaitForPosition(std::ssize(entry.log.records), 10s));
  CHECK(entry.Submit("never").kind == Kind::kOk);
}

TEST_CASE("an entry that cannot read the log accepts", "[admission]") {
  JobService::Options options = MakeOptions();
  SECTION("since the request arrived") {
    options.admission.confirm_timeout = 50ms;
    Entry entry(options);
    entry.Discover();
    REQUIRE(entry.Submit("never").kind == Kind::kNotRun);
    entry.log.is_readable = false;
    std::this_thread::sleep_for(50ms);
    CHECK(entry.Submit("unconfirmed").kind == Kind::kOk);
    CHECK(entry.metrics.Get(Counter::kSubmitsUnconfirmed) == 1);
  }
  SECTION("stale ledger: accepted") {
    options.admission.admission.max_view_age = 1s;
    Entry entry(options);
    entry.Discover();
    entry.log.is_readable = false;
    std::this_thread::sleep_for(1200ms);
    CHECK(entry.Submit("stale").kind == Kind::kOk);
    CHECK(entry.metrics.Get(Counter::kSubmitsUnconfirmed) == 0);
  }
}

// Guards against: an append without an outcome is stored after the rejection.
TEST_CASE("an entry does not reject what it may have stored", "[admission]") {
  Entry entry;
  entry.Discover();
  entry.log.append_result = AppendResult::Kind::kUnknown;
  // Accepted by the admission, and the log does not answer.
  REQUIRE(entry.Submit("doubtful", 1, 500ms).kind == Kind::kOutcomeUnknown);
  entry.log.append_result = AppendResult::Kind::kStored;
  // As it is now, it would be rejected.
  CHECK(entry.Submit("doubtful").kind == Kind::kOk);
  CHECK(entry.metrics.Get(Counter::kSubmitsUnconfirmed) == 1);
  CHECK(entry.Submit("other").kind == Kind::kNotRun);
}

// Guards against accepted jobs that are answered as unknown once their queue
// has another name, and against jobs of others that are shown or cancelled.
TEST_CASE("a job is named by its queue's address and its id",
          "[changed_queue]") {
  Entry entry;
  const auto accept = [&](const std::string& id, const std::string& queue,
                          const std::string& path_prefix) {
    entry.log.Append(JobSubmitted{
        .request = {.id = id,
                    .account = "a",
                    .payload = "p",
                    .steps = {{}},
                    .terms = {.queue = queue, .service = "s"},
                    .address = {.host = "h", .path_prefix = path_prefix}}});
    REQUIRE(entry.ledger.WaitForPosition(std::ssize(entry.log.records), 10s));
  };
  const auto call = [](const std::string& path, const std::string& key = "") {
    return ClientRequest{.host = "h",
                         .path = path,
                         .api_key = key,
                         .received_at = BootClockNow()};
  };

  SECTION("whatever its name was when the job was accepted") {
    accept("j", "name-before", "/q/");
    CHECK(entry.service.GetStatus(call("/q/j")).kind == Kind::kOk);
    CHECK(entry.service.GetStatus(call("/q/")).waiting_jobs == 1);
    CHECK(entry.service.Cancel(call("/q/j")).kind == Kind::kOk);
  }
  SECTION("not by its id alone, also for a cancellation") {
    accept("j", "k", "/k/");
    const std::size_t stored = entry.log.size();
    CHECK(entry.service.GetStatus(call("/q/j")).kind == Kind::kJobNotFound);
    CHECK(entry.service.Cancel(call("/q/j")).kind == Kind::kJobNotFound);
    CHECK(entry.log.size() == stored);
  }
  SECTION("nor with a key of another account") {
    accept("j", "k", "/k/");
    CHECK(entry.service.GetStatus(call("/k/j", "key-a")).kind == Kind::kOk);
    for (const ClientResponse& response :
         {entry.service.GetStatus(call("/k/j", "key-b")),
          entry.service.Cancel(call("/k/j", "key-b"))}) {
      CHECK(response.kind == Kind::kJobNotFound);
    }
    CHECK(entry.service.Cancel(call("/k/j", "key-a")).kind == Kind::kOk);
  }
}

}  // namespace
}  // namespace marjoramplank
