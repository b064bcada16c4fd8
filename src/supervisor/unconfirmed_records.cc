#include "src/supervisor/unconfirmed_records.h"

#include <algorithm>
#include <utility>

namespace marjoramplank {

namespace {

const LiveRun* FindRun(const Ledger& ledger,
                       const WorkerIncarnation& incarnation,
                       const TaskRef& task,
                       std::int32_t run) {
  const LedgerWorker* worker = ledger.FindWorker(incarnation);
  if (worker == nullptr) {
    return nullptr;
  }
  const auto it = worker->runs.find(task);
  return it == worker->runs.end() || it->second.run != run ? nullptr
                                                           : &it->second;
}

bool IsShown(const Ledger& ledger, const WorkerEmptied& r) {
  const LedgerWorker* worker = ledger.FindWorker(r.incarnation);
  if (worker == nullptr) {
    return true;  // A later incarnation has taken its place.
  }
  if (r.incarnation_ended) {
    return worker->incarnation_ended;
  }
  return std::none_of(r.runs.begin(), r.runs.end(), [&](const RunRef& run) {
    return FindRun(ledger, r.incarnation, run.task, run.run) != nullptr;
  });
}

bool IsShown(const Ledger& ledger, const TaskEnded& r) {
  const LedgerWorker* worker = ledger.FindWorker(r.incarnation);
  return worker == nullptr ||
         (worker->last_end_number >= r.end_number &&
          FindRun(ledger, r.incarnation, r.task, r.run) == nullptr);
}

bool IsShown(const Ledger& ledger, const StartRefused& r) {
  return FindRun(ledger, r.incarnation, r.task, r.run) == nullptr;
}

bool IsShown(const Ledger& ledger, const RunObserved& r) {
  const LiveRun* run = FindRun(ledger, r.incarnation, r.task, r.run);
  return run == nullptr ||
         (run->percent == r.percent && run->stalled == r.stalled);
}

bool IsShown(const Ledger& ledger, const StartUnanswered& r) {
  const LiveRun* run = FindRun(ledger, r.incarnation, r.task, r.run);
  return run == nullptr || run->start_unanswered;
}

bool IsShown(const Ledger& ledger, const StartsExpired& r) {
  const LedgerAgent* agent = ledger.FindAgent(r.agent);
  return agent == nullptr ||
         std::none_of(r.runs.begin(), r.runs.end(), [&](const RunRef& run) {
           return agent->late_starts.contains(run);
         });
}

template <typename Other>
bool IsShown(const Ledger&, const Other&) {
  return true;
}

// True if the record is an older observation of the run.
bool IsObservationOf(const LedgerRecord& record, const RunObserved& newer) {
  const auto* older = std::get_if<RunObserved>(&record);
  return older != nullptr && older->incarnation == newer.incarnation &&
         older->task == newer.task && older->run == newer.run;
}

}  // namespace

bool IsShownBy(const Ledger& ledger, const LedgerRecord& record) {
  return std::visit([&](const auto& r) { return IsShown(ledger, r); }, record);
}

void UnconfirmedRecords::DropEndOf(const WorkerIncarnation& incarnation) {
  entries_.remove_if([&](const Entry& e) {
    const auto* end = std::get_if<WorkerEmptied>(&e.record);
    return end != nullptr && end->incarnation == incarnation && !e.is_due;
  });
}

void UnconfirmedRecords::OnStored(const LedgerRecord& record, Time stored_by) {
  const auto it =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const Entry& e) { return e.record == record; });
  if (it != entries_.end()) {
    it->stored_by = stored_by;
  }
}

void UnconfirmedRecords::OnLedger(Time now, const Ledger& ledger, Time as_of) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool was_read = it->stored_by != Time{0} && it->stored_by <= as_of;
    if (was_read && IsShownBy(ledger, it->record)) {
      it = entries_.erase(it);
      continue;
    }
    it->is_due =
        it->is_due || (was_read && now - it->stored_by >= kRetryInterval);
    ++it;
  }
}

std::vector<LedgerRecord> UnconfirmedRecords::TakeDue(
    const std::function<AgentStatement()>& next_statement) {
  std::vector<LedgerRecord> out;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!it->is_due) {
      ++it;
      continue;
    }
    if (auto* emptied = std::get_if<WorkerEmptied>(&it->record)) {
      emptied->statement = next_statement();
    } else if (auto* expired = std::get_if<StartsExpired>(&it->record)) {
      expired->statement = next_statement();
    }
    out.push_back(it->record);
    repeated_count_ += it->was_due ? 1 : 0;
    it->is_due = false;
    it->was_due = true;
    it->stored_by = Time{0};
    if (const auto* observation = std::get_if<RunObserved>(&it->record)) {
      // The newest one is enough.
      for (auto older = entries_.begin(); older != it;) {
        older = IsObservationOf(older->record, *observation)
                    ? entries_.erase(older)
                    : std::next(older);
      }
    }
    ++it;
  }
  return out;
}

}  // namespace marjoramplank
