// Sizes of ledger snapshots. An entry that restarts must read one within a few
// seconds, beside the reads of all other processes.

#include <catch2/catch.hpp>
#include <string>

#include "src/jobs/ledger_snapshot.h"

namespace marjoramplank {
namespace {

constexpr std::int32_t kTasks = 20'000;
constexpr std::int32_t kWorkers = 16;
constexpr std::size_t kMegabyte = 1'000'000;

WorkerIncarnation Worker(std::int32_t n) {
  return {.id = "worker-" + std::to_string(n), .started_at_unix_ms = 1};
}

// A job with a payload of the greatest size, and workers.
Ledger LedgerWithJob() {
  Ledger out;
  out.Apply(1s, PlannerElected{.entry = "e", .epoch = 1});
  out.Apply(
      1s,
      JobSubmitted{.request = {.id = "j",
                               .payload = std::string(kMaxJobPayloadBytes, 'x'),
                               .steps = {{.tasks = kTasks}}}});
  for (std::int32_t n = 0; n < kWorkers; ++n) {
    out.Apply(1s, WorkerReported{.agent = "agent-" + std::to_string(n),
                                 .incarnation = Worker(n),
                                 .service = "s",
                                 .accepting = true});
  }
  return out;
}

TaskRef Task(std::int32_t n) {
  return {.job = "j", .index = n};
}

void Start(Ledger& ledger, std::int32_t n) {
  const MemberPlace place{.index = n, .incarnation = Worker(n % kWorkers)};
  REQUIRE(ledger.Apply(
      1s, RunStarted{.epoch = 1, .first = Task(n), .members = {place}}));
}

void End(Ledger& ledger, std::int32_t n) {
  REQUIRE(ledger.Apply(1s, TaskEnded{.incarnation = Worker(n % kWorkers),
                                     .end_number = n / kWorkers + 1,
                                     .task = Task(n)}));
}

// Also checks that the snapshot can be read.
std::size_t SizeOf(const Ledger& ledger) {
  const std::string bytes = LedgerSnapshot::Save(ledger, 7);
  const auto restored = LedgerSnapshot::Load(1s, bytes);
  REQUIRE(restored.has_value());
  CHECK(restored->position == 7);
  CHECK(LedgerSnapshot::Save(restored->ledger, 7) == bytes);
  return bytes.size();
}

// Guards against snapshots of tens of megabytes, which entries that restart
// together cannot read in time.
TEST_CASE("snapshot size: a burst of small tasks", "[ledger][snapshot]") {
  Ledger ledger = LedgerWithJob();

  SECTION("untouched tasks take no room") {
    CHECK(SizeOf(ledger) < kMegabyte / 100);
  }
  SECTION("tasks that are done take no room") {
    for (std::int32_t n = 0; n < kTasks / 2; ++n) {
      Start(ledger, n);
      End(ledger, n);
    }
    CHECK(SizeOf(ledger) < kMegabyte / 100);
  }
  SECTION("running tasks do not repeat their payload") {
    for (std::int32_t n = 0; n < kTasks; ++n) {
      Start(ledger, n);
    }
    CHECK(SizeOf(ledger) < 3 * kMegabyte);
  }
  SECTION("nor do those of a job that is cancelled") {
    for (std::int32_t n = 0; n < kTasks; ++n) {
      Start(ledger, n);
    }
    ledger.Apply(1s, JobCancelled{.job = "j"});
    CHECK(SizeOf(ledger) < 3 * kMegabyte);
  }
}

// Guards against snapshots that are large at all times: an entry keeps as many
// ended jobs for status queries.
TEST_CASE("snapshot size: ended jobs", "[ledger][snapshot]") {
  constexpr std::size_t kMaxBytesPerJob = 48;
  Ledger ledger;
  for (std::size_t n = 0; n < kMaxEndedJobs; ++n) {
    // Ids of 16 digits, as clients choose them.
    const std::string id = std::to_string(1'000'000'000'000'000 + n * 7'919);
    ledger.Apply(1s, JobSubmitted{.request = {.id = id,
                                              .account = "account",
                                              .steps = {{.tasks = 1}},
                                              .terms = {.queue = "queue",
                                                        .service = "service",
                                                        .max_attempts = 3,
                                                        .target = 1s}}});
    ledger.Apply(1s, JobCancelled{.job = id});
  }
  CHECK(SizeOf(ledger) < kMaxEndedJobs * kMaxBytesPerJob);
  const auto restored =
      LedgerSnapshot::Load(1s, LedgerSnapshot::Save(ledger, 7));
  REQUIRE(restored.has_value());
  REQUIRE(restored->ledger.jobs().size() == kMaxEndedJobs);
  for (const auto& [id, job] : ledger.jobs()) {
    const LedgerJob* other = restored->ledger.FindJob(id);
    REQUIRE(other != nullptr);
    REQUIRE(other->request == job.request);
    REQUIRE(other->phase == job.phase);
    REQUIRE(other->sequence_number == job.sequence_number);
  }
}

}  // namespace
}  // namespace marjoramplank
