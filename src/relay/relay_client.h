#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/store/log_store.h"

namespace marjoramplank {

// One connection to an entry's relay. Not thread-safe, and used by one thread
// only for as long as it lives.
class RelayClient {
 public:
  explicit RelayClient(const std::string& address);
  ~RelayClient();

  const std::string& address() const { return address_; }

  // kFailed also if the entry does not have records that far back.
  ReadResult Read(const LogPartition& from,
                  std::int64_t offset,
                  Duration wait,
                  Duration timeout);
  AppendResult Append(const std::vector<std::string>& records,
                      Duration timeout);

 private:
  struct Connection;

  const std::string address_;
  std::unique_ptr<Connection> connection_;
};

}  // namespace marjoramplank
