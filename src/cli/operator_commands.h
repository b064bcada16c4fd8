#pragma once

#include <string>

#include "src/cli/commands.h"

namespace marjoramplank {

// Implementations of the operator commands (see CommandHelp). Each returns an
// exit code. `file` is a path, or "-" for standard input.
int StatusCommand(const CliOptions& options);
int ConfigCheckCommand(const CliOptions& options, const std::string& file);
int ConfigDiffCommand(const CliOptions& options, const std::string& file);
int ConfigApplyCommand(const CliOptions& options, const std::string& file);
int ConfigShowCommand(const CliOptions& options);
int ConfigHistoryCommand(const CliOptions& options);
// Publishes the active configuration with the data centre taken out of service
// or returned to service.
int DataCentreCommand(const CliOptions& options,
                      const std::string& name,
                      bool out_of_service);
// Publishes the active configuration with the worker cordoned or uncordoned. A
// cordoned worker gets no new tasks.
int CordonCommand(const CliOptions& options,
                  const std::string& worker,
                  bool cordoned);

}  // namespace marjoramplank
