#include "src/supervisor/late_starts.h"

#include <algorithm>
#include <set>

#include "src/supervisor/worker_contact.h"

namespace marjoramplank {

namespace {

// For a listing or a refused connection after the last start can have arrived.
constexpr Duration kMaxEvidenceWait = 2500ms;

}  // namespace

Time LateStarts::ArrivesBy(const LedgerAgent& self,
                           const std::string& process,
                           Duration sender_ended_at) const {
  // A process before this one has ended at least this long before its start.
  const bool is_known = process != options_.process &&
                        self.process == options_.process &&
                        sender_ended_at >= Duration(0);
  const Duration ended_before =
      is_known ? self.earlier_uptime - sender_ended_at : Duration(0);
  return options_.started_at + options_.leases.CallsArriveWithin() -
         std::max(ended_before, Duration(0));
}

Time LateStarts::LeaseEnd(Time now) const {
  return now + options_.leases.MaxLeaseDuration() + options_.leases.call_margin;
}

void LateStarts::SetArrival(const RunRef& run, Time arrives_by) {
  arrivals_[run] = {.arrives_by = arrives_by,
                    .ended_by = arrives_by + kMaxEvidenceWait};
  TakeArrival(run);
}

void LateStarts::SetMaybeAtWork(Time now, const RunRef& run, Time arrives_by) {
  arrivals_[run] = {
      .arrives_by = arrives_by,
      .ended_by = std::max(arrives_by + kMaxEvidenceWait, LeaseEnd(now))};
  TakeArrival(run);
}

void LateStarts::TakeArrival(const RunRef& run) {
  const auto it = starts_.find(run);
  const auto known = arrivals_.find(run);
  if (it != starts_.end() && known != arrivals_.end()) {
    it->second.arrives_by = known->second.arrives_by;
    it->second.ended_by = known->second.ended_by;
  }
}

void LateStarts::OnLedger(const LedgerAgent& self, const LedgerWorker* worker) {
  std::erase_if(starts_, [&](const auto& start) {
    return !self.late_starts.contains(start.first);
  });
  for (const auto& [run, recorded] : self.late_starts) {
    const auto [it, is_new] = starts_.try_emplace(run);
    if (!is_new) {
      continue;
    }
    const Time arrives_by =
        ArrivesBy(self, recorded.agent_process, recorded.sender_ended_at);
    it->second = {.incarnation = recorded.incarnation,
                  .arrives_by = arrives_by,
                  .ended_by = arrives_by + kMaxEvidenceWait};
    TakeArrival(run);
  }
  std::erase_if(arrivals_, [&](const auto& arrival) {
    const auto& [task, run] = arrival.first;
    const bool is_live = worker != nullptr && worker->runs.contains(task) &&
                         worker->runs.at(task).run == run;
    return !is_live && !self.late_starts.contains(arrival.first);
  });
}

void LateStarts::OnListing(const std::string& worker_id,
                           Time sent_at,
                           Time now,
                           const std::vector<RunningTask>& running) {
  refused_in_row_ = 0;
  std::set<RunRef> at_work;
  for (const RunningTask& t : running) {
    at_work.insert({.task = t.task, .run = t.run});
  }
  for (auto& [run, start] : starts_) {
    if (start.incarnation.id != worker_id) {
      continue;
    }
    start.is_at_work = at_work.contains(run);
    if (start.is_at_work) {
      start.ended_by = std::max(start.ended_by, LeaseEnd(now));
    }
    start.is_verified = !start.is_at_work && sent_at > start.arrives_by;
  }
}

void LateStarts::OnConnectionRefused(Time now) {
  if (++refused_in_row_ < WorkerContact::kRefusedConnections) {
    return;
  }
  for (auto& [run, start] : starts_) {
    start.is_at_work = false;
    start.is_verified = start.is_verified || now > start.arrives_by;
  }
}

void LateStarts::OnWorkerId(const std::string& worker_id) {
  for (auto& [run, start] : starts_) {
    start.is_verified = start.is_verified || start.incarnation.id != worker_id;
  }
}

void LateStarts::OnIdRejected(const std::string& worker_id) {
  for (auto& [run, start] : starts_) {
    start.is_verified = start.is_verified || start.incarnation.id == worker_id;
  }
}

std::optional<WorkerIncarnation> LateStarts::WorkerToCall() const {
  const auto it =
      std::find_if(starts_.begin(), starts_.end(),
                   [](const auto& start) { return !start.second.is_returned; });
  return it == starts_.end() ? std::nullopt
                             : std::optional(it->second.incarnation);
}

std::vector<StopCall> LateStarts::TakeStops(Time now,
                                            Duration interval,
                                            std::int64_t fence) {
  std::vector<StopCall> out;
  for (auto& [run, start] : starts_) {
    if (start.is_at_work && now - start.last_stop_at >= interval) {
      start.last_stop_at = now;
      out.push_back({.incarnation = start.incarnation,
                     .fence = fence,
                     .task = run.task,
                     .run = run.run,
                     .is_given_away = true});
    }
  }
  return out;
}

bool LateStarts::MayArrive(Time now) const {
  return std::any_of(starts_.begin(), starts_.end(), [&](const auto& start) {
    return !start.second.is_verified && now <= start.second.arrives_by;
  });
}

std::vector<RunRef> LateStarts::TakeExpired(Time now) {
  std::vector<RunRef> out;
  for (auto& [run, start] : starts_) {
    if (!start.is_returned && (start.is_verified || now > start.ended_by)) {
      start.is_returned = true;
      out.push_back(run);
    }
  }
  return out;
}

}  // namespace marjoramplank
