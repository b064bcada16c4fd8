// Rules with a time bound, as an observer beside the workers judges them.

#include <algorithm>

#include "tests/support/job_world_parts.h"

namespace marjoramplank {

namespace {

// Bounds of the platform's settings on the present deployments.
constexpr Duration kEvacuationBound = 5s;
constexpr Duration kReclaimBound = 2700ms;
constexpr Duration kClosure = 6s;
constexpr double kTicksPerSecond = 100;

std::int64_t NeedOf(const JobRequest& request) {
  std::int64_t most = 0;
  for (const JobStep& step : request.steps) {
    most = std::max(most, step.tasks * step.need.accelerators);
  }
  return most;
}

}  // namespace

void JobWorld::CloseSome() {
  for (auto it = closed_.begin(); it != closed_.end();) {
    it = now_ - it->second > kClosure ? closed_.erase(it) : std::next(it);
  }
  if (Draw(options_.closures / kTicksPerSecond)) {
    closed_.try_emplace("d" + std::to_string(random_() % 2), now_);
  }
  rules_.closed_data_centres.clear();
  for (const auto& [data_centre, since] : closed_) {
    rules_.closed_data_centres.insert(data_centre);
  }
}

void JobWorld::CheckStart(const TaskRef& task, const WorkerLife& life) {
  const auto closed = closed_.find(data_centres_.at(life.id));
  if (!carrying_late_ && closed != closed_.end() &&
      now_ - closed->second > kEvacuationBound) {
    Broken(ToString(task) + " started in a data centre that is out");
  }
}

bool JobWorld::HasBegun(const std::string& job,
                        const JobRequest& request) const {
  for (std::int32_t n = 0; n < request.steps[0].tasks; ++n) {
    const auto facts = facts_.find({.job = job, .index = n});
    if (facts == facts_.end() || facts->second.last_start == Time{0}) {
      return false;
    }
  }
  return true;
}

void JobWorld::CheckReclaim() {
  if (!options_.check_reclaim) {
    return;
  }
  std::vector<std::string> urgent;
  std::int64_t wanted = 0;
  for (const auto& [id, request] : requests_) {
    const JobEntry* job = planner_ledger_.FindJob(id);
    const bool ended = job != nullptr && job->ended();
    if (request.terms.priority == 0 && !ended) {
      urgent.push_back(id);
      wanted += NeedOf(request);
    }
  }
  for (const std::string& id : urgent) {
    if (wanted > rules_.rules.accounts[0].guaranteed_accelerators) {
      not_owed_.insert(id);
    }
    if (!not_owed_.contains(id) && now_ - accepted_[id] > kReclaimBound &&
        !HasBegun(id, requests_[id])) {
      Broken("job " + id + " has not begun within its guarantee");
      not_owed_.insert(id);  // Once is enough.
    }
  }
}

}  // namespace marjoramplank
