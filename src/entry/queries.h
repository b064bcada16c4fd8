#pragma once

#include <string>
#include <vector>

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Answers a query with what this process plans, as a JSON object.
std::string AnswerQuery(EntryState& s,
                        Time now,
                        QueryKind kind,
                        const std::string& subject);

// Merges the answers of all entries into one JSON object: arrays are
// concatenated, of other values the first one is kept.
std::string MergeQueryAnswers(const std::vector<std::string>& bodies);

}  // namespace marjoramplank
