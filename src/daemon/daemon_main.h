#pragma once

#include <functional>
#include <string>

namespace marjoramplank {

// A daemon as DaemonMain() runs it. The callbacks receive the text of the
// settings file and return an exit code.
struct DaemonRole {
  std::string name;  // Program name.
  // Lists the errors of the settings on standard error. Prints valid settings
  // if `print` is set. Returns kExitOk or kExitBadSettings.
  std::function<int(const std::string& text, bool print)> check;
  // Runs the daemon until SIGTERM or SIGINT. Called with valid settings only.
  std::function<int(const std::string& text)> run;
};

// Exit codes of the daemons.
inline constexpr int kExitOk = 0;
// The daemon could not run, or its graceful shutdown timed out.
inline constexpr int kExitFailure = 1;
// The command line or the settings are invalid; nothing was started.
inline constexpr int kExitBadSettings = 2;

// Handles the command line shared by the daemons (--settings FILE, --check,
// --print-config, --help) and runs the daemon. Returns the exit code.
int DaemonMain(int argc, char** argv, const DaemonRole& role);

// Blocks SIGTERM and SIGINT in the calling thread and the threads it starts,
// and ignores SIGPIPE. Call before any thread is started.
void BlockStopSignals();

// Waits for SIGTERM or SIGINT, which must be blocked.
void AwaitStopSignal();

}  // namespace marjoramplank
