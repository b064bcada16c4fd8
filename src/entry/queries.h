#pragma once

#include <string>
#include <vector>

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Answers a question about the regions planned here; MergeAnswers joins those
// of all entries into one JSON object.
std::string AnswerQuery(EntryState& s,
                        Time now,
                        QueryKind kind,
                        const std::string& subject);
std::string MergeAnswers(const std::vector<std::string>& bodies);

}  // namespace marjoramplank
