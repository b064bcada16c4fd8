#include "src/cli/commands.h"

#include <algorithm>
#include <functional>
#include <iostream>

#include "src/cli/explain_command.h"
#include "src/cli/job_commands.h"
#include "src/cli/operator_commands.h"

namespace marjoramplank {

namespace {

// A command of the command line. It takes at most one argument.
struct Command {
  std::string name;           // One or two words, as typed.
  std::string argument_name;  // Shown in the help text. Empty: no argument.
  std::string help;
  std::function<int(const CliOptions&, const std::string&)> run;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"submit", "FILE",
       "submit a job from a JSON file, - for standard input; --wait for its "
       "result",
       SubmitCommand},
      {"wait", "JOB", "wait for a job to end and print its result",
       WaitCommand},
      {"cancel", "JOB", "cancel a job; --wait until it has ended",
       CancelCommand},
      {"jobs", "ACCOUNT", "list the jobs of a client account", JobsCommand},
      {"explain", "JOB|FILE",
       "show why a job is waiting and what would let it run, or where it runs; "
       "with --entry:\n                        where the job in a JSON file, - "
       "for standard input, would go now and why",
       [](const CliOptions& options, const std::string& argument) {
         return options.metrics_entry.empty()
                    ? ExplainCommand(options, argument)
                    : ExplainFileCommand(options, argument);
       }},
      {"trace", "JOB", "print the trace of a job as a tree of spans",
       TraceCommand},
      {"status", "",
       "data centres, accounts, guarantees and fragmentation; --refresh-ms to "
       "refresh periodically",
       [](const CliOptions& options, const std::string&) {
         return StatusCommand(options);
       }},
      {"config check", "FILE",
       "validate a document and check that its guarantees can be met",
       ConfigCheckCommand},
      {"config diff", "FILE",
       "compare a document with the active configuration", ConfigDiffCommand},
      {"config apply", "FILE",
       "publish a document; --wait until it is applied everywhere",
       ConfigApplyCommand},
      {"config show", "", "print the active configuration",
       [](const CliOptions& options, const std::string&) {
         return ConfigShowCommand(options);
       }},
      {"config history", "", "list configuration versions and their authors",
       [](const CliOptions& options, const std::string&) {
         return ConfigHistoryCommand(options);
       }},
      {"datacentre out", "NAME", "take a data centre out of service",
       [](const CliOptions& options, const std::string& name) {
         return DataCentreCommand(options, name, true);
       }},
      {"datacentre in", "NAME", "return a data centre to service",
       [](const CliOptions& options, const std::string& name) {
         return DataCentreCommand(options, name, false);
       }},
      {"worker cordon", "NAME", "stop starting new tasks on a worker",
       [](const CliOptions& options, const std::string& name) {
         return CordonCommand(options, name, true);
       }},
      {"worker uncordon", "NAME", "allow new tasks on a worker again",
       [](const CliOptions& options, const std::string& name) {
         return CordonCommand(options, name, false);
       }},
  };
  return commands;
}

std::string JoinFirst(const std::vector<std::string>& words,
                      std::size_t count) {
  std::string out;
  for (std::size_t i = 0; i < count && i < words.size(); ++i) {
    out += (i == 0 ? "" : " ") + words[i];
  }
  return out;
}

}  // namespace

std::string CommandHelp() {
  constexpr std::size_t kHelpColumn = 24;
  std::string out;
  for (const Command& command : Commands()) {
    std::string left =
        "  " + command.name +
        (command.argument_name.empty() ? "" : " " + command.argument_name);
    left.resize(std::max<std::size_t>(kHelpColumn, left.size() + 1), ' ');
    out += left + command.help + "\n";
  }
  return out;
}

int RunCommand(const CliOptions& options,
               const std::vector<std::string>& words) {
  for (const Command& command : Commands()) {
    const std::size_t name_words =
        command.name.find(' ') == std::string::npos ? 1 : 2;
    if (JoinFirst(words, name_words) != command.name) {
      continue;
    }
    const std::size_t expected_words =
        name_words + (command.argument_name.empty() ? 0 : 1);
    if (words.size() != expected_words) {
      std::cerr << "marjoramplank: usage: marjoramplank " << command.name << " "
                << command.argument_name << "\n";
      return kCliUsage;
    }
    return command.run(options,
                       command.argument_name.empty() ? "" : words.back());
  }
  std::cerr << "marjoramplank: unknown command: "
            << JoinFirst(words, words.size()) << "; see --help\n";
  return kCliUsage;
}

}  // namespace marjoramplank
