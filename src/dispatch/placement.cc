#include "src/dispatch/placement.h"

#include <algorithm>
#include <limits>

namespace marjoramplank {

namespace {

constexpr std::int32_t kUnbounded = std::numeric_limits<std::int32_t>::max();

std::int32_t Times(std::int64_t room, std::int64_t need) {
  if (need <= 0) {
    return kUnbounded;
  }
  return static_cast<std::int32_t>(std::max<std::int64_t>(0, room / need));
}

// Tasks of the unit's step that this worker already holds.
std::int32_t Holds(const WaitingUnit& unit, const WorkerRoom& room) {
  const TaskRef from = StepOf(unit.first);
  const auto planned = room.planned.find(from);
  std::int32_t n = planned == room.planned.end() ? 0 : planned->second;
  const std::map<TaskRef, LiveRun>& runs = room.worker->runs;
  for (auto it = runs.lower_bound(from); it != runs.end(); ++it) {
    const TaskRef& t = it->first;
    if (t.job != from.job || t.occurrence != from.occurrence ||
        t.step != from.step) {
      break;
    }
    ++n;
  }
  return n;
}

bool HasLabel(const WorkerEntry& worker, const std::string& label) {
  const std::vector<std::string>& all = worker.report.labels;
  return label.empty() || std::find(all.begin(), all.end(), label) != all.end();
}

bool Allowed(const WaitingUnit& unit,
             const WorkerRoom& room,
             const PlaceRules& rules) {
  const WorkerEntry& worker = *room.worker;
  if (room.distrusted && !rules.distrusted) {
    return false;
  }
  if (!rules.repeat_worker &&
      unit.unit->failed_on.contains(worker.report.life)) {
    return false;
  }
  return rules.any_rack || unit.step->data_rack.empty() ||
         worker.report.rack == unit.step->data_rack;
}

struct Candidate {
  WorkerLife life;
  std::int32_t fits = 0;
  std::int64_t left = 0;  // Accelerators, then processors, left free by one.
};

std::vector<Candidate> Candidates(const RoomTable& rooms,
                                  const std::vector<WorkerLife>& lives,
                                  const WaitingUnit& unit,
                                  const PlaceRules& rules) {
  std::vector<Candidate> out;
  for (const WorkerLife& life : lives) {
    const WorkerRoom& room = rooms.all().at(life);
    if (!Allowed(unit, room, rules)) {
      continue;
    }
    const std::int32_t fits = MembersThatFit(unit, room, room.free);
    if (fits > 0) {
      constexpr std::int64_t kMilli = 1'000'000;
      out.push_back(
          {.life = life,
           .fits = fits,
           .left = room.free.accelerators * kMilli + room.free.cpu_milli});
    }
  }
  // Fullest first: best fit.
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return a.left != b.left ? a.left < b.left : a.life < b.life;
  });
  return out;
}

std::optional<Place> Fill(const std::vector<Candidate>& candidates,
                          const WaitingUnit& unit) {
  Place place;
  std::int32_t index = unit.first.index;
  for (const Candidate& c : candidates) {
    for (std::int32_t n = 0; n < c.fits; ++n) {
      if (static_cast<std::int32_t>(place.members.size()) == unit.tasks) {
        return place;
      }
      place.members.push_back({.index = index++, .life = c.life});
    }
  }
  return static_cast<std::int32_t>(place.members.size()) == unit.tasks
             ? std::optional(place)
             : std::nullopt;
}

std::int64_t FreeAccelerators(const RoomTable& rooms,
                              const std::vector<WorkerLife>& lives) {
  std::int64_t n = 0;
  for (const WorkerLife& life : lives) {
    n += rooms.all().at(life).free.accelerators;
  }
  return n;
}

std::optional<Place> InOneRack(const RoomTable& rooms,
                               const WaitingUnit& unit,
                               const PlaceRules& rules) {
  std::optional<Place> best;
  std::int64_t best_left = std::numeric_limits<std::int64_t>::max();
  for (const auto& [rack, lives] : rooms.racks()) {
    std::optional<Place> place =
        Fill(Candidates(rooms, lives, unit, rules), unit);
    const std::int64_t left = FreeAccelerators(rooms, lives);
    if (place && left < best_left) {
      best = std::move(place);
      best_left = left;
    }
  }
  return best;
}

}  // namespace

std::int32_t MembersThatFit(const WaitingUnit& unit,
                            const WorkerRoom& worker,
                            const Resources& room) {
  if (!HasLabel(*worker.worker, unit.step->required_label) ||
      worker.worker->report.service != unit.job->request.terms.service) {
    return 0;
  }
  std::int32_t fits =
      std::min({Times(room.cpu_milli, unit.need.cpu_milli),
                Times(room.memory_mb, unit.need.memory_mb),
                Times(room.accelerators, unit.need.accelerators), unit.tasks});
  if (unit.step->max_per_worker > 0) {
    fits = std::min(fits, unit.step->max_per_worker - Holds(unit, worker));
  }
  return std::max(0, fits);
}

std::optional<Place> FindPlace(const RoomTable& rooms,
                               const WaitingUnit& unit,
                               const PlaceRules& rules) {
  if (unit.step->gang && unit.step->same_rack) {
    if (std::optional<Place> place = InOneRack(rooms, unit, rules)) {
      return place;
    }
    if (!rules.any_rack) {
      return std::nullopt;
    }
  }
  std::vector<WorkerLife> all;
  all.reserve(rooms.all().size());
  for (const auto& [life, room] : rooms.all()) {
    all.push_back(life);
  }
  return Fill(Candidates(rooms, all, unit, rules), unit);
}

bool FitsSomeRack(const RoomTable& rooms, const WaitingUnit& unit) {
  for (const auto& [rack, lives] : rooms.racks()) {
    std::int64_t fits = 0;
    for (const WorkerLife& life : lives) {
      const WorkerRoom& room = rooms.all().at(life);
      fits += MembersThatFit(unit, room, room.worker->report.capacity);
    }
    if (fits >= unit.tasks) {
      return true;
    }
  }
  return false;
}

bool DataRackExists(const RoomTable& rooms, const WaitingUnit& unit) {
  const auto rack = rooms.racks().find(unit.step->data_rack);
  if (rack == rooms.racks().end()) {
    return false;
  }
  return std::any_of(
      rack->second.begin(), rack->second.end(), [&](const WorkerLife& life) {
        const WorkerRoom& room = rooms.all().at(life);
        return !room.distrusted &&
               MembersThatFit(unit, room, room.worker->report.capacity) > 0;
      });
}

}  // namespace marjoramplank
