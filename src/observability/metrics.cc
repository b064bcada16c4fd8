#include "src/observability/metrics.h"

#include <boost/histogram.hpp>

#include <mutex>
#include <sstream>
#include <vector>

namespace marjoramplank {

namespace {

struct MetricInfo {
  const char* name;
  const char* help;
};

constexpr MetricInfo kCounters[] = {
    {"submits_total", "Requests to run a job"},
    {"submits_refused_total", "Requests refused with not run"},
    {"submits_unsettled_total", "Requests answered not known yet"},
    {"submits_conflict_total", "Request ids reused with another body"},
    {"jobs_done_total", "Jobs that succeeded"},
    {"jobs_failed_total", "Jobs that failed"},
    {"jobs_cancelled_total", "Jobs that were cancelled"},
    {"jobs_not_run_total", "Jobs that provably never ran"},
    {"jobs_may_have_run_total", "Jobs interrupted with unknown effect"},
    {"gang_starts_total", "Attempts begun"},
    {"gang_starts_failed_total", "Attempts that a member refused"},
    {"gangs_lost_total", "Runs that lost a member"},
    {"log_appends_total", "Batches appended to the log"},
    {"log_append_records_total", "Records appended to the log"},
    {"log_appends_unknown_total", "Batches whose answer was lost"},
    {"log_appends_failed_total", "Batches that the log refused"},
    {"log_reads_total", "Reads of the log"},
    {"log_reads_failed_total", "Reads of the log that failed"},
    {"log_records_void_total", "Records without effect when replayed"},
    {"statements_void_total", "Own statements about the worker without effect"},
    {"late_parts_dropped_total", "Answers of outdated attempts"},
    {"config_conflicts_total", "Configuration changes that lost a race"},
    {"ownership_changes_total", "Regions taken over or given up"},
    {"messages_in_total", "Messages received"},
    {"messages_out_total", "Messages sent"},
    {"messages_dropped_total", "Messages to slow or absent peers"},
    {"tasks_started_total", "Tasks given to the worker"},
    {"tasks_refused_total", "Tasks refused by the worker"},
    {"tasks_stopped_total", "Tasks stopped on request"},
    {"lease_lapses_total", "Tasks whose lease lapsed"},
    {"worker_crashes_total", "Workers whose process ended unannounced"},
    {"run_time_samples_total", "Run times that the planner has learned from"},
    {"slow_starts_total", "Starts with a member on a slow machine"},
    {"fast_waits_total",
     "Waits for fast machines, once a second for each unit"},
    {"submits_unrunnable_total", "Refused: no known worker could ever run it"},
    {"submits_too_late_total", "Refused: could not end while it earns credit"},
    {"submits_unconfirmed_total", "Not refused, for want of a current ledger"},
    {"stops_preempted_total", "Units stopped to make room"},
    {"stops_evacuated_total", "Units stopped on workers that are vacated"},
    {"stops_stalled_total", "Units stopped without progress"},
    {"stops_migrated_total", "Units stopped to go on elsewhere"},
    {"preemptions_declined_total", "Preemptions that were not worth it"},
};

constexpr MetricInfo kGauges[] = {
    {"log_visible", "1 while the log is read"},
    {"config_fresh", "1 while the configuration is known to be the latest"},
    {"config_version", "Version of the configuration in force here"},
    {"agents", "Agents heard lately"},
    {"regions_owned", "Regions planned here"},
    {"queued_jobs", "Jobs waiting in the regions planned here"},
    {"running_jobs", "Jobs running in the regions planned here"},
    {"pending_appends", "Records waiting to be appended"},
    {"live_jobs", "Jobs on the log that have not ended"},
    {"unmet_guarantees", "Promises that live workers cannot hold"},
    {"machines_measured", "Machines of which run times are known"},
    {"slow_machines", "Machines believed to be slower than usual"},
    {"expected_wait_ms_priority_0", "Expected wait of a new job, priority 0"},
    {"expected_wait_ms_priority_1", "Expected wait of a new job, priority 1"},
    {"expected_wait_ms_priority_2", "Expected wait of a new job, priority 2"},
};

constexpr MetricInfo kLatencies[] = {
    {"submit_to_recorded_seconds", "Request received to recorded on the log"},
    {"submit_to_running_seconds", "Request received to every task started"},
    {"append_seconds", "One batch appended"},
    {"gang_start_seconds", "Decision to every task started"},
    {"step_seconds", "One input of the state machine"},
};

static_assert(std::size(kCounters) ==
              static_cast<std::size_t>(Counter::kCount));
static_assert(std::size(kGauges) == static_cast<std::size_t>(Gauge::kCount));
static_assert(std::size(kLatencies) ==
              static_cast<std::size_t>(Latency::kCount));

constexpr unsigned kBucketCount = 21;
constexpr double kMinLatencySeconds = 1e-5;
constexpr double kMaxLatencySeconds = 1e3;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using Histogram = decltype(boost::histogram::make_histogram(
    Axis(kBucketCount, kMinLatencySeconds, kMaxLatencySeconds)));

struct LatencySeries {
  Histogram histogram = boost::histogram::make_histogram(
      Axis(kBucketCount, kMinLatencySeconds, kMaxLatencySeconds));
  double sum = 0;
};

void RenderHeader(std::ostream& out, const MetricInfo& info, const char* type) {
  out << "# HELP marjoramplank_" << info.name << " " << info.help
      << "\n# TYPE marjoramplank_" << info.name << " " << type << "\n";
}

void RenderHistogram(std::ostream& out,
                     const MetricInfo& info,
                     const std::string& label,
                     const LatencySeries& series) {
  RenderHeader(out, info, "histogram");
  double count = series.histogram.at(-1);
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    count += series.histogram.at(i);
    out << "marjoramplank_" << info.name << "_bucket{" << label << ",le=\""
        << series.histogram.axis().bin(i).upper() << "\"} " << count << "\n";
  }
  count += series.histogram.at(static_cast<int>(kBucketCount));
  out << "marjoramplank_" << info.name << "_bucket{" << label
      << ",le=\"+Inf\"} " << count << "\n"
      << "marjoramplank_" << info.name << "_sum{" << label << "} " << series.sum
      << "\n"
      << "marjoramplank_" << info.name << "_count{" << label << "} " << count
      << "\n";
}

}  // namespace

struct Metrics::Histograms {
  mutable std::mutex mutex;
  std::array<LatencySeries, static_cast<std::size_t>(Latency::kCount)> series;
};

Metrics::Metrics() : histograms_(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::Observe(Latency l, double seconds) {
  const std::lock_guard lock(histograms_->mutex);
  LatencySeries& s = histograms_->series[ToIndex(l)];
  s.histogram(seconds);
  s.sum += seconds;
}

std::string Metrics::Render(const std::string& process) const {
  std::ostringstream out;
  const std::string label = "process=\"" + process + "\"";
  for (std::size_t i = 0; i < counters_.size(); ++i) {
    RenderHeader(out, kCounters[i], "counter");
    out << "marjoramplank_" << kCounters[i].name << "{" << label << "} "
        << counters_[i].load() << "\n";
  }
  for (std::size_t i = 0; i < gauges_.size(); ++i) {
    RenderHeader(out, kGauges[i], "gauge");
    out << "marjoramplank_" << kGauges[i].name << "{" << label << "} "
        << gauges_[i].load() << "\n";
  }
  const std::lock_guard lock(histograms_->mutex);
  for (std::size_t i = 0; i < histograms_->series.size(); ++i) {
    RenderHistogram(out, kLatencies[i], label, histograms_->series[i]);
  }
  return out.str();
}

}  // namespace marjoramplank
