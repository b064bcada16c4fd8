#include "src/jobs/ended_jobs_snapshot.h"

#include <tuple>
#include <utility>
#include <vector>

#include "src/jobs/job_snapshot.h"
#include "src/jobs/ledger_wire.h"

namespace marjoramplank {

namespace {

using ledger_wire::FromWire;
using ledger_wire::ToWire;

// Numbers the kinds of ended jobs, from 1.
class KindTable {
 public:
  std::int32_t NumberOf(const JobRequest& request) {
    const QueueTerms& terms = request.terms;
    const Recurrence& recurrence = request.recurrence;
    const Key key(request.account, terms.queue, terms.service, terms.priority,
                  terms.max_attempts, terms.stretch, terms.target,
                  recurrence.occurrence_count, recurrence.first_due_unix_ms,
                  recurrence.interval_ms, request.address);
    const auto number = static_cast<std::int32_t>(kinds_.size()) + 1;
    const auto [it, is_new] = numbers_.try_emplace(key, number);
    if (is_new) {
      kinds_.push_back(&request);
    }
    return it->second;
  }

  void Write(ledger_wire::Snapshot::Builder snapshot) const {
    auto out = snapshot.initEndedKinds(static_cast<unsigned>(kinds_.size()));
    for (unsigned n = 0; n < out.size(); ++n) {
      JobRequest kind = *kinds_[n];
      kind.id.clear();
      ToWire(kind, out[n]);
    }
  }

 private:
  using Key = std::tuple<std::string_view,
                         std::string_view,
                         std::string_view,
                         std::int32_t,
                         std::int32_t,
                         double,
                         Duration,
                         std::int32_t,
                         std::int64_t,
                         std::int64_t,
                         QueueAddress>;

  std::map<Key, std::int32_t> numbers_;
  std::vector<const JobRequest*> kinds_;
};

// True if the job is all that an entry of the list can hold.
bool IsStripped(const LedgerJob& job) {
  return job.ended() && job.occurrences.empty() && job.request.steps.empty() &&
         job.request.payload.empty();
}

}  // namespace

std::set<std::string_view> EndedJobsSnapshot::Write(
    const Jobs& jobs,
    const std::deque<std::string>& ended_order,
    ledger_wire::Snapshot::Builder out) {
  std::set<std::string_view> written;
  KindTable kinds;
  auto list = out.initEndedJobs(static_cast<unsigned>(ended_order.size()));
  unsigned n = 0;
  for (const std::string& id : ended_order) {
    ledger_wire::EndedJob::Builder entry = list[n++];
    entry.setId(id);
    const auto it = jobs.find(id);
    if (it == jobs.end() || !IsStripped(it->second)) {
      continue;
    }
    const LedgerJob& job = it->second;
    entry.setKind(kinds.NumberOf(job.request));
    entry.setPhase(static_cast<std::uint8_t>(job.phase));
    entry.setBegun(job.has_begun);
    entry.setOrder(job.sequence_number);
    written.insert(it->first);
  }
  kinds.Write(out);
  return written;
}

void EndedJobsSnapshot::Read(Time now,
                             ledger_wire::Snapshot::Reader in,
                             Jobs& jobs,
                             std::deque<std::string>& ended_order) {
  std::vector<JobRequest> kinds;
  for (const auto kind : in.getEndedKinds()) {
    kinds.push_back(FromWire(kind));
  }
  for (const auto entry : in.getEndedJobs()) {
    const std::string& id = ended_order.emplace_back(FromWire(entry.getId()));
    const std::int32_t kind = entry.getKind();
    if (kind < 1 || kind > std::ssize(kinds)) {
      continue;
    }
    LedgerJob job{.request = kinds[static_cast<std::size_t>(kind) - 1],
                  .phase = static_cast<JobPhase>(entry.getPhase()),
                  .has_begun = entry.getBegun(),
                  .sequence_number = entry.getOrder(),
                  .first_seen_at = now};
    job.request.id = id;
    if (job.ended() && JobSnapshot::IsSound(job)) {
      jobs.emplace(id, std::move(job));
    }
  }
}

}  // namespace marjoramplank
