#include <catch2/catch.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <variant>

#include "src/dispatch/dispatcher.h"

namespace marjoramplank {
namespace {

constexpr Duration kStep = 200ms;
constexpr int kPlans = 60;
constexpr int kWorkers = 18;
constexpr int kRacks = 3;
constexpr int kAccelerators = 8;

WorkerIncarnation Worker(int n) {
  return {.id = "w" + std::to_string(100 + n), .started_at_unix_ms = 1};
}

// A random history, and a digest of all decisions in it. Uses no distribution
// of the standard library, which differ between platforms.
class RandomHistory {
 public:
  explicit RandomHistory(std::uint32_t seed) : random_(seed) {
    ledger_.Apply(now_, PlannerElected{.entry = "e", .epoch = 1});
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(
          now_, WorkerReported{.agent = "a" + std::to_string(n),
                               .incarnation = Worker(n),
                               .service = "s",
                               .data_centre = "d",
                               .rack = "r" + std::to_string(n % kRacks),
                               .capacity = {.cpu_milli = 64'000,
                                            .memory_mb = 256'000,
                                            .accelerators = kAccelerators}});
    }
  }

  std::uint64_t Run() {
    for (int n = 0; n < kPlans; ++n) {
      now_ += kStep;
      for (std::uint32_t job = Below(3); job > 0; --job) {
        Submit();
      }
      Plan();
      EndRuns();
    }
    return digest_;
  }

  int starts() const { return starts_; }

 private:
  std::uint32_t Below(std::uint32_t limit) { return random_() % limit; }

  // One account and no priority that preempts: fairness and the choice of
  // victims have tests of their own.
  void Submit() {
    const bool is_gang = Below(2) == 0;
    const JobStep step{
        .tasks =
            static_cast<std::int32_t>(is_gang ? 2 + Below(6) : 1 + Below(20)),
        .need = {.cpu_milli = 4000,
                 .memory_mb = 8000,
                 .accelerators = 1 << Below(is_gang ? 4 : 2)},
        .estimate = Duration(500 * Below(12)),
        .gang = is_gang,
        .same_rack = is_gang && Below(3) == 0,
        .data_rack = Below(5) == 0 ? "r" + std::to_string(Below(kRacks)) : "",
        .max_per_worker = static_cast<std::int32_t>(Below(4) == 0 ? 2 : 0)};
    JobStep second = step;
    second.after = {0};
    ledger_.Apply(
        now_,
        JobSubmitted{
            .request = {
                .id = "j" + std::to_string(jobs_++),
                .account = "a",
                .payload = "p",
                .steps = {step, second},
                .terms = {.queue = "q",
                          .service = "s",
                          .priority = static_cast<std::int32_t>(1 + Below(2)),
                          .max_attempts = 2,
                          .stretch = 1.5,
                          .target = 1s}}});
  }

  void Plan() {
    for (int n = 0; n < kWorkers; ++n) {
      ledger_.Apply(now_, AgentHeartbeat{.agent = "a" + std::to_string(n),
                                         .process = "p",
                                         .heard_worker = Worker(n),
                                         .heard_ago = Duration(0)});
    }
    for (const LedgerRecord& r : Dispatcher({}).Plan(
             {.now = now_, .epoch = 1, .ledger = ledger_, .rules = rules_})) {
      REQUIRE(ledger_.Apply(now_, r));
      if (const auto* start = std::get_if<RunStarted>(&r)) {
        ++starts_;
        Digest(ToString(start->first));
        for (const MemberPlace& m : start->members) {
          Digest(m.incarnation.id);
        }
      }
    }
  }

  // Ends some runs; the members of a gang end together.
  void EndRuns() {
    std::vector<TaskEnded> ends;
    for (const auto& [incarnation, worker] : ledger_.workers()) {
      for (const auto& [task, run] : worker.runs) {
        ends.push_back(
            {.incarnation = incarnation, .task = task, .run = run.run});
      }
    }
    for (const TaskEnded& end : ends) {
      const bool is_gang =
          ledger_.FindJob(end.task.job)->request.steps.empty() ||
          ledger_.FindJob(end.task.job)->request.steps[0].gang;
      if (is_gang ? std::stoi(end.task.job.substr(1)) % 8 == Phase()
                  : Below(10) == 0) {
        ledger_.Apply(now_, end);
      }
    }
  }

  int Phase() const { return static_cast<int>(now_ / kStep % 8); }

  // FNV-1a.
  void Digest(const std::string& text) {
    for (const char c : text + ";") {
      digest_ = (digest_ ^ static_cast<std::uint8_t>(c)) * 1099511628211U;
    }
  }

  std::mt19937 random_;
  Time now_ = 100s;
  Ledger ledger_;
  RulesView rules_;
  int jobs_ = 0;
  int starts_ = 0;
  std::uint64_t digest_ = 14695981039346656037U;
};

// Guards against changes for deployments with uniform machines: the digests are
// those of the decisions before the dispatcher knew of the speed of machines.
TEST_CASE("without samples, machine speeds change no decision",
          "[dispatcher][speed]") {
  constexpr std::uint64_t kDigests[] = {
      0x69839ceb63c60d61U, 0x5d92e6b973ae3655U, 0x9c371bc1cfe64638U,
      0x932a26ddc4e76c2fU, 0x5fd25191d9906e20U, 0xc0ef633ad659d4d1U,
      0x3b78718a4fdd85d3U, 0x67a77a55e8f0e26eU};
  std::uint32_t seed = 1;
  for (const std::uint64_t expected : kDigests) {
    RandomHistory history(seed);
    CAPTURE(seed);
    CHECK(history.Run() == expected);
    CHECK(history.starts() > 100);
    ++seed;
  }
}

}  // namespace
}  // namespace marjoramplank
