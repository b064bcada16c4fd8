#pragma once

#include <string>

#include "src/cli/commands.h"

namespace marjoramplank {

// Asks the entry at `options.metrics_entry` what would happen to the job in the
// file, and prints a report. Submits nothing.
int ExplainFileCommand(const CliOptions& options, const std::string& file);

}  // namespace marjoramplank
