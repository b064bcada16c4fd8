// What the run-time model learns from runs, and how soon.

#include "src/run_times/run_time_model.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <random>

#include "src/node/machine_speed_watch.h"

namespace marjoramplank {
namespace {

constexpr Time kNow = 10s;
constexpr double kSlow = MachineSpeedWatch::kSlow;
constexpr Duration kDefaultEstimate = 5s;

std::string AgentName(int machine) {
  return "agent-" + std::to_string(machine);
}

JobRequest Job(const std::string& id,
               Duration declared = Duration(0),
               const std::string& queue = "q") {
  return {.id = id,
          .steps = {{.tasks = 1, .estimate = declared}},
          .terms = {.queue = queue}};
}

RunTimeModel::Sample MakeSample(const std::string& job,
                                int index,
                                int machine,
                                Duration run_time) {
  return {.task = {.job = job, .index = index},
          .agent = AgentName(machine),
          .queue = "q",
          .run_time = run_time};
}

// Machines of which some are 2.0 to 2.4 times as slow as the others. Tasks of a
// step differ by 15%, a projection is off by up to 10%, and 3% of tasks take 2
// to 7 times as long on any machine.
class World {
 public:
  World(int machines, double slow_share, unsigned seed) : random_(seed) {
    for (int n = 0; n < machines; ++n) {
      speeds_.push_back(n < machines * slow_share ? 2.0 + 0.4 * Share() : 1.0);
    }
    Shuffle(speeds_);
  }

  // Tasks of one step, `per_machine` on each of its machines.
  void RunStep(int tasks, Duration base, int per_machine = 1) {
    std::vector<int> machines(speeds_.size());
    for (std::size_t n = 0; n < machines.size(); ++n) {
      machines[n] = static_cast<int>(n);
    }
    Shuffle(machines);
    const std::string job = "job-" + std::to_string(++jobs_);
    for (int task = 0; task < tasks; ++task) {
      const int machine =
          machines[static_cast<std::size_t>(task / per_machine) %
                   machines.size()];
      double factor = speeds_[static_cast<std::size_t>(machine)] *
                      (0.925 + 0.15 * Share()) * (0.9 + 0.2 * Share());
      if (Share() < 0.03) {
        factor *= 2 + 5 * Share();
      }
      model_.Add(kNow, MakeSample(job, task, machine,
                                  Duration(static_cast<std::int64_t>(
                                      ToSeconds(base) * 1000 * factor))));
    }
  }

  struct Result {
    int known = 0;
    int missed = 0;        // Known slow machines that are not believed slow.
    int falsely_slow = 0;  // Fast machines that are believed slow.
  };
  Result Compare() const {
    Result out;
    for (std::size_t n = 0; n < speeds_.size(); ++n) {
      const std::string agent = AgentName(static_cast<int>(n));
      if (model_.SampleCount(agent) == 0) {
        continue;
      }
      ++out.known;
      const bool is_slow = speeds_[n] > 1.5;
      const bool is_believed_slow = model_.Slowness(kNow, agent) >= kSlow;
      out.missed += is_slow && !is_believed_slow ? 1 : 0;
      out.falsely_slow += !is_slow && is_believed_slow ? 1 : 0;
    }
    return out;
  }

  const RunTimeModel& model() const { return model_; }

 private:
  // The distributions of the standard library differ between platforms.
  double Share() { return random_() / 4294967296.0; }
  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (std::size_t n = values.size(); n > 1; --n) {
      std::swap(values[n - 1], values[random_() % n]);
    }
  }

  std::mt19937 random_;
  std::vector<double> speeds_;
  RunTimeModel model_;
  int jobs_ = 0;
};

constexpr int kMachines = 74;
constexpr double kThird = 1.0 / 3;

TEST_CASE("run-time model: a third of the machines is slow", "[run_times]") {
  const auto seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  World world(kMachines, kThird, seed);

  SECTION("gangs of five, one sample for each member") {
    for (int n = 0; n < 30; ++n) {
      world.RunStep(5, 2s);
    }
    const World::Result early = world.Compare();
    CHECK(early.known >= kMachines / 2);
    // Two samples of each machine on average.
    CHECK(early.missed + early.falsely_slow <= early.known / 8);
    for (int n = 0; n < 120; ++n) {
      world.RunStep(5, 2s);
    }
    const World::Result late = world.Compare();
    CHECK(late.missed + late.falsely_slow <= 1);
  }
  SECTION("batch steps with a task on each of 39 machines") {
    for (int n = 0; n < 4; ++n) {
      world.RunStep(39, 8s);
    }
    const World::Result early = world.Compare();
    CHECK(early.known >= 60);
    CHECK(early.missed + early.falsely_slow <= 3);
    for (int n = 0; n < 20; ++n) {
      world.RunStep(39, 8s);
    }
    const World::Result late = world.Compare();
    CHECK(late.missed + late.falsely_slow == 0);
  }
  SECTION("batch steps that fill a few machines") {
    // All machines of a group may be slow, and their tasks must not displace
    // what other groups have told.
    for (int n = 0; n < 15; ++n) {
      world.RunStep(39, 8s, 8);
    }
    CHECK(world.Compare().falsely_slow <= 3);
    for (int n = 0; n < 85; ++n) {
      world.RunStep(39, 8s, 8);
    }
    const World::Result late = world.Compare();
    CHECK(late.missed + late.falsely_slow <= 2);
  }
  SECTION("a mixture stays stable over a thousand groups") {
    // Guards against a drift in which machines and groups correct each other
    // until most fast machines are believed slow.
    for (int n = 0; n < 1000; ++n) {
      n % 4 == 0   ? world.RunStep(39, 8s, 4)
      : n % 4 == 1 ? world.RunStep(8, 8s)
                   : world.RunStep(5, 2s);
    }
    const World::Result late = world.Compare();
    CHECK(late.known == kMachines);
    CHECK(late.missed + late.falsely_slow == 0);
  }
}

TEST_CASE("run-time model: uniform machines", "[run_times]") {
  const auto seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  World world(kMachines, 0, seed);

  SECTION("3% of tasks that take up to 7 times as long make no machine slow") {
    int falsely_slow = 0;
    for (int n = 0; n < 200; ++n) {
      n % 4 == 0 ? world.RunStep(39, 8s, 4) : world.RunStep(5, 2s);
      falsely_slow = std::max(falsely_slow, world.Compare().falsely_slow);
    }
    CHECK(falsely_slow <= 4);  // A long task may be the machine's only one.
    CHECK(world.Compare().falsely_slow == 0);
  }
}

TEST_CASE("run-time model: groups that tell little", "[run_times]") {
  RunTimeModel model;

  SECTION("of one machine alone") {
    for (int n = 0; n < 8; ++n) {
      model.Add(kNow, MakeSample("j", n, 1, n < 4 ? 2s : 9s));
    }
    CHECK(model.Slowness(kNow, AgentName(1)) == 1);
    CHECK(model.SampleCount(AgentName(1)) == 0);
    CHECK(model.machine_count() == 1);

    SECTION("until a second machine has run a task of the step") {
      model.Add(kNow, MakeSample("j", 8, 2, 1s));
      CHECK(model.SampleCount(AgentName(1)) > 0);
      CHECK(model.Slowness(kNow, AgentName(1)) > kSlow);
      CHECK(model.Slowness(kNow, AgentName(2)) == 1);
    }
  }
  SECTION("of two machines: the faster one is taken as usual") {
    model.Add(kNow, MakeSample("j", 0, 1, 4400ms));
    model.Add(kNow, MakeSample("j", 1, 2, 2s));
    CHECK(model.Slowness(kNow, AgentName(2)) == 1);
    // A single sample moves the estimate half of the way.
    CHECK(model.Slowness(kNow, AgentName(1)) ==
          Approx(std::sqrt(2.2)).epsilon(0.01));

    SECTION("a second one makes it certain") {
      model.Add(kNow, MakeSample("k", 0, 1, 4400ms));
      model.Add(kNow, MakeSample("k", 1, 3, 2s));
      CHECK(model.Slowness(kNow, AgentName(1)) == Approx(2.2).epsilon(0.02));
    }
    SECTION("a second one that is as usual refutes it") {
      model.Add(kNow, MakeSample("k", 0, 1, 2s));
      model.Add(kNow, MakeSample("k", 1, 3, 2s));
      CHECK(model.Slowness(kNow, AgentName(1)) == 1);
    }
  }
  SECTION("of slow machines alone: they are corrected when others are seen") {
    model.Add(kNow, MakeSample("j", 0, 1, 4400ms));
    model.Add(kNow, MakeSample("j", 1, 2, 4400ms));
    CHECK(model.Slowness(kNow, AgentName(1)) == 1);
    for (int n = 3; n < 9; ++n) {
      const std::string job = "k" + std::to_string(n);
      model.Add(kNow, MakeSample(job, 0, 1, 4400ms));
      model.Add(kNow, MakeSample(job, 1, n, 2s));
      model.Add(kNow, MakeSample(job, 2, n + 10, 2s));
    }
    CHECK(model.Slowness(kNow, AgentName(1)) > 2);
    CHECK(model.Slowness(kNow, AgentName(4)) == 1);
  }
  SECTION("at different localities are not compared") {
    for (int n = 0; n < 6; ++n) {
      RunTimeModel::Sample sample = MakeSample("j", n, n, n < 3 ? 2s : 6s);
      sample.is_remote = n >= 3;
      model.Add(kNow, sample);
    }
    for (int n = 0; n < 6; ++n) {
      CHECK(model.Slowness(kNow, AgentName(n)) == 1);
    }
    CHECK(model.Expected(Job("j"), 0, kDefaultEstimate) == 2s);
  }
}

TEST_CASE("run-time model: changes of a machine", "[run_times]") {
  RunTimeModel model;
  const auto run_pairs = [&](int first, int pairs, Duration run_time) {
    for (int n = first; n < first + pairs; ++n) {
      const std::string job = "j" + std::to_string(n);
      model.Add(kNow, MakeSample(job, 0, 0, run_time));
      model.Add(kNow, MakeSample(job, 1, 1, 2s));
      model.Add(kNow, MakeSample(job, 2, 2, 2s));
    }
  };
  run_pairs(0, 6, 4s);
  const std::string agent = AgentName(0);
  REQUIRE(model.Slowness(kNow, agent) == Approx(2).epsilon(0.05));

  SECTION("the estimate fades by half in a minute without samples") {
    CHECK(model.Slowness(kNow + 60s, agent) ==
          Approx(std::sqrt(2.0)).epsilon(0.05));
    CHECK(model.Slowness(kNow + 1h, agent) == Approx(1).epsilon(0.01));
    CHECK(model.SampleAge(kNow + 60s, agent) == 60s);
    // The clock of another process may be behind.
    CHECK(model.Slowness(kNow - 5s, agent) == Approx(2).epsilon(0.05));
  }
  SECTION("a new worker halves it, and two new runs outvote it") {
    model.OnNewIncarnation(agent);
    CHECK(model.Slowness(kNow, agent) == Approx(std::sqrt(2.0)).epsilon(0.05));
    CHECK(model.SampleCount(agent) == 1);
    run_pairs(10, 1, 2s);
    CHECK(model.Slowness(kNow, agent) == 1);
  }
  SECTION("a new worker of an unknown machine changes nothing") {
    model.OnNewIncarnation("unknown");
    CHECK(model.machine_count() == 3);
  }
  SECTION("a machine that is fast again is told by its next runs") {
    run_pairs(10, 5, 2s);
    CHECK(model.Slowness(kNow, agent) < kSlow);
  }
  SECTION("a corrected sample replaces the earlier one of the run") {
    const std::size_t samples = model.SampleCount(agent);
    model.Add(kNow, MakeSample("j5", 0, 0, 4100ms));
    CHECK(model.SampleCount(agent) == samples);
  }
  SECTION("a repeated sample has no effect") {
    const std::int64_t samples = model.sample_count();
    model.Add(kNow, MakeSample("j5", 0, 0, 4s));
    CHECK(model.sample_count() == samples);
  }
}

TEST_CASE("run-time model: wrong numbers", "[run_times]") {
  RunTimeModel model;
  for (const Duration run_time :
       {Duration(0), Duration(-1), Duration::min(), Duration::max(),
        kMaxDuration + 1ms, Duration(24h * 366)}) {
    model.Add(kNow, MakeSample("j", 0, 0, run_time));
  }
  CHECK(model.machine_count() == 0);
  CHECK(model.group_count() == 0);
  CHECK(model.sample_count() == 0);

  SECTION("the extremes of what is allowed give finite estimates") {
    for (int n = 0; n < 20; ++n) {
      model.Add(kNow, MakeSample("j", n, n, n % 2 == 0 ? 1ms : kMaxDuration));
    }
    for (int n = 0; n < 20; ++n) {
      CHECK(std::isfinite(model.Slowness(kNow, AgentName(n))));
    }
    CHECK(model.Pessimistic(Job("j"), 0, kDefaultEstimate) <= kMaxDuration);
    CHECK(model.Expected(Job("j"), 0, kDefaultEstimate) >= 1ms);
  }
  SECTION("a negative declared time counts as none") {
    RunTimeModel::Sample sample = MakeSample("j", 0, 0, 2s);
    sample.declared = Duration::min();
    model.Add(kNow, sample);
    CHECK(model.Expected(Job("j"), 0, kDefaultEstimate) == 2s);
  }
}

TEST_CASE("run-time model: bounds", "[run_times]") {
  RunTimeModel model;

  SECTION("groups: the latest are kept") {
    for (int n = 0; n < 1000; ++n) {
      model.Add(kNow, MakeSample("j" + std::to_string(n), 0, 0, 2s));
    }
    CHECK(model.group_count() == 256);
    CHECK(model.IsLearned(Job("j999"), 0));
  }
  SECTION("machines: the one with the oldest sample goes") {
    constexpr int kMaxMachines = 20'000;
    for (int n = 0; n < kMaxMachines + 5; ++n) {
      model.Add(kNow, MakeSample("j" + std::to_string(n % 7), n, n, 2s));
    }
    CHECK(model.machine_count() == kMaxMachines);
    CHECK(model.SampleAge(kNow + 1s, AgentName(0)) == 0s);
    CHECK(model.SampleAge(kNow + 1s, AgentName(kMaxMachines)) == 1s);
  }
  SECTION("queues: samples of more are ignored") {
    for (int n = 0; n < 200; ++n) {
      RunTimeModel::Sample sample =
          MakeSample("j" + std::to_string(n), 0, 0, 2s);
      sample.queue = "q" + std::to_string(n);
      model.Add(kNow, sample);
    }
    CHECK(model.group_count() == 64);
  }
  SECTION("samples of a machine") {
    for (int n = 0; n < 100; ++n) {
      model.Add(kNow, MakeSample("j" + std::to_string(n / 50), n, n % 2, 2s));
    }
    CHECK(model.SampleCount(AgentName(0)) == 8);
  }
}

TEST_CASE("run-time model: run times of steps", "[run_times]") {
  RunTimeModel model;

  SECTION("nothing known: the declared time, or the default") {
    CHECK(model.Expected(Job("new", 3s), 0, kDefaultEstimate) == 3s);
    CHECK(model.Expected(Job("new"), 0, kDefaultEstimate) == kDefaultEstimate);
    CHECK(model.Pessimistic(Job("new"), 0, kDefaultEstimate) >
          kDefaultEstimate);
    CHECK_FALSE(model.IsLearned(Job("new", 3s), 0));
  }
  SECTION("a step's own runs, on machines of any speed") {
    model.Add(kNow, MakeSample("j", 0, 0, 2s));
    model.Add(kNow, MakeSample("j", 1, 1, 2100ms));
    model.Add(kNow, MakeSample("j", 2, 2, 4400ms));
    const Duration expected = model.Expected(Job("j", 30s), 0, 5s);
    CHECK(expected >= 2s);
    CHECK(expected <= 2100ms);
    const Duration pessimistic = model.Pessimistic(Job("j", 30s), 0, 5s);
    CHECK(pessimistic > expected);
    CHECK(pessimistic < 2 * expected);
    CHECK(model.IsLearned(Job("j"), 0));
  }

  const auto add_jobs = [&](int jobs, auto run_time_of, auto declared_of) {
    for (int n = 0; n < jobs; ++n) {
      RunTimeModel::Sample sample =
          MakeSample("old-" + std::to_string(n), 0, n % 5, run_time_of(n));
      sample.declared = declared_of(n);
      model.Add(kNow, sample);
    }
  };
  SECTION("jobs alike, declared at random: the queue's median") {
    add_jobs(
        12, [](int n) { return Duration(2000 + 20 * (n % 5)); },
        [](int n) { return Duration(200 + 1500 * (n % 4)); });
    CHECK(ToSeconds(model.Expected(Job("new", 30s), 0, 5s)) ==
          Approx(2.04).epsilon(0.05));
    CHECK(model.IsLearned(Job("new"), 0));
    CHECK(model.Expected(Job("new", 30s, "other"), 0, 5s) == 30s);
  }
  SECTION("jobs that differ, declared at half: the corrected declared time") {
    add_jobs(
        12, [](int n) { return Duration(1000 << (n % 5)); },
        [](int n) { return Duration(500 << (n % 5)); });
    CHECK(ToSeconds(model.Expected(Job("new", 3s), 0, 5s)) ==
          Approx(6).epsilon(0.05));
    CHECK(model.Pessimistic(Job("new", 3s), 0, 5s) >= 6s);
  }
  SECTION("a correction beyond the longest duration") {
    add_jobs(
        5, [](int) { return kMaxDuration; }, [](int) { return 1ms; });
    for (int n = 0; n < 5; ++n) {
      RunTimeModel::Sample sample =
          MakeSample("short-" + std::to_string(n), 0, n, Duration(1 << n));
      sample.declared = Duration(1);
      model.Add(kNow, sample);
    }
    CHECK(model.Expected(Job("new", kMaxDuration), 0, 5s) <= kMaxDuration);
    CHECK(model.Pessimistic(Job("new", kMaxDuration), 0, 5s) >=
          model.Expected(Job("new", kMaxDuration), 0, 5s));
  }
  SECTION("too few jobs of the queue tell nothing") {
    add_jobs(
        2, [](int) { return 2s; }, [](int) { return 1s; });
    CHECK(model.Expected(Job("new", 7s), 0, 5s) == 7s);
    CHECK_FALSE(model.IsLearned(Job("new", 7s), 0));
  }
  SECTION("runs away from their data do not count for others") {
    for (int n = 0; n < 5; ++n) {
      RunTimeModel::Sample sample =
          MakeSample("old-" + std::to_string(n), 0, n, 6s);
      sample.is_remote = true;
      model.Add(kNow, sample);
    }
    CHECK(model.Expected(Job("new", 2s), 0, 5s) == 2s);
  }
}

TEST_CASE("machine speed watch: reports machines once", "[run_times]") {
  RunTimeModel model;
  MachineSpeedWatch watch;
  CHECK(watch.Update(kNow, model).empty());
  const auto run = [&](int first, Duration run_time, int slow_machines) {
    for (int n = first; n < first + 3; ++n) {
      for (int m = 0; m < 3 * slow_machines; ++m) {
        model.Add(kNow, MakeSample("j" + std::to_string(n), m, m,
                                   m < slow_machines ? run_time : 2s));
      }
    }
  };

  SECTION("that have become slow, and are fast again") {
    run(0, 4s, 1);
    const auto changes = watch.Update(kNow + 1s, model);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].agent == AgentName(0));
    CHECK(changes[0].is_slow);
    CHECK(changes[0].slowness > kSlow);
    CHECK(changes[0].samples == 3);
    CHECK(changes[0].sample_age == 1s);
    CHECK(watch.slow_machines() == 1);
    CHECK(watch.new_samples() == 9);
    CHECK(watch.Update(kNow + 1s, model).empty());
    CHECK(watch.new_samples() == 0);
    run(10, 2s, 1);
    run(20, 2s, 1);
    const auto later = watch.Update(kNow + 2s, model);
    REQUIRE(later.size() == 1);
    CHECK_FALSE(later[0].is_slow);
    CHECK(watch.slow_machines() == 0);
  }
  SECTION("a part of many at a time") {
    run(0, 4s, 50);
    std::size_t reported = 0;
    for (int n = 0; n < 3; ++n) {
      const auto changes = watch.Update(kNow, model);
      CHECK(changes.size() <= MachineSpeedWatch::kMaxChanges);
      reported += changes.size();
    }
    CHECK(reported > 2 * MachineSpeedWatch::kMaxChanges);
    CHECK(reported == watch.slow_machines());
  }
}

// Prints the processor time of a sample. Not a check: the time depends on the
// machine.
TEST_CASE("run-time model: cost of a sample", "[.][run_times_cost]") {
  for (const int width : {5, 39, 64}) {
    std::mt19937 random(1);
    constexpr int kSamples = 100'000;
    std::vector<RunTimeModel::Sample> samples;
    samples.reserve(kSamples);
    for (int n = 0; n < kSamples; ++n) {
      samples.push_back(MakeSample("job-" + std::to_string(n / width),
                                   n % width,
                                   static_cast<int>(random() % 19'000),
                                   Duration(8000 + random() % 1000)));
    }
    RunTimeModel model;
    const auto begun_at = std::chrono::steady_clock::now();
    for (const RunTimeModel::Sample& s : samples) {
      model.Add(kNow, s);
    }
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begun_at;
    WARN("groups of " << width << ": "
                      << took.count() / static_cast<double>(samples.size())
                      << " us a sample");
  }
}

}  // namespace
}  // namespace marjoramplank
