#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <tuple>
#include <vector>

#include "src/planner/occupancy.h"
#include "src/planner/victims.h"

namespace marjoramplank {

// A placement together with the jobs that have to stop for it.
struct Offer {
  std::vector<PlacedTask> tasks;
  std::set<JobIndex> victims;
  std::int64_t cost =
      std::numeric_limits<std::int64_t>::max();  // Work lost, see StopCost().
  std::int64_t waste =
      0;  // Accelerators of cells that it opens without filling them.

  // A larger cell than needed is kept for the job that needs it, even at the
  // cost of stopping a borrower.
  bool IsBetterThan(const Offer& other) const {
    return std::tie(waste, cost) < std::tie(other.waste, other.cost);
  }
};

// Fills in the victims and the cost of an offer. Returns false if its room
// cannot be cleared.
bool Price(const PlannerState& s,
           Time now,
           JobIndex for_job,
           StopFor sake,
           Offer& offer);

// Takes an offer: stops the victims and claims the room, or starts at once when
// there are none.
void Take(PlannerState& s,
          Time now,
          JobIndex i,
          Offer offer,
          StopReason reason);

}  // namespace marjoramplank
