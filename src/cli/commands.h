#pragma once

#include <string>
#include <vector>

#include "src/cli/http_client.h"

namespace marjoramplank {

// Exit codes of the command line client.

// Success.
inline constexpr int kCliOk = 0;
// The job ended in another state than "done", or the request was refused.
inline constexpr int kCliFailed = 1;
// Invalid command line or document; nothing was sent or changed.
inline constexpr int kCliUsage = 2;
// No entry was reachable, or no response arrived before the timeout.
inline constexpr int kCliUnavailable = 3;
// The request conflicts with an earlier change or request.
inline constexpr int kCliConflict = 4;
// The outcome is not known yet; retry to learn it.
inline constexpr int kCliOutcomeUnknown = 5;

// Options common to all commands.
struct CliOptions {
  // "IP:port" of the entries. Default: MARJORAMPLANK_ENTRIES, else
  // 127.0.0.1:8080.
  std::vector<std::string> entries;
  // Print the JSON of the response unchanged.
  bool print_json = false;
  // Wait until the job ends or the change is applied on every instance.
  bool wait_for_completion = false;
  // Maximum time to wait for completion.
  Duration timeout = 60s;
  // Name recorded with a configuration change.
  std::string author = "operator";
  // Publish a document even if its guarantees cannot be met.
  bool force = false;
  // "HOST:PORT" of the metrics address of an entry on the platform's log
  // service. Set: `explain` reads a job from a file and asks this entry.
  std::string metrics_entry;
  // Interval at which the status command refreshes its output. 0: print once.
  Duration refresh_interval{0};
};

// Runs a command and returns its exit code. `words` are the name of the command
// and its argument. Prints a usage hint for an unknown command or a wrong
// number of arguments.
int RunCommand(const CliOptions& options,
               const std::vector<std::string>& words);

// Help text for --help: one line for each command.
std::string CommandHelp();

}  // namespace marjoramplank
