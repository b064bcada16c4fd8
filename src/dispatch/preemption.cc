#include "src/dispatch/preemption.h"

#include <algorithm>
#include <set>

namespace marjoramplank {

namespace {

// An accelerator counts as this many cores in the price of lost work.
constexpr double kCoresOfAccelerator = 8;
// What stopping a task that saves its progress costs: it saves once more at the
// stop, so only the way back in is lost. Twice the longest restore time seen on
// the platform, as the way through the ledger comes on top.
constexpr double kResumeSeconds = 0.5;

struct Victim {
  TaskRef task;
  Resources need;
  double cost = 0;
};

double Cores(const Resources& r) {
  return static_cast<double>(r.cpu_milli) / 1000 +
         kCoresOfAccelerator * static_cast<double>(r.accelerators);
}

// Runs on a worker that may give way, cheapest first.
std::vector<Victim> Victims(Time now,
                            const Ledger& ledger,
                            const WorkerEntry& worker,
                            std::int32_t priority) {
  std::vector<Victim> out;
  for (const auto& [task, run] : worker.runs) {
    if (run.stop) {
      out.push_back({.task = task, .need = run.need, .cost = 0});
      continue;
    }
    const JobEntry* job = ledger.FindJob(task.job);
    if (job == nullptr || job->ended() ||
        job->request.terms.priority <= priority ||
        job->request.steps[static_cast<std::size_t>(task.step)].lasting) {
      continue;
    }
    out.push_back({.task = task,
                   .need = run.need,
                   .cost = WorkLost(now, ledger, task, run)});
  }
  std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) {
    return a.cost != b.cost ? a.cost < b.cost : a.task < b.task;
  });
  return out;
}

struct Freed {
  WorkerLife life;
  std::int32_t fits = 0;
  std::vector<TaskRef> victims;
  double cost = 0;
};

// Leaves out, dearest first, every victim without which the members still fit.
// `free` is the room once all of them are gone.
void Prune(const WaitingUnit& unit,
           const WorkerRoom& room,
           Resources free,
           std::int32_t fits,
           std::vector<Victim>& victims) {
  for (std::size_t n = victims.size(); n > 0; --n) {
    const Resources without = free - victims[n - 1].need;
    if (std::min(unit.tasks, MembersThatFit(unit, room, without)) >= fits) {
      free = without;
      victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(n - 1));
    }
  }
}

// Frees room on one worker for up to `wanted` members with few victims.
Freed FreeWorker(Time now,
                 const Ledger& ledger,
                 const WorkerRoom& room,
                 const WaitingUnit& unit,
                 std::int32_t wanted) {
  Freed out{.life = room.worker->report.life};
  Resources free = room.free;
  out.fits = std::min(wanted, MembersThatFit(unit, room, free));
  std::vector<Victim> pending;
  std::vector<Victim> chosen;
  Resources freed = free;
  for (const Victim& v :
       Victims(now, ledger, *room.worker, unit.job->request.terms.priority)) {
    if (out.fits >= wanted) {
      break;
    }
    free += v.need;
    pending.push_back(v);
    const std::int32_t fits =
        std::min(wanted, MembersThatFit(unit, room, free));
    if (fits > out.fits) {
      out.fits = fits;
      freed = free;
      chosen.insert(chosen.end(), pending.begin(), pending.end());
      pending.clear();
    }
  }
  Prune(unit, room, freed, out.fits, chosen);
  for (const Victim& v : chosen) {
    out.victims.push_back(v.task);
    out.cost += v.cost;
  }
  return out;
}

std::optional<Place> FreeAmong(Time now,
                               const Ledger& ledger,
                               const RoomTable& rooms,
                               const std::vector<WorkerLife>& lives,
                               const WaitingUnit& unit) {
  std::vector<Freed> freed;
  for (const WorkerLife& life : lives) {
    const WorkerRoom& room = rooms.all().at(life);
    if (room.distrusted) {
      continue;
    }
    Freed f = FreeWorker(now, ledger, room, unit, unit.tasks);
    if (f.fits > 0) {
      freed.push_back(std::move(f));
    }
  }
  std::sort(freed.begin(), freed.end(), [](const Freed& a, const Freed& b) {
    const double x = a.cost / a.fits;
    const double y = b.cost / b.fits;
    return x != y ? x < y : a.life < b.life;
  });
  Place place;
  std::int32_t index = unit.first.index;
  for (Freed& f : freed) {
    const std::int32_t left =
        unit.tasks - static_cast<std::int32_t>(place.members.size());
    if (left == 0) {
      break;
    }
    if (f.fits > left) {
      f = FreeWorker(now, ledger, rooms.all().at(f.life), unit, left);
    }
    for (std::int32_t n = 0; n < std::min(f.fits, left); ++n) {
      place.members.push_back({.index = index++, .life = f.life});
    }
    place.victims.insert(place.victims.end(), f.victims.begin(),
                         f.victims.end());
    place.cost += f.cost;
  }
  if (static_cast<std::int32_t>(place.members.size()) < unit.tasks) {
    return std::nullopt;
  }
  return place;
}

}  // namespace

double WorkLost(Time now,
                const Ledger& ledger,
                const TaskRef& task,
                const LiveRun& run) {
  const JobEntry* job = ledger.FindJob(task.job);
  if (job == nullptr || job->ended()) {
    return 0;
  }
  const JobStep& step = job->request.steps[static_cast<std::size_t>(task.step)];
  double seconds = ToSeconds(now - run.since);
  if (step.checkpoints) {
    seconds = std::min(seconds, kResumeSeconds);
  }
  const int members = step.gang ? step.tasks : 1;
  return seconds * Cores(step.need) * members;
}

std::optional<Place> FindPreemption(Time now,
                                    const Ledger& ledger,
                                    const RoomTable& rooms,
                                    const WaitingUnit& unit,
                                    bool any_rack) {
  std::optional<Place> best;
  if (!any_rack) {
    for (const auto& [rack, lives] : rooms.racks()) {
      std::optional<Place> place = FreeAmong(now, ledger, rooms, lives, unit);
      if (place && (!best || place->cost < best->cost)) {
        best = std::move(place);
      }
    }
    return best;
  }
  std::vector<WorkerLife> all;
  for (const auto& [life, room] : rooms.all()) {
    all.push_back(life);
  }
  return FreeAmong(now, ledger, rooms, all, unit);
}

}  // namespace marjoramplank
