#include "src/daemon/daemon_main.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

namespace marjoramplank {

namespace {

namespace po = boost::program_options;

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

bool ReadFile(const std::string& path, std::string& out) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  out = text.str();
  return in.good() || in.eof();
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void AwaitStopSignal() {
  const sigset_t set = StopSignals();
  int signal = 0;
  sigwait(&set, &signal);
}

int DaemonMain(int argc, char** argv, const DaemonRole& role) {
  po::options_description options("Options of " + role.name);
  options.add_options()("settings", po::value<std::string>(),
                        "settings file, JSON")(
      "check",
      "check the settings, list every error and exit: 0 if they are valid, 2 "
      "if "
      "not")("print-config",
             "print every setting, defaults included, and exit")(
      "help", "show this text");
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, options), arguments);
  } catch (const po::error& e) {
    std::cerr << role.name << ": " << e.what() << "; see --help\n";
    return kExitBadSettings;
  }
  if (arguments.contains("help")) {
    std::cout << options
              << "Exit codes: 0 success, 1 failure or shutdown timeout, 2 "
                 "invalid settings.\n";
    return kExitOk;
  }
  if (!arguments.contains("settings")) {
    std::cerr << role.name << ": --settings FILE is required; see --help\n";
    return kExitBadSettings;
  }
  std::string text;
  if (!ReadFile(arguments["settings"].as<std::string>(), text)) {
    std::cerr << role.name << ": cannot read "
              << arguments["settings"].as<std::string>() << "\n";
    return kExitBadSettings;
  }
  if (const int check_exit_code =
          role.check(text, arguments.contains("print-config"));
      check_exit_code != kExitOk || arguments.contains("check") ||
      arguments.contains("print-config")) {
    return check_exit_code;
  }
  try {
    return role.run(text);
  } catch (const std::exception& e) {
    std::cerr << role.name << ": " << e.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace marjoramplank
