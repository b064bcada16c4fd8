#pragma once

#include <vector>

#include "src/dispatch/waiting_unit.h"
#include "src/rules/rules.h"

namespace marjoramplank {

// Orders waiting units fairly among accounts while a service has less capacity
// than its accounts want.
//
// Each account may use up to its fair share of the service: the capacity is
// divided equally (max-min), so that what an account does not want goes to the
// others. Use is measured in core equivalents of running units and of the units
// that come earlier in the order. What runs or waits within the account's
// guarantee is its own and does not count.
//
// `steps` must be sorted. Units that find their account at or beyond its share
// are marked and moved behind the others of the same priority and outlook; a
// step of which this holds for some units only is split.
// Nothing else changes: the units of one account keep their order, as do
// guaranteed units, and all units if capacity suffices.
//
// A unit is judged by the use before it, so that the size of a gang does not
// count against itself.
void OrderByFairShare(const Ledger& ledger,
                      const RulesView& rules,
                      std::vector<WaitingStep>& steps);

}  // namespace marjoramplank
