#include "src/jobs/job_request.h"

#include <algorithm>
#include <charconv>

namespace marjoramplank {

namespace {

// Parses a non-negative decimal number at `at` and advances `at` past it.
bool ParseNumber(const char*& at, const char* end, std::int32_t& out) {
  const auto [next, ec] = std::from_chars(at, end, out);
  if (ec != std::errc() || out < 0) {
    return false;
  }
  at = next;
  return true;
}

bool ParseDot(const char*& at, const char* end) {
  if (at == end || *at != '.') {
    return false;
  }
  ++at;
  return true;
}

// Names and dependencies that the client chooses, about as long as they are in
// a record of the log.
std::size_t NameBytes(const JobRequest& request) {
  constexpr std::size_t kBytesPerDependency = 5;
  std::size_t bytes = request.id.size() + request.account.size();
  for (const JobStep& step : request.steps) {
    bytes += step.required_label.size() + step.data_rack.size() +
             step.image.size() + step.after.size() * kBytesPerDependency;
  }
  return bytes;
}

bool IsAmount(std::int64_t n) {
  return n >= 0 && n <= kMaxResourceAmount;
}

bool IsWithinLimits(const Recurrence& r) {
  return r.occurrence_count >= 0 && r.occurrence_count <= kMaxTasksOfJob &&
         r.first_due_unix_ms >= 0 && r.first_due_unix_ms <= kMaxUnixMs &&
         r.interval_ms >= 0 && r.interval_ms <= kMaxIntervalMs;
}

void ValidateStep(const JobStep& step,
                  std::int32_t number,
                  std::vector<std::string>& faults) {
  const std::string where = "steps[" + std::to_string(number) + "]";
  if (step.tasks < 1) {
    faults.push_back(where + " has fewer than one task");
  }
  if (step.gang && step.tasks > kMaxTasksOfGang) {
    faults.push_back(where + " is a gang of more than " +
                     std::to_string(kMaxTasksOfGang) + " tasks");
  }
  if (!IsWithinLimits(step.need)) {
    faults.push_back(where + " needs an amount that is out of range");
  }
  if (step.estimate > kMaxDuration || step.latency_target > kMaxDuration) {
    faults.push_back(where + " has a time that is out of range");
  }
  if (step.required_label.size() > kMaxJobNameBytes ||
      step.data_rack.size() > kMaxJobNameBytes ||
      step.image.size() > kMaxJobNameBytes) {
    faults.push_back(where + " has a name that is too long");
  }
  const bool has_invalid_dependency =
      step.after.size() > static_cast<std::size_t>(kMaxSteps) ||
      std::any_of(step.after.begin(), step.after.end(),
                  [&](std::int32_t n) { return n < 0 || n >= number; });
  if (has_invalid_dependency) {
    faults.push_back(where + " depends on a step that is not an earlier one");
  }
}

}  // namespace

Resources& Resources::operator+=(const Resources& o) {
  cpu_milli += o.cpu_milli;
  memory_mb += o.memory_mb;
  accelerators += o.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& o) {
  cpu_milli -= o.cpu_milli;
  memory_mb -= o.memory_mb;
  accelerators -= o.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& available) const {
  return cpu_milli <= available.cpu_milli && memory_mb <= available.memory_mb &&
         accelerators <= available.accelerators;
}

bool IsWithinLimits(const Resources& amounts) {
  return IsAmount(amounts.cpu_milli) && IsAmount(amounts.memory_mb) &&
         IsAmount(amounts.accelerators);
}

bool IsWithinLimits(const QueueTerms& terms) {
  return terms.target >= Duration(0) && terms.target <= kMaxDuration &&
         terms.stretch >= 0 && terms.stretch <= kMaxStretch;
}

std::string ToString(const TaskRef& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

bool ParseTaskRef(const std::string& text, TaskRef& out) {
  const std::size_t dot = text.find('.');
  if (dot == std::string::npos || dot == 0) {
    return false;
  }
  out.job = text.substr(0, dot);
  const char* at = text.data() + dot;
  const char* const end = text.data() + text.size();
  return ParseDot(at, end) && ParseNumber(at, end, out.occurrence) &&
         ParseDot(at, end) && ParseNumber(at, end, out.step) &&
         ParseDot(at, end) && ParseNumber(at, end, out.index) && at == end;
}

std::vector<std::string> CheckJobRequest(const JobRequest& request) {
  std::vector<std::string> faults;
  if (request.id.empty()) {
    faults.emplace_back("the job has no id");
  }
  if (request.id.size() > kMaxJobNameBytes) {
    faults.emplace_back("the id is too long");
  }
  if (request.payload.size() > kMaxJobPayloadBytes) {
    faults.push_back("the payload is longer than " +
                     std::to_string(kMaxJobPayloadBytes) + " bytes");
  }
  if (NameBytes(request) > kMaxNameBytesOfJob) {
    faults.push_back("names and dependencies are longer than " +
                     std::to_string(kMaxNameBytesOfJob) + " bytes");
  }
  if (request.steps.empty() ||
      request.steps.size() > static_cast<std::size_t>(kMaxSteps)) {
    faults.push_back("a job has 1 to " + std::to_string(kMaxSteps) + " steps");
  }
  if (!IsWithinLimits(request.recurrence)) {
    faults.emplace_back("the recurrence has a number that is out of range");
  }
  if (!IsWithinLimits(request.terms)) {
    faults.emplace_back("the queue has a number that is out of range");
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    ValidateStep(request.steps[i], static_cast<std::int32_t>(i), faults);
    tasks += request.steps[i].tasks;
  }
  // Divides, as the product may overflow.
  if (tasks >
      kMaxTasksOfJob / std::max(1, request.recurrence.occurrence_count)) {
    faults.push_back("the job has more than " + std::to_string(kMaxTasksOfJob) +
                     " tasks");
  }
  return faults;
}

}  // namespace marjoramplank
