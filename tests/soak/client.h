#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/soak/plan.h"

namespace marjoramplank::soak {

struct Reply {
  int status = 0;  // 0: no answer.
  std::string body;
};

struct Request {
  std::string method;
  std::string address;
  std::string target;
  std::string body;
  std::int64_t limit_ms = 3000;
};

Reply Send(const Request& request);

// Appends the operator's entry. True once the store has acknowledged it.
bool PutEntry(const std::string& store,
              const std::string& key,
              const std::string& value);

// Hands one job in, cancels it if the plan says so, and asks for its state
// until it has ended or `stopped`. All of it goes to the record.
void FollowJob(const Job& job,
               const std::vector<std::string>& entries,
               std::uint64_t seed,
               const std::atomic<bool>& closed,
               const std::atomic<bool>& stopped);

// Keeps a connection to an entry in use until it ends. Calls `opened` after the
// first answer.
void UseConnection(const std::string& name,
                   const std::string& address,
                   const std::atomic<bool>& stopped);

}  // namespace marjoramplank::soak
