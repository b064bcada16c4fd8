#pragma once

#include <string>
#include <vector>

#include "marjoramplank/inventory.h"
#include "src/explain/explain.h"
#include "src/rules/rules.h"

namespace marjoramplank {

// Parses a job that is to be explained: see docs/OPERATIONS.md. The queue and
// the account are looked up by name. Adds the faults of the body with the paths
// of their fields; the result is valid if there are none.
JobRequest ParseExplainedJob(const std::string& body,
                             const Rules& rules,
                             std::vector<FieldError>& errors);

// The report as a JSON object, on one line.
std::string RenderExplanation(const JobRequest& request,
                              const Explanation& explanation);

// {"error": {"message": ...}, "errors": [{"path": ..., "message": ...}]}
std::string RenderFieldErrors(const std::vector<FieldError>& errors);

}  // namespace marjoramplank
