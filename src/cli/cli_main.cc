#include <cstdlib>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "src/cli/commands.h"

namespace {

namespace po = boost::program_options;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    out.push_back(part);
  }
  return out;
}

constexpr const char* kExitCodes =
    "Exit codes: 0 success, 1 the job did not succeed or the request was "
    "refused, 2 invalid command line or document,\n"
    "3 no entry reachable, 4 conflict with another change or request, "
    "5 outcome not known yet: retry.\n";

}  // namespace

int main(int argc, char** argv) {
  using namespace marjoramplank;
  const char* const entries_from_environment =
      std::getenv("MARJORAMPLANK_ENTRIES");
  std::string entries = entries_from_environment == nullptr
                            ? "127.0.0.1:8080"
                            : entries_from_environment;
  std::int64_t timeout_ms = 60'000;
  std::int64_t refresh_ms = 0;
  CliOptions options;
  po::options_description visible("Options");
  visible.add_options()(
      "entries,e", po::value(&entries),
      "IP:port of the entries, comma-separated (or MARJORAMPLANK_ENTRIES)")(
      "entry", po::value(&options.metrics_entry),
      "explain: HOST:PORT of the metrics address of an entry on the platform's "
      "log service; nothing is submitted")(
      "json", po::bool_switch(&options.print_json), "print JSON")(
      "wait,w", po::bool_switch(&options.wait_for_completion),
      "wait until the job ends or the change is applied everywhere")(
      "timeout-ms", po::value(&timeout_ms),
      "maximum wait in milliseconds (60000)")(
      "author", po::value(&options.author),
      "name recorded with a configuration change")(
      "force", po::bool_switch(&options.force),
      "publish even if guarantees cannot be met")(
      "refresh-ms", po::value(&refresh_ms),
      "status: refresh at this interval in milliseconds")("help,h",
                                                          "show this text");
  po::options_description all;
  all.add(visible).add_options()("words", po::value<std::vector<std::string>>(),
                                 "");
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map variables;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              variables);
    po::notify(variables);
  } catch (const po::error& e) {
    std::cerr << "marjoramplank: " << e.what() << "; see --help\n";
    return kCliUsage;
  }
  if (variables.contains("help") || !variables.contains("words")) {
    std::cout << "marjoramplank COMMAND [options]\n\n"
              << CommandHelp() << "\n"
              << visible << "\n"
              << kExitCodes;
    return variables.contains("help") ? kCliOk : kCliUsage;
  }
  options.entries = SplitAtCommas(entries);
  options.timeout = Duration{timeout_ms};
  options.refresh_interval = Duration{refresh_ms};
  try {
    return RunCommand(options,
                      variables["words"].as<std::vector<std::string>>());
  } catch (const std::exception& e) {
    std::cerr << "marjoramplank: " << e.what() << "\n";
    return kCliFailed;
  }
}
