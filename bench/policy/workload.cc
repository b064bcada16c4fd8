#include "bench/policy/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace marjoramplank::bench {

namespace {

// The C++ standard fixes the engine's output, but not that of its
// distributions, so they are implemented here.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double Uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }
  double Normal() {
    return std::sqrt(-2 * std::log(1 - Uniform())) *
           std::cos(2 * 3.14159265358979 * Uniform());
  }
  std::size_t PickWeighted(const std::vector<double>& weights) {
    double sum = 0;
    for (const double w : weights) {
      sum += w;
    }
    double remaining_weight = Uniform() * sum;
    for (std::size_t i = 0; i < weights.size(); ++i) {
      remaining_weight -= weights[i];
      if (remaining_weight < 0) {
        return i;
      }
    }
    return weights.size() - 1;
  }

 private:
  std::mt19937_64 engine_;
};

struct JobShape {
  double weight;
  int tasks;
  int accelerators;
  Adjacency adjacency;
};

// How an account submits and declares its jobs.
struct AccountBehaviour {
  double job_share;  // Share of all jobs.
  // Mean of log(declared / true run time).
  double log_bias;
};

struct WorkloadParameters {
  std::vector<JobShape> shapes;
  std::vector<AccountBehaviour> behaviours;
  double median_run_s = 0;
  double run_sigma = 1.2;  // Standard deviation of log(run time).
  // Work to generate, as a share of the capacity.
  double target_load = 0.85;
  Duration length{0};
  // Share of the jobs that arrive in bursts.
  double burst_share = 0.25;
  int burst_size = 30;
};

SimJob MakeJob(Random& random,
               const WorkloadParameters& parameters,
               const Inventory& inventory,
               int n,
               Time arrives_at) {
  std::vector<double> weights;
  for (const JobShape& s : parameters.shapes) {
    weights.push_back(s.weight);
  }
  const JobShape& shape = parameters.shapes[random.PickWeighted(weights)];
  weights.clear();
  for (const AccountBehaviour& h : parameters.behaviours) {
    weights.push_back(h.job_share);
  }
  const std::size_t account_index = random.PickWeighted(weights);
  const WorkerSpec& w = inventory.workers[0];
  const int width = std::max(w.accelerators, 1);
  const int shape_accelerators = std::max(shape.accelerators, 1);
  SimJob job{.id = "j" + std::to_string(n), .arrives_at = arrives_at};
  job.spec = {
      .request_id = job.id,
      .account = inventory.accounts[account_index].name,
      .tasks = shape.tasks,
      .shape = {.cores = std::max(1, w.cores * shape_accelerators / width / 2),
                .memory_mb =
                    std::max(1, w.memory_mb * shape_accelerators / width / 2),
                .accelerators = shape.accelerators},
      .adjacency = shape.adjacency,
      .priority =
          random.Uniform() < 0.02 ? Priority::kUrgent : Priority::kNormal,
      .idempotent = random.Uniform() < 0.9,
      .checkpointable = random.Uniform() < 0.6};
  const double run_s =
      std::clamp(parameters.median_run_s *
                     std::exp(parameters.run_sigma * random.Normal()),
                 20.0, parameters.median_run_s * 30);
  const double log_error = std::clamp(
      parameters.behaviours[account_index].log_bias + 0.7 * random.Normal(),
      -2.3, 2.3);  // A factor of ten either way.
  job.true_run_time = Duration{static_cast<std::int64_t>(run_s * 1000)};
  job.spec.expected_run_time =
      Duration{static_cast<std::int64_t>(run_s * std::exp(log_error) * 1000)};
  return job;
}

double AcceleratorSeconds(const SimJob& job) {
  return ToSeconds(job.true_run_time) * job.spec.tasks *
         std::max(job.spec.shape.accelerators, 0);
}

// Generates jobs until their work reaches the target load, then assigns arrival
// times: most uniformly at random, some in bursts.
void GenerateJobs(Workload& workload,
                  const WorkloadParameters& parameters,
                  std::uint64_t seed) {
  Random random(seed);
  double capacity = 0;
  for (const WorkerSpec& w : workload.inventory.workers) {
    capacity += w.accelerators * ToSeconds(parameters.length);
  }
  double work = 0;
  int n = 0;
  while (work < capacity * parameters.target_load) {
    workload.jobs.push_back(
        MakeJob(random, parameters, workload.inventory, n++, Time{0}));
    work += AcceleratorSeconds(workload.jobs.back());
  }
  Time burst{0};
  int left_in_burst = 0;
  for (SimJob& job : workload.jobs) {
    const auto random_arrival = Time{static_cast<std::int64_t>(
        random.Uniform() * static_cast<double>(parameters.length.count()))};
    if (left_in_burst == 0 &&
        random.Uniform() < parameters.burst_share / parameters.burst_size) {
      burst = random_arrival;
      left_in_burst = parameters.burst_size;
    }
    job.arrives_at = left_in_burst > 0 ? burst : random_arrival;
    left_in_burst = std::max(0, left_in_burst - 1);
  }
  std::stable_sort(workload.jobs.begin(), workload.jobs.end(),
                   [](const SimJob& a, const SimJob& b) {
                     return a.arrives_at < b.arrives_at;
                   });
  workload.length = parameters.length;
}

Inventory MakeElevenWorkerInventory(int cores,
                                    int memory_mb,
                                    std::vector<AccountSpec> accounts) {
  Inventory out;
  const std::vector<std::vector<int>> racks = {{3, 1}, {3, 1}, {3}};
  int n = 0;
  int rack = 0;
  for (std::size_t d = 0; d < racks.size(); ++d) {
    const std::string dc = "dc" + std::to_string(d);
    out.data_centres.push_back(
        {.name = dc, .region = "r", .grace_period = 10min});
    for (const int workers : racks[d]) {
      ++rack;
      for (int w = 0; w < workers; ++w) {
        out.workers.push_back({.name = "w" + std::to_string(10 + n++),
                               .rack = "rack" + std::to_string(rack),
                               .data_centre = dc,
                               .cores = cores,
                               .memory_mb = memory_mb,
                               .accelerators = 8});
      }
    }
  }
  out.accounts = std::move(accounts);
  return out;
}

}  // namespace

Workload ObchvatWorkload(std::uint64_t seed) {
  Workload out{.name = "obchvat"};
  out.inventory = MakeElevenWorkerInventory(
      128, 524'288,
      {{.name = "dialnice",
        .guarantees = {{.accelerators = 8, .workers = 3, .count = 1}}},
       {.name = "kraje", .guarantees = {{.accelerators = 8, .count = 2}}},
       {.name = "mesta", .guarantees = {{.accelerators = 4, .count = 2}}},
       {.name = "obce", .guarantees = {{.accelerators = 2, .count = 4}}}});
  GenerateJobs(
      out,
      {.shapes = {{40, 1, 1, Adjacency::kDataCentre},
                  {20, 1, 2, Adjacency::kDataCentre},
                  {15, 2, 2, Adjacency::kRack},
                  {12, 1, 4, Adjacency::kDataCentre},
                  {8, 1, 8, Adjacency::kDataCentre},
                  {3, 2, 8, Adjacency::kRack},
                  {2, 3, 8, Adjacency::kRack}},
       .behaviours = {{0.3, 1.0}, {0.3, -0.8}, {0.2, 0.3}, {0.2, -1.5}},
       .median_run_s = 1800,
       .length = 24h * 7},
      seed);
  out.absence = {.data_centre = "dc1", .from = 48h, .to = 56h};
  out.bad_worker = {.worker = "w19", .from = 96h, .to = 108h};
  return out;
}

Workload HangyeolWorkload(std::uint64_t seed) {
  Workload out{.name = "hangyeol"};
  out.inventory = MakeElevenWorkerInventory(
      32, 65'536,
      {{.name = "enrol",
        .guarantees = {{.accelerators = 8, .workers = 2, .count = 1},
                       {.accelerators = 8, .count = 1}}},
       {.name = "exams", .guarantees = {{.accelerators = 8, .count = 2}}},
       {.name = "waivers", .guarantees = {{.accelerators = 4, .count = 2}}},
       {.name = "registrars",
        .guarantees = {{.accelerators = 2, .count = 2}}}});
  GenerateJobs(out,
               {.shapes = {{30, 1, 1, Adjacency::kDataCentre},
                           {15, 1, 2, Adjacency::kDataCentre},
                           {15, 1, 4, Adjacency::kDataCentre},
                           {15, 1, 8, Adjacency::kDataCentre},
                           {10, 2, 8, Adjacency::kRack},
                           {3, 3, 8, Adjacency::kRack},
                           {2, 4, 8, Adjacency::kDataCentre}},
                .behaviours = {{0.4, 0.8}, {0.3, -1.2}, {0.2, 0.0}, {0.1, 1.5}},
                .median_run_s = 2400,
                .target_load = 0.8,
                .length = 24h * 7},
               seed);
  out.absence = {.data_centre = "dc0", .from = 72h, .to = 78h};
  out.bad_worker = {.worker = "w13", .from = 120h, .to = 130h};
  return out;
}

Workload RegionWorkload(std::uint64_t seed, double scale) {
  Workload out{.name = "region"};
  Random random(seed);
  const int workers = static_cast<int>(6'333 * scale);
  const int account_count = std::max(4, static_cast<int>(157 * scale));
  constexpr int kDataCentres = 4;
  Inventory& inventory = out.inventory;
  for (int d = 0; d < kDataCentres; ++d) {
    inventory.data_centres.push_back({.name = "dc" + std::to_string(d),
                                      .region = "r",
                                      .grace_period = 10min});
  }
  for (int n = 0; n < workers; ++n) {
    const int dc = n * kDataCentres / workers;
    // 43,000 accelerators on 19,000 workers: three workers in ten have eight.
    inventory.workers.push_back(
        {.name = "w" + std::to_string(100'000 + n),
         .rack = "rack" + std::to_string(n / 10) + "-" + std::to_string(dc),
         .data_centre = "dc" + std::to_string(dc),
         .cores = 64,
         .memory_mb = 262'144,
         .accelerators = n % 10 < 3 ? 8 : 0,
         .slots = 32});
  }
  std::vector<AccountBehaviour> behaviours;
  for (int t = 0; t < account_count; ++t) {
    inventory.accounts.push_back(
        {.name = "team" + std::to_string(t),
         .guarantees = {
             {.accelerators = t % 3 == 0 ? 8 : 4, .count = 1 + t % 4}}});
    behaviours.push_back({1.0 / (1 + t % 10), random.Normal()});
  }
  GenerateJobs(out,
               {.shapes = {{40, 1, 1, Adjacency::kDataCentre},
                           {20, 4, 1, Adjacency::kDataCentre},
                           {15, 1, 4, Adjacency::kDataCentre},
                           {12, 1, 8, Adjacency::kDataCentre},
                           {8, 8, 2, Adjacency::kDataCentre},
                           {3, 8, 8, Adjacency::kDataCentre},
                           {1, 16, 8, Adjacency::kDataCentre},
                           {0.3, 64, 4, Adjacency::kRegion}},
                .behaviours = behaviours,
                .median_run_s = 3600 * 1.5,
                .target_load = 0.85,
                .length = 24h * 2,
                .burst_size = 200},
               seed);
  out.absence = {.data_centre = "dc2", .from = 20h, .to = 26h};
  out.bad_worker = {.worker = "w100000", .from = 30h, .to = 40h};
  return out;
}

}  // namespace marjoramplank::bench
