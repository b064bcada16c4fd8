#pragma once

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "src/daemon/daemon_main.h"
#include "src/daemon/settings.h"

namespace marjoramplank {

// Lists the errors of parsed settings on standard error, or prints valid
// settings on standard output if `print` is set. Returns the exit code.
template <typename T>
int ReportSettings(const std::string& program_name,
                   const std::variant<T, std::vector<FieldError>>& parsed,
                   bool print) {
  if (const auto* errors = std::get_if<std::vector<FieldError>>(&parsed)) {
    for (const FieldError& e : *errors) {
      std::cerr << program_name
                << ": settings: " << (e.path.empty() ? "" : e.path + ": ")
                << e.message << "\n";
    }
    return kExitBadSettings;
  }
  if (print) {
    std::cout << ToJsonText(std::get<T>(parsed)) << "\n";
  }
  return kExitOk;
}

}  // namespace marjoramplank
