#include "src/dispatch/fair_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string>

#include "src/dispatch/placement.h"

namespace marjoramplank {

namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

struct AccountUse {
  double running = 0;         // Core equivalents of its running units.
  double running_urgent = 0;  // Of these, of priority 0.
  std::int64_t urgent_accelerators = 0;  // In use by these.
  double waiting = 0;                    // Core equivalents.
  double waiting_guaranteed = 0;         // Of these, within its guarantee.
  double own = 0;                        // Does not count against its share.
  double used = 0;  // What counts, with the units before the current one.

  double Demand() const { return running + waiting - own; }
};

struct ServiceUse {
  std::map<std::string, AccountUse> accounts;
  Resources capacity;
  Resources demand;  // Of running and waiting units.
  std::size_t waiting_accounts = 0;
  double share = kUnlimited;  // Of one account, in core equivalents.
};

using ServiceUses = std::map<std::string, ServiceUse>;

Resources Times(Resources r, std::int64_t n) {
  r.cpu_milli *= n;
  r.memory_mb *= n;
  r.accelerators *= n;
  return r;
}

// Demand / capacity. 0: no demand, or no capacity that could be shared.
double Ratio(std::int64_t demand, std::int64_t capacity) {
  return capacity <= 0
             ? 0
             : static_cast<double>(demand) / static_cast<double>(capacity);
}

// Spares most searches by name: units of a job mostly follow each other.
class UseOfJob {
 public:
  explicit UseOfJob(ServiceUses& services) : services_(services) {}

  void Select(const LedgerJob* job) {
    if (job == job_) {
      return;
    }
    job_ = job;
    service_ = &services_[job->request.terms.service];
    account_ = &service_->accounts[job->request.account];
  }
  ServiceUse& service() const { return *service_; }
  AccountUse& account() const { return *account_; }

 private:
  ServiceUses& services_;
  const LedgerJob* job_ = nullptr;
  ServiceUse* service_ = nullptr;
  AccountUse* account_ = nullptr;
};

Resources NeedOfUnit(const WaitingUnit& unit) {
  return Times(unit.member_need, unit.member_count);
}

void AddWaitingSteps(const std::vector<WaitingStep>& steps,
                     ServiceUses& services) {
  for (const WaitingStep& step : steps) {
    const JobRequest& r = step.first.job->request;
    ServiceUse& service = services[r.terms.service];
    AccountUse& account = service.accounts[r.account];
    const Resources need = Times(NeedOfUnit(step.first),
                                 static_cast<std::int64_t>(step.waiting_units));
    const double amount = CoreEquivalent(need);
    service.waiting_accounts += account.waiting == 0 && amount > 0 ? 1 : 0;
    service.demand += need;
    account.waiting += amount;
    account.waiting_guaranteed += step.first.is_guaranteed ? amount : 0;
  }
}

void AddRunningUnits(const Ledger& ledger,
                     const LedgerJob& job,
                     ServiceUse& service) {
  AccountUse& account = service.accounts[job.request.account];
  for (const auto occurrences : job.occurrences) {
    const std::vector<StepState>& occurrence = occurrences.value;
    for (std::size_t s = 0; s < occurrence.size(); ++s) {
      Resources need = job.request.steps[s].need;
      if (job.request.steps[s].uses_idle_cpu) {
        need.cpu_milli = 0;
      }
      std::int64_t members = 0;
      for (const auto range : occurrence[s].units) {
        const RunUnit& unit = range.value;
        members += unit.phase == RunUnit::Phase::kRunning &&
                           ledger.IsAtServiceOfJob(job, unit)
                       ? unit.unfinished_members
                       : 0;
      }
      need = Times(need, members);
      service.demand += need;
      account.running += CoreEquivalent(need);
      if (job.request.terms.priority == 0) {
        account.running_urgent += CoreEquivalent(need);
        account.urgent_accelerators += need.accelerators;
      }
    }
  }
}

void AddCapacity(const Ledger& ledger,
                 const RulesView& rules,
                 ServiceUses& services) {
  for (const auto& [incarnation, worker] : ledger.workers()) {
    const auto service = services.find(worker.report.service);
    if (service != services.end() && worker.report.accepting &&
        !worker.incarnation_ended &&
        !rules.closed_data_centres.contains(worker.report.data_centre)) {
      service->second.capacity += worker.report.capacity;
    }
  }
}

// The part of its running urgent work that the guarantee covers, and its
// guaranteed waiting units.
double OwnUse(const AccountUse& use, std::int64_t guaranteed_accelerators) {
  const double covered =
      use.urgent_accelerators == 0
          ? 0
          : std::min(1.0, static_cast<double>(guaranteed_accelerators) /
                              static_cast<double>(use.urgent_accelerators));
  return covered * use.running_urgent + use.waiting_guaranteed;
}

// Largest share with which all accounts together use no more than `available`,
// if none uses more than it wants.
double MaxMinShare(const ServiceUse& service, double available) {
  std::vector<double> demands;
  for (const auto& [name, account] : service.accounts) {
    demands.push_back(account.Demand());
  }
  std::sort(demands.begin(), demands.end());
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double share = available / static_cast<double>(demands.size() - i);
    if (demands[i] > share) {
      return std::max(share, 0.0);
    }
    available -= demands[i];
  }
  return kUnlimited;
}

void SetShare(const Rules& rules, ServiceUse& service) {
  const double load = std::max(
      {Ratio(service.demand.cpu_milli, service.capacity.cpu_milli),
       Ratio(service.demand.memory_mb, service.capacity.memory_mb),
       Ratio(service.demand.accelerators, service.capacity.accelerators)});
  if (load <= 1 || service.waiting_accounts < 2) {
    return;
  }
  // What fits of the demand, as it is mixed, before the scarcest resource is
  // used up.
  double available = CoreEquivalent(service.demand) / load;
  for (auto& [name, account] : service.accounts) {
    const AccountRule* rule = rules.FindAccount(name);
    account.own =
        OwnUse(account, rule == nullptr ? 0 : rule->guaranteed_accelerators);
    account.used = account.running - (account.own - account.waiting_guaranteed);
    available -= account.own;
  }
  service.share = MaxMinShare(service, available);
}

ServiceUses MeasureServices(const Ledger& ledger,
                            const RulesView& rules,
                            const std::vector<WaitingStep>& steps) {
  ServiceUses services;
  AddWaitingSteps(steps, services);
  if (std::none_of(services.begin(), services.end(), [](const auto& entry) {
        return entry.second.waiting_accounts > 1;
      })) {
    return {};  // Nobody competes.
  }
  for (const std::string& id : ledger.open_jobs()) {
    const LedgerJob& job = ledger.jobs().at(id);
    const auto service = services.find(job.request.terms.service);
    if (job.running_units > 0 && service != services.end()) {
      AddRunningUnits(ledger, job, service->second);
    }
  }
  AddCapacity(ledger, rules, services);
  for (auto& [name, service] : services) {
    SetShare(rules.rules, service);
  }
  return services;
}

// Number of the step's units before which the account uses less than its share.
std::size_t UnitsWithinShare(const WaitingStep& step,
                             const AccountUse& account,
                             double share) {
  const double room = share - account.used;
  const double amount = CoreEquivalent(NeedOfUnit(step.first));
  if (room <= 0) {
    return 0;
  }
  const double units = amount > 0 ? std::ceil(room / amount) : kUnlimited;
  return units < static_cast<double>(step.waiting_units)
             ? static_cast<std::size_t>(units)
             : step.waiting_units;
}

// Marks the steps, and splits those of which only some units are marked.
std::vector<WaitingStep> Mark(ServiceUses& services,
                              const std::vector<WaitingStep>& steps) {
  std::vector<WaitingStep> out;
  out.reserve(steps.size());
  for (const WaitingStep& step : steps) {
    const JobRequest& r = step.first.job->request;
    ServiceUse& service = services.at(r.terms.service);
    AccountUse& account = service.accounts.at(r.account);
    if (step.first.is_guaranteed) {
      out.push_back(step);
      continue;
    }
    const std::size_t within = UnitsWithinShare(step, account, service.share);
    if (within > 0) {
      out.push_back(step);
      out.back().waiting_units = within;
    }
    if (within < step.waiting_units) {
      out.push_back(step);
      out.back().first.exceeds_fair_share = true;
      out.back().skipped_units += within;
      out.back().waiting_units -= within;
    }
    account.used += CoreEquivalent(NeedOfUnit(step.first)) *
                    static_cast<double>(step.waiting_units);
  }
  return out;
}

}  // namespace

void OrderByFairShare(const Ledger& ledger,
                      const RulesView& rules,
                      std::vector<WaitingStep>& steps) {
  ServiceUses services = MeasureServices(ledger, rules, steps);
  if (services.empty()) {
    return;
  }
  steps = Mark(services, steps);
  const auto rank = [](const WaitingStep& s) {
    const WaitingUnit& u = s.first;
    return std::tuple(!u.is_guaranteed, u.job->request.terms.priority,
                      u.outlook, u.exceeds_fair_share);
  };
  std::stable_sort(
      steps.begin(), steps.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

}  // namespace marjoramplank
