#include "src/entry/regions.h"

#include <algorithm>
#include <utility>

#include "src/codec/inventory_codec.h"
#include "src/codec/job_codec.h"
#include "src/entry/gangs.h"

namespace marjoramplank {

namespace {

void TakeOver(EntryState& s,
              Time now,
              const std::string& name,
              RegionState& region) {
  s.metrics->Add(Counter::kOwnershipChanges);
  PlannerOptions options = s.options.planner;
  options.region = name;
  region.planner = std::make_unique<Planner>(std::move(options));
  region.planner->SetInventory(now, *s.config.inventory);
  region.taken_at = now;
  region.recovered = false;
  for (auto& [worker, agent] : s.agents) {
    agent.up = false;  // CheckAgents tells the new planner.
  }
}

void GiveUp(EntryState& s, const std::string& name, RegionState& region) {
  s.metrics->Add(Counter::kOwnershipChanges);
  ReleaseGangs(s, name);
  region.planner.reset();
}

// Members of an unrecorded attempt, if the agents' reports show the whole gang.
std::vector<AttemptMember> MembersFromReports(const EntryState& s,
                                              Time now,
                                              const std::string& job,
                                              std::int32_t attempt) {
  std::vector<AttemptMember> out;
  for (const auto& [worker, agent] : s.agents) {
    if (now - agent.heard > s.options.agent_timeout) {
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

// Attempts that agents hold beyond the latest one on the log, by job.
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

// Gives a new planner its region's jobs: running ones are adopted ahead of the
// waiting ones, whose room they hold.
void Recover(EntryState& s,
             Time now,
             const std::string& name,
             RegionState& region) {
  region.recovered = true;
  const std::map<std::string, std::int32_t> unrecorded = UnrecordedAttempts(s);
  std::vector<std::string> waiting;
  std::vector<std::string> live;
  for (const auto& [id, job] : s.log.jobs()) {
    if (job.IsLive() && job.region == name && !s.ending.contains(id)) {
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
    if (job.latest) {
      AdoptGang(s, now, name, id, job.attempt, job.latest->members, true);
    } else {
      waiting.push_back(id);
    }
  }
  for (const std::string& id : waiting) {
    PlaceJob(s, now, id);
  }
  for (const std::string& id : live) {
    if (s.log.FindJob(id)->cancelled) {
      region.planner->Cancel(now, id);
    }
  }
}

bool IsSettled(const EntryState& s,
               Time now,
               const std::string& name,
               const RegionState& region) {
  if (now - region.taken_at < s.options.takeover_settle || !s.caught_up) {
    return false;
  }
  if (now - region.taken_at >= s.options.adopt_timeout) {
    return true;
  }
  for (const auto& [id, job] : s.log.jobs()) {
    if (!job.IsLive() || job.region != name || !job.latest) {
      continue;
    }
    for (const AttemptMember& m : job.latest->members) {
      if (!s.agents.contains(m.worker)) {
        return false;  // A member of a run has not reported yet.
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
    const std::string owner =
        s.membership.OwnerOf(now, name, SeesLog(s, now), s.leaving);
    if (owner != region.candidate) {
      region.candidate = owner;
      region.candidate_since = now;
    }
    if (now - region.candidate_since < s.options.membership.hold_down) {
      continue;
    }
    const bool mine = owner == s.options.membership.self.name;
    if (mine && region.planner == nullptr) {
      TakeOver(s, now, name, region);
    } else if (!mine && region.planner != nullptr) {
      GiveUp(s, name, region);
    }
  }
}

void RunPlanners(EntryState& s, Time now) {
  constexpr int kRounds = 4;  // A decision that fails at once is followed by
                              // another within the same step.
  for (auto& entry : s.regions) {
    const std::string& name = entry.first;
    RegionState& region = entry.second;
    if (region.planner == nullptr) {
      continue;
    }
    if (!region.recovered) {
      if (!IsSettled(s, now, name, region)) {
        continue;
      }
      Recover(s, now, name, region);
    }
    for (int round = 0; round < kRounds && region.planner->NextWake() <= now;
         ++round) {
      for (const Decision& decision : region.planner->Plan(now)) {
        std::visit(
            Overloaded{[&](const StartGang& d) { BeginGang(s, now, name, d); },
                       [&](const StopGang& d) { StopGangOf(s, now, d); },
                       [&](const EndJob& d) { StoreOutcome(s, now, name, d); }},
            decision);
      }
    }
  }
}

void PlaceJob(EntryState& s, Time now, const std::string& id) {
  const LoggedJob* const job = s.log.FindJob(id);
  if (job == nullptr || !job->IsLive() || s.ending.contains(id)) {
    return;
  }
  const auto it = s.regions.find(job->region);
  if (it == s.regions.end() || it->second.planner == nullptr ||
      !it->second.recovered || it->second.planner->Knows(id)) {
    return;
  }
  if (job->latest) {
    AdoptGang(s, now, job->region, id, job->attempt, job->latest->members,
              true);
  } else {
    it->second.planner->Submit(
        now, {.job = id, .spec = *job->spec, .attempts = job->attempt});
  }
  if (job->cancelled) {
    it->second.planner->Cancel(now, id);
  }
}

void SweepJobs(EntryState& s, Time now) {
  if (now - s.last_sweep < s.options.sweep_interval) {
    return;
  }
  s.last_sweep = now;
  std::vector<std::string> lost;
  for (const auto& [id, job] : s.log.jobs()) {
    const auto it = job.IsLive() ? s.regions.find(job.region) : s.regions.end();
    if (it != s.regions.end() && it->second.planner != nullptr &&
        !it->second.planner->Knows(id)) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const std::string& id : lost) {
    PlaceJob(s, now, id);
  }
}

void OnAgentReport(EntryState& s, Time now, const AgentReport& report) {
  AgentState& agent = s.agents[report.agent.name];
  const bool same_run =
      agent.report.agent.incarnation == report.agent.incarnation;
  if (same_run && report.sequence <= agent.report.sequence) {
    return;  // Overtaken by a later one.
  }
  agent.report = report;
  agent.heard = now;
  EntryBeat beat{.entry = s.options.membership.self,
                 .echo = report.sent_at,
                 .fresh = IsFresh(s, now),
                 .config_version = s.config.version};
  const auto worker = s.worker_by_name.find(report.agent.name);
  if (worker == s.worker_by_name.end()) {
    beat.cordoned = true;  // Not in the inventory: nothing may start there.
  } else {
    const DataCentreSpec* const dc =
        s.config.inventory->FindDataCentre(worker->second->data_centre);
    beat.cordoned = worker->second->cordoned;
    beat.data_centre_out = dc == nullptr || dc->out_of_service;
  }
  for (const auto& [name, member] : s.log.members()) {
    beat.entries.push_back(member.address);
  }
  s.Send(report.agent.name, std::move(beat));
  CheckAgents(s, now);
  CheckReport(s, now, report);
}

void CheckAgents(EntryState& s, Time now) {
  for (auto& [name, agent] : s.agents) {
    const bool up = now - agent.heard <= s.options.agent_timeout &&
                    !agent.report.leaving && s.connected.contains(name);
    if (up == agent.up) {
      continue;
    }
    const auto worker = s.worker_by_name.find(name);
    const DataCentreSpec* const dc =
        worker == s.worker_by_name.end()
            ? nullptr
            : s.config.inventory->FindDataCentre(worker->second->data_centre);
    Planner* const planner = dc == nullptr ? nullptr : PlannerOf(s, dc->region);
    if (planner != nullptr) {
      planner->SetWorkerUp(now, name, up);
      agent.up = up;
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
    s.config.inventory =
        std::make_shared<const Inventory>();  // Written by another version:
                                              // nothing can be placed.
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
    agent.up = agent.up && s.worker_by_name.contains(name);
  }
  s.out.emplace_back(PublishConfig{.snapshot = s.config});
}

}  // namespace marjoramplank
