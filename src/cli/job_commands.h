#pragma once

#include <string>

#include "src/cli/commands.h"

namespace marjoramplank {

// Implementations of the job commands (see CommandHelp). Each returns an exit
// code. `file` is a path, or "-" for standard input; `job` is a job ID.
int SubmitCommand(const CliOptions& options, const std::string& file);
int WaitCommand(const CliOptions& options, const std::string& job);
int CancelCommand(const CliOptions& options, const std::string& job);
int JobsCommand(const CliOptions& options, const std::string& account);
int ExplainCommand(const CliOptions& options, const std::string& job);
int TraceCommand(const CliOptions& options, const std::string& job);

}  // namespace marjoramplank
