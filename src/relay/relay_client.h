#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/store/log_store.h"

namespace marjoramplank {

// One connection to an entry's relay. Bound to the thread that uses it first.
class RelayClient {
 public:
  explicit RelayClient(const std::string& address);
  ~RelayClient();

  const std::string& address() const { return address_; }

  // Returns kFailed also if the entry does not retain the record at `offset`.
  ReadResult Read(const LogPartition& from,
                  std::int64_t offset,
                  Duration wait,
                  Duration timeout);
  // Appends to the ledger through the entry.
  AppendResult Append(const std::vector<std::string>& records,
                      Duration timeout);

 private:
  struct Connection;

  const std::string address_;
  std::unique_ptr<Connection> connection_;
};

}  // namespace marjoramplank
