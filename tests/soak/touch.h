#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace marjoramplank::soak {

// Which processes are in touch, by the disruptions that the soak notes.
class Touch {
 public:
  // `planned`: SIGTERM or SIGHUP.
  void Begin(const std::string& name, std::int64_t ms, bool planned);
  void End(const std::string& name, std::int64_t ms);
  // A new process: what disturbed the one before it is over.
  void Restart(const std::string& name, std::int64_t ms);

  // For the `span_ms` before `ms`, nothing disturbed `name` and the store.
  bool IsCalm(const std::string& name,
              std::int64_t ms,
              std::int64_t span_ms) const;
  // The same, but for planned disruptions.
  bool IsUndisrupted(const std::string& name,
                     std::int64_t ms,
                     std::int64_t span_ms) const;
  // For the `span_ms` before `ms`, nothing at all was disturbed.
  bool IsAllCalm(std::int64_t ms, std::int64_t span_ms) const;

 private:
  struct State {
    int open = 0;
    std::int64_t ended_ms = 0;
    std::int64_t unplanned_ms = 0;  // End of the last unplanned one.
    int unplanned_open = 0;
  };
  std::map<std::string, State> states_;
};

}  // namespace marjoramplank::soak
