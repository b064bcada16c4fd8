#include "src/entry/regions.h"

#include <algorithm>
#include <utility>

#include "src/codec/inventory_codec.h"
#include "src/codec/job_codec.h"
#include "src/entry/gangs.h"

namespace marjoramplank {

namespace {

void TakeOverRegion(EntryState& s,
                    Time now,
                    const std::string& name,
                    RegionState& region) {
  s.metrics->Add(Counter::kOwnershipChanges);
  PlannerOptions options = s.options.planner;
  options.region = name;
  region.planner = std::make_unique<Planner>(std::move(options));
  region.planner->SetInventory(now, *s.config.inventory);
  region.taken_over_at = now;
  region.jobs_recovered = false;
  for (auto& [worker, agent] : s.agents) {
    // UpdateWorkerAvailability() then passes all agents to the new planner.
    agent.up_at_planner = false;
  }
}

void ReleaseRegion(EntryState& s,
                   const std::string& name,
                   RegionState& region) {
  s.metrics->Add(Counter::kOwnershipChanges);
  ReleaseGangs(s, name);
  region.planner.reset();
}

// Returns the members of an unrecorded attempt according to the agents'
// reports. Some may be missing.
std::vector<AttemptMember> MembersFromReports(const EntryState& s,
                                              Time now,
                                              const std::string& job,
                                              std::int32_t attempt) {
  std::vector<AttemptMember> out;
  for (const auto& [worker, agent] : s.agents) {
    if (now - agent.last_report_at > s.options.agent_timeout) {
      continue;
    }
    AttemptMember m{.worker = worker,
                    .incarnation = agent.report.agent.incarnation};
    for (const TaskReport& t : agent.report.tasks) {
      if (t.job == job && t.attempt == attempt && t.state != TaskState::kHeld) {
        m.placements.push_back({.task = t.task,
                                .worker = worker,
                                .accelerator_mask = t.accelerator_mask});
      }
    }
    if (!m.placements.empty()) {
      out.push_back(std::move(m));
    }
  }
  std::sort(out.begin(), out.end(),
            [](const AttemptMember& a, const AttemptMember& b) {
              return a.worker < b.worker;
            });
  return out;
}

// Returns the attempts in the agents' reports that are newer than the latest
// attempt on the log, by job.
std::map<std::string, std::int32_t> UnrecordedAttempts(const EntryState& s) {
  std::map<std::string, std::int32_t> out;
  for (const auto& [worker, agent] : s.agents) {
    for (const TaskReport& t : agent.report.tasks) {
      const LoggedJob* const job = s.log.FindJob(t.job);
      if (job != nullptr && job->IsLive() && t.attempt > job->attempt &&
          t.state != TaskState::kHeld) {
        out[t.job] = std::max(out[t.job], t.attempt);
      }
    }
  }
  return out;
}

// Submits the region's live jobs to its new planner. Running jobs are adopted
// before the waiting ones are submitted, since they occupy resources.
void RecoverJobs(EntryState& s,
                 Time now,
                 const std::string& name,
                 RegionState& region) {
  region.jobs_recovered = true;
  const std::map<std::string, std::int32_t> unrecorded = UnrecordedAttempts(s);
  std::vector<std::string> waiting;
  std::vector<std::string> live;
  for (const auto& [id, job] : s.log.jobs()) {
    if (job.IsLive() && job.region == name &&
        !s.pending_outcomes.contains(id)) {
      live.push_back(id);
    }
  }
  std::sort(live.begin(), live.end());
  for (const std::string& id : live) {
    const LoggedJob& job = *s.log.FindJob(id);
    if (const auto it = unrecorded.find(id); it != unrecorded.end()) {
      const std::vector<AttemptMember> members =
          MembersFromReports(s, now, id, it->second);
      std::size_t tasks = 0;
      for (const AttemptMember& m : members) {
        tasks += m.placements.size();
      }
      if (tasks == static_cast<std::size_t>(job.spec->tasks)) {
        AdoptGang(s, now, name, id, it->second, members, false);
        continue;
      }
      for (const AttemptMember& m : members) {
        s.Send(m.worker, Stop{.job = id, .attempt = it->second});
        s.Send(m.worker, Forget{.job = id, .attempt = it->second});
      }
      s.last_attempt[id] = it->second;
    }
    if (job.latest_attempt) {
      AdoptGang(s, now, name, id, job.attempt, job.latest_attempt->members,
                true);
    } else {
      waiting.push_back(id);
    }
  }
  for (const std::string& id : waiting) {
    EnsureJobPlanned(s, now, id);
  }
  for (const std::string& id : live) {
    if (s.log.FindJob(id)->cancelled) {
      region.planner->Cancel(now, id);
    }
  }
}

bool IsTakeoverSettled(const EntryState& s,
                       Time now,
                       const std::string& name,
                       const RegionState& region) {
  if (now - region.taken_over_at < s.options.takeover_settle_delay ||
      !s.caught_up) {
    return false;
  }
  if (now - region.taken_over_at >= s.options.adopt_timeout) {
    return true;
  }
  for (const auto& [id, job] : s.log.jobs()) {
    if (!job.IsLive() || job.region != name || !job.latest_attempt) {
      continue;
    }
    for (const AttemptMember& m : job.latest_attempt->members) {
      if (!s.agents.contains(m.worker)) {
        return false;  // A gang member has not reported yet.
      }
    }
  }
  return true;
}

}  // namespace

void UpdateOwnership(EntryState& s, Time now) {
  if (s.config.inventory == nullptr || !s.caught_up) {
    return;
  }
  std::set<std::string> names;
  for (const DataCentreSpec& dc : s.config.inventory->data_centres) {
    names.insert(dc.region);
  }
  for (auto it = s.regions.begin(); it != s.regions.end();) {
    if (names.contains(it->first)) {
      ++it;
      continue;
    }
    ReleaseGangs(s, it->first);
    it = s.regions.erase(it);
  }
  for (const std::string& name : names) {
    RegionState& region = s.regions[name];
    const std::string owner = s.membership.ChooseOwner(
        now, name, IsLogReadable(s, now), s.is_leaving);
    if (owner != region.candidate_owner) {
      region.candidate_owner = owner;
      region.candidate_since = now;
    }
    if (now - region.candidate_since < s.options.membership.hold_down) {
      continue;
    }
    const bool mine = owner == s.options.membership.self.name;
    if (mine && region.planner == nullptr) {
      TakeOverRegion(s, now, name, region);
    } else if (!mine && region.planner != nullptr) {
      ReleaseRegion(s, name, region);
    }
  }
}

void RunPlanners(EntryState& s, Time now) {
  // A decision that fails immediately is followed by another in the same step.
  constexpr int kMaxPlanningRounds = 4;
  for (auto& entry : s.regions) {
    const std::string& name = entry.first;
    RegionState& region = entry.second;
    if (region.planner == nullptr) {
      continue;
    }
    if (!region.jobs_recovered) {
      if (!IsTakeoverSettled(s, now, name, region)) {
        continue;
      }
      RecoverJobs(s, now, name, region);
    }
    for (int round = 0;
         round < kMaxPlanningRounds && region.planner->NextWake() <= now;
         ++round) {
      for (const Decision& decision : region.planner->Plan(now)) {
        std::visit(
            Overloaded{
                [&](const StartGang& d) { StartAttempt(s, now, name, d); },
                [&](const StopGang& d) { StopAttempt(s, now, d); },
                [&](const EndJob& d) { RecordOutcome(s, now, name, d); }},
            decision);
      }
    }
  }
}

void EnsureJobPlanned(EntryState& s, Time now, const std::string& id) {
  const LoggedJob* const job = s.log.FindJob(id);
  if (job == nullptr || !job->IsLive() || s.pending_outcomes.contains(id)) {
    return;
  }
  const auto it = s.regions.find(job->region);
  if (it == s.regions.end() || it->second.planner == nullptr ||
      !it->second.jobs_recovered || it->second.planner->HasJob(id)) {
    return;
  }
  if (job->latest_attempt) {
    AdoptGang(s, now, job->region, id, job->attempt,
              job->latest_attempt->members, true);
  } else {
    it->second.planner->Submit(
        now, {.job = id, .spec = *job->spec, .attempts = job->attempt});
  }
  if (job->cancelled) {
    it->second.planner->Cancel(now, id);
  }
}

void SweepUnplannedJobs(EntryState& s, Time now) {
  if (now - s.last_sweep_at < s.options.sweep_interval) {
    return;
  }
  s.last_sweep_at = now;
  std::vector<std::string> lost;
  for (const auto& [id, job] : s.log.jobs()) {
    const auto it = job.IsLive() ? s.regions.find(job.region) : s.regions.end();
    if (it != s.regions.end() && it->second.planner != nullptr &&
        !it->second.planner->HasJob(id)) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const std::string& id : lost) {
    EnsureJobPlanned(s, now, id);
  }
}

void OnAgentReport(EntryState& s, Time now, const AgentReport& report) {
  AgentState& agent = s.agents[report.agent.name];
  const bool same_run =
      agent.report.agent.incarnation == report.agent.incarnation;
  if (same_run && report.sequence <= agent.report.sequence) {
    return;  // Reordered: a newer report was received already.
  }
  agent.report = report;
  agent.last_report_at = now;
  EntryHeartbeat heartbeat{.entry = s.options.membership.self,
                           .echoed_sent_at = report.sent_at,
                           .config_fresh = HasFreshConfig(s, now),
                           .config_version = s.config.version};
  const auto worker = s.worker_by_name.find(report.agent.name);
  if (worker == s.worker_by_name.end()) {
    // Nothing may start on a worker that is not listed.
    heartbeat.cordoned = true;
  } else {
    const DataCentreSpec* const dc =
        s.config.inventory->FindDataCentre(worker->second->data_centre);
    heartbeat.cordoned = worker->second->cordoned;
    heartbeat.data_centre_out = dc == nullptr || dc->out_of_service;
  }
  for (const auto& [name, member] : s.log.members()) {
    heartbeat.entry_addresses.push_back(member.address);
  }
  s.Send(report.agent.name, std::move(heartbeat));
  UpdateWorkerAvailability(s, now);
  ReconcileReport(s, now, report);
}

void UpdateWorkerAvailability(EntryState& s, Time now) {
  for (auto& [name, agent] : s.agents) {
    const bool up = now - agent.last_report_at <= s.options.agent_timeout &&
                    !agent.report.draining && s.connected_peers.contains(name);
    if (up == agent.up_at_planner) {
      continue;
    }
    const auto worker = s.worker_by_name.find(name);
    const DataCentreSpec* const dc =
        worker == s.worker_by_name.end()
            ? nullptr
            : s.config.inventory->FindDataCentre(worker->second->data_centre);
    Planner* const planner =
        dc == nullptr ? nullptr : FindPlanner(s, dc->region);
    if (planner != nullptr) {
      planner->SetWorkerUp(now, name, up);
      agent.up_at_planner = up;
    }
  }
}

void ApplyConfig(EntryState& s, Time now) {
  const ConfigVersion& current = s.log.config();
  if (current.version == s.config.version || current.document == nullptr) {
    return;
  }
  const auto parsed = ParseInventory(*current.document);
  s.config.version = current.version;
  if (const Inventory* inventory = std::get_if<Inventory>(&parsed)) {
    s.config.inventory = std::make_shared<const Inventory>(*inventory);
  } else if (s.config.inventory == nullptr) {
    // The document was written by an incompatible version: nothing is placed.
    s.config.inventory = std::make_shared<const Inventory>();
  }
  s.worker_by_name.clear();
  for (const WorkerSpec& w : s.config.inventory->workers) {
    s.worker_by_name[w.name] = &w;
  }
  for (auto& [name, region] : s.regions) {
    if (region.planner != nullptr) {
      region.planner->SetInventory(now, *s.config.inventory);
    }
  }
  for (auto& [name, agent] : s.agents) {
    agent.up_at_planner =
        agent.up_at_planner && s.worker_by_name.contains(name);
  }
  s.outputs.emplace_back(PublishConfig{.snapshot = s.config});
}

}  // namespace marjoramplank
