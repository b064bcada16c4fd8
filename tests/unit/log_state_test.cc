#include <catch2/catch.hpp>

#include "src/log/log_state.h"

namespace marjoramplank {
namespace {

AcceptedRecord Accepted(const std::string& payload = "") {
  return {.job = "j",
          .spec = {.request_id = "r", .account = "a", .payload = payload},
          .region = "r"};
}
EndedRecord Ended(std::int32_t attempt, JobState state) {
  return {.job = "j", .attempt = attempt, .outcome = {.state = state}};
}

TEST_CASE("The first record of a job takes effect", "[log]") {
  LogState log;
  REQUIRE(log.Apply(0, Accepted()).verdict == Verdict::kApplied);
  CHECK(log.Apply(1, Accepted()).verdict == Verdict::kRepeated);
  CHECK(log.Apply(2, Accepted("other")).verdict == Verdict::kConflict);
  CHECK(log.WaitingJobs("a") == 1);

  SECTION("an attempt is recorded once, and none after a later one") {
    CHECK(log.Apply(3, AttemptRecord{.job = "j", .attempt = 2, .entry = "e"})
              .verdict == Verdict::kApplied);
    CHECK(log.Apply(4, AttemptRecord{.job = "j", .attempt = 2, .entry = "f"})
              .verdict == Verdict::kConflict);
    CHECK(log.Apply(5, AttemptRecord{.job = "j", .attempt = 1, .entry = "e"})
              .verdict == Verdict::kVoid);

    SECTION("an outcome of an earlier attempt is void, and so is not_run") {
      CHECK(log.Apply(6, Ended(0, JobState::kNotRun)).verdict ==
            Verdict::kVoid);
      CHECK(log.Apply(7, Ended(2, JobState::kNotRun)).verdict ==
            Verdict::kVoid);
      CHECK(log.Apply(8, Ended(2, JobState::kDone)).verdict ==
            Verdict::kApplied);
      CHECK(log.Apply(9, Ended(2, JobState::kFailed)).verdict ==
            Verdict::kVoid);
    }
  }
  SECTION("no attempt starts after a cancellation") {
    CHECK(log.Apply(3, CancelRecord{.job = "j"}).verdict == Verdict::kApplied);
    CHECK(log.Apply(4, AttemptRecord{.job = "j", .attempt = 1}).verdict ==
          Verdict::kVoid);
  }
}

TEST_CASE("A job cancelled before its request never runs", "[log]") {
  LogState log;
  log.Apply(0, CancelRecord{.job = "j"});
  CHECK(log.Apply(1, Accepted()).verdict == Verdict::kVoid);
  CHECK(log.FindJob("j")->end_state == JobState::kNotRun);
}

TEST_CASE("Of concurrent configuration changes exactly one takes effect",
          "[log]") {
  LogState log;
  CHECK(log.Apply(3,
                  ConfigRecord{
                      .base = kNoOffset, .change_id = "x", .document = "{}"})
            .verdict == Verdict::kApplied);
  CHECK(
      log.Apply(4, ConfigRecord{.base = 3, .change_id = "y", .document = "{}"})
          .verdict == Verdict::kApplied);
  CHECK(
      log.Apply(5, ConfigRecord{.base = 3, .change_id = "z", .document = "{}"})
          .verdict == Verdict::kConflict);
  CHECK(
      log.Apply(6, ConfigRecord{.base = 3, .change_id = "y", .document = "{}"})
          .verdict == Verdict::kRepeated);
  CHECK(log.config().version == 4);
}

TEST_CASE("A snapshot restores the state", "[log]") {
  LogState log;
  log.Apply(0, ConfigRecord{.change_id = "x", .document = "{}"});
  log.Apply(1, Accepted());
  log.Apply(2, AttemptRecord{.job = "j",
                             .attempt = 1,
                             .entry = "e",
                             .members = {{.worker = "w", .incarnation = 9}}});
  log.Apply(
      3, MemberRecord{.name = "e", .incarnation = 5, .address = "127.0.0.1:1"});
  for (int n = 0; n < 50; ++n) {
    const std::string id = "k" + std::to_string(n);
    log.Apply(
        4 + 2 * n,
        AcceptedRecord{.job = id, .spec = {.request_id = id, .account = "a"}});
    log.Apply(5 + 2 * n,
              EndedRecord{.job = id, .outcome = {.state = JobState::kDone}});
  }
  const std::vector<SnapshotRecord> parts = log.Snapshot("s", 2000);
  REQUIRE(parts.size() > 2);
  LogState other;
  REQUIRE(other.Restore(parts));
  CHECK(other.position() == log.position());
  CHECK(other.config().version == 0);
  CHECK(other.FindJob("j")->latest_attempt->members[0].incarnation == 9);
  CHECK(other.FindJob("k7")->end_state == JobState::kDone);
  CHECK(other.members().at("e").address == "127.0.0.1:1");
  CHECK(other.jobs().size() == log.jobs().size());
}

}  // namespace
}  // namespace marjoramplank
