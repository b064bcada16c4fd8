#include "src/dispatch/speed_choice.h"

#include <algorithm>

namespace marjoramplank {

namespace {

// Share of its run time that a unit must have to spare before it leaves faster
// machines to others: tasks of a step differ by about 15%.
constexpr double kSlack = 0.25;

// Slowest class on which the unit meets its deadline with a margin. 0: it does
// so on no slow one.
std::int32_t SlackClass(const CapacityTable& table,
                        const WaitingUnit& unit,
                        double locality_factor) {
  std::int32_t out = 0;
  for (const auto& [speed_class, factor] : table.speed_classes()) {
    if (OutlookAt(unit, Duration(0), factor * locality_factor + kSlack) !=
        DeadlineOutlook::kOnTime) {
      break;
    }
    out = speed_class;
  }
  return out;
}

}  // namespace

DeadlineOutlook OutlookAt(const WaitingUnit& unit,
                          Duration delay,
                          double factor) {
  return AssessDeadline(
      unit.planned_at, unit.due_at, unit.deadline,
      delay + unit.remaining - unit.run_time + ScaledBy(factor, unit.run_time));
}

PlacementOptions ChooseSpeed(const CapacityTable& table,
                             const WaitingUnit& unit,
                             bool is_remote,
                             PlacementOptions options) {
  if (!table.HasSlowWorkers() || unit.step->long_running) {
    return options;
  }
  if (unit.outlook == DeadlineOutlook::kNoCredit) {
    // It earns nothing on fast machines either, and leaves them to others.
    options.speed_order = SpeedOrder::kSlowFirst;
    options.slack_class = table.speed_classes().rbegin()->first;
    return options;
  }
  if (unit.job->request.terms.priority > 0) {
    options.slack_class =
        SlackClass(table, unit, is_remote ? kRemoteFactor : 1);
  }
  options.speed_order =
      options.slack_class > 0 ? SpeedOrder::kSlowFirst : SpeedOrder::kFastFirst;
  return options;
}

bool IsRemote(CapacityTable& table,
              const WaitingUnit& unit,
              const UnitPlacement& placement) {
  const auto rack = [&](const MemberPlace& m) -> const std::string& {
    return table.Find(m.incarnation)->entry->report.rack;
  };
  const bool is_same_rack_gang = unit.step->gang && unit.step->same_rack;
  const std::string& data_rack = unit.step->data_rack;
  return std::any_of(
      placement.members.begin(), placement.members.end(),
      [&](const MemberPlace& m) {
        return (!data_rack.empty() && rack(m) != data_rack) ||
               (is_same_rack_gang && rack(m) != rack(placement.members[0]));
      });
}

double RunTimeFactor(CapacityTable& table,
                     const WaitingUnit& unit,
                     const UnitPlacement& placement) {
  return placement.slowness *
         (IsRemote(table, unit, placement) ? kRemoteFactor : 1);
}

}  // namespace marjoramplank
