#include "src/admission/known_workers.h"

#include <algorithm>

namespace marjoramplank {

namespace {

bool IsPresent(const LedgerWorker& worker) {
  return worker.report.accepting && !worker.incarnation_ended;
}

bool HasSameShape(const WorkerReported& a, const WorkerReported& b) {
  return a.capacity == b.capacity && a.labels == b.labels;
}

}  // namespace

void KnownWorkers::Update(Time now, const Ledger& ledger) {
  MarkAbsent(now, ledger);
  for (const auto& [incarnation, worker] : ledger.workers()) {
    if (IsPresent(worker)) {
      AddPresent(now, worker.report);
    }
  }
}

void KnownWorkers::AddPresent(Time now, const WorkerReported& report) {
  Service& service = services_[report.service];
  const auto [it, is_new] = service.workers.try_emplace(report.incarnation);
  Worker& worker = it->second;
  if (is_new || !worker.is_present || !HasSameShape(worker.report, report)) {
    service.changed_at = now;
    worker = {.report = report};
  }
}

void KnownWorkers::MarkAbsent(Time now, const Ledger& ledger) {
  for (auto& [name, service] : services_) {
    for (auto& [incarnation, worker] : service.workers) {
      const LedgerWorker* entry = ledger.FindWorker(incarnation);
      const bool is_present = entry != nullptr && IsPresent(*entry) &&
                              entry->report.service == name;
      if (worker.is_present && !is_present) {
        worker.is_present = false;
        worker.left_at = now;
        service.changed_at = now;
      }
    }
    std::erase_if(service.workers, [&](const auto& entry) {
      return !entry.second.is_present &&
             now - entry.second.left_at > options_.departure_memory;
    });
  }
}

bool KnownWorkers::IsSettled(Time now, const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() &&
         now - it->second.changed_at >= options_.discovery_time &&
         std::any_of(it->second.workers.begin(), it->second.workers.end(),
                     [](const auto& entry) { return entry.second.is_present; });
}

std::vector<const WorkerReported*> KnownWorkers::WorkersOf(
    const std::string& service) const {
  std::vector<const WorkerReported*> out;
  const auto it = services_.find(service);
  if (it != services_.end()) {
    for (const auto& [incarnation, worker] : it->second.workers) {
      out.push_back(&worker.report);
    }
  }
  return out;
}

}  // namespace marjoramplank
