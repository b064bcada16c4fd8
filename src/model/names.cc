#include "marjoramplank/error.h"
#include "marjoramplank/job_spec.h"
#include "marjoramplank/job_state.h"

#include <xxhash.h>
#include <array>

namespace marjoramplank {

const char* ToString(ErrorCode code) {
  constexpr std::array kNames = {
      "invalid_argument",    "not_found",   "conflict",
      "resource_exhausted",  "unavailable", "deadline_exceeded",
      "failed_precondition", "internal"};
  return kNames.at(static_cast<std::size_t>(code));
}

std::string ToString(const Error& error) {
  const std::string peer = error.peer.empty() ? "" : " (" + error.peer + ")";
  return error.step + peer + ": " + error.message + " [" +
         ToString(error.code) + "]";
}

const char* ToString(Adjacency adjacency) {
  constexpr std::array kNames = {"worker", "rack", "data_centre", "region"};
  return kNames.at(static_cast<std::size_t>(adjacency));
}

const char* ToString(Priority priority) {
  return priority == Priority::kUrgent ? "urgent" : "normal";
}

const char* ToString(JobState state) {
  constexpr std::array kNames = {"queued",  "starting",    "running",
                                 "done",    "failed",      "cancelled",
                                 "not_run", "may_have_run"};
  return kNames.at(static_cast<std::size_t>(state));
}

bool IsTerminalJobState(JobState state) {
  return state >= JobState::kDone;
}

std::string JobIdFor(const std::string& account,
                     const std::string& request_id) {
  // The length prefix keeps "ab" + "c" and "a" + "bc" distinct.
  const std::string key =
      std::to_string(account.size()) + ":" + account + request_id;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  std::string out;
  for (const std::uint64_t word : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      out += "0123456789abcdef"[(word >> shift) & 0xF];
    }
  }
  return out;
}

}  // namespace marjoramplank
