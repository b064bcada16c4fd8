#include "src/wire/messages.h"

#include <array>

namespace marjoramplank {

std::string ToString(const ProcessId& id) {
  return id.name + "#" + std::to_string(id.incarnation);
}

const char* ToString(TaskState state) {
  constexpr std::array kNames = {"held",      "starting", "running",
                                 "succeeded", "failed",   "checkpointed",
                                 "stopped",   "lapsed"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace marjoramplank
