#include "src/jobs/run_time_snapshot.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "src/jobs/ledger_wire.h"
#include "src/jobs/record_limits.h"

namespace marjoramplank {

namespace {

using ledger_wire::FromWire;

// A snapshot may come from a faulty writer.
double FiniteOr0(double n) {
  return std::isfinite(n) ? n : 0;
}

}  // namespace

void RunTimeSnapshot::Write(const RunTimeModel& in,
                            ledger_wire::RunTimes::Builder out) {
  // Equal models have equal snapshots.
  std::map<std::string, const RunTimeModel::Machine*> by_agent;
  for (const auto& [agent, machine] : in.machines_) {
    by_agent.emplace(agent, &machine);
  }
  auto machines = out.initMachines(static_cast<unsigned>(by_agent.size()));
  unsigned n = 0;
  for (const auto& [agent, of_agent] : by_agent) {
    const RunTimeModel::Machine& machine = *of_agent;
    auto to = machines[n++];
    to.setAgent(agent);
    to.setLogSlowness(machine.log_slowness);
    to.setLastUsed(machine.last_used);
    auto samples =
        to.initSamples(static_cast<unsigned>(machine.samples.size()));
    for (unsigned i = 0; i < samples.size(); ++i) {
      samples[i].setRun(machine.samples[i].run_id);
      samples[i].setResidual(machine.samples[i].residual);
      samples[i].setComparison(machine.samples[i].is_comparison);
      samples[i].setGroup(machine.samples[i].group_id);
    }
  }
  auto groups = out.initGroups(static_cast<unsigned>(in.groups_.size()));
  n = 0;
  for (const auto& [key, group] : in.groups_) {
    auto to = groups[n++];
    to.setKey(key);
    to.setQueue(group.queue);
    to.setLogBase(group.log_base);
    to.setLogDeclared(group.log_declared);
    to.setRemote(group.is_remote);
    to.setLastUsed(group.last_used);
    auto samples = to.initSamples(static_cast<unsigned>(group.samples.size()));
    for (unsigned i = 0; i < samples.size(); ++i) {
      samples[i].setRun(group.samples[i].run_id);
      samples[i].setAgent(group.samples[i].agent);
      samples[i].setLogTime(group.samples[i].log_time);
    }
  }
  auto queues = out.initQueues(static_cast<unsigned>(in.queues_.size()));
  n = 0;
  for (const auto& [name, queue] : in.queues_) {
    auto to = queues[n++];
    to.setQueue(name);
    auto samples = to.initSamples(static_cast<unsigned>(queue.samples.size()));
    for (unsigned i = 0; i < samples.size(); ++i) {
      samples[i].setGroup(queue.samples[i].group);
      samples[i].setLogBase(queue.samples[i].log_base);
      samples[i].setLogDeclared(queue.samples[i].log_declared);
    }
  }
  out.setSamples(in.sample_count_);
  out.setSinceRecentring(in.samples_since_recentring_);
}

RunTimeModel RunTimeSnapshot::Read(Time now, ledger_wire::RunTimes::Reader in) {
  RunTimeModel out;
  for (const auto machine : in.getMachines()) {
    RunTimeModel::Machine& to = out.machines_[FromWire(machine.getAgent())];
    to.log_slowness = FiniteOr0(machine.getLogSlowness());
    to.last_used =
        std::clamp<std::int64_t>(machine.getLastUsed(), 0, kMaxCounter);
    to.last_sample_at = now;
    for (const auto s : machine.getSamples()) {
      to.samples.push_back({.run_id = s.getRun(),
                            .group_id = s.getGroup(),
                            .residual = FiniteOr0(s.getResidual()),
                            .is_comparison = s.getComparison()});
    }
  }
  for (const auto group : in.getGroups()) {
    RunTimeModel::Group& to = out.groups_[FromWire(group.getKey())];
    to.queue = FromWire(group.getQueue());
    to.log_base = FiniteOr0(group.getLogBase());
    to.log_declared = FiniteOr0(group.getLogDeclared());
    to.is_remote = group.getRemote();
    to.last_used =
        std::clamp<std::int64_t>(group.getLastUsed(), 0, kMaxCounter);
    for (const auto s : group.getSamples()) {
      to.samples.push_back({.run_id = s.getRun(),
                            .agent = FromWire(s.getAgent()),
                            .log_time = FiniteOr0(s.getLogTime())});
    }
  }
  for (const auto queue : in.getQueues()) {
    RunTimeModel::Queue& to = out.queues_[FromWire(queue.getQueue())];
    for (const auto s : queue.getSamples()) {
      to.samples.push_back({.group = FromWire(s.getGroup()),
                            .log_base = FiniteOr0(s.getLogBase()),
                            .log_declared = FiniteOr0(s.getLogDeclared())});
    }
  }
  out.sample_count_ = std::clamp<std::int64_t>(in.getSamples(), 0, kMaxCounter);
  out.samples_since_recentring_ =
      std::clamp<std::int64_t>(in.getSinceRecentring(), 0, kMaxCounter);
  return out;
}

}  // namespace marjoramplank
