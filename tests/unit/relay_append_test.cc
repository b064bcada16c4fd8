// Appends through the relay of an entry, over a real socket.

#include <capnp/ez-rpc.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/jobs/ledger_codec.h"
#include "src/relay/generated/relay.capnp.h"
#include "src/relay/relay_server.h"

namespace marjoramplank {
namespace {

// Stores the first calls and refuses the others.
class FailingStore final : public LogStore {
 public:
  explicit FailingStore(int stored_calls) : stored_calls_(stored_calls) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    return {.kind = stored_calls_-- > 0 ? AppendResult::Kind::kStored
                                        : AppendResult::Kind::kRefused};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }

 private:
  std::atomic<int> stored_calls_;
};

// What a caller is told of two records in one call, if the relay needs a call
// to the log for each and the log stores `stored_calls` of them.
LedgerWriter::Outcome AppendTwoRecords(int stored_calls) {
  const std::string address =
      "unix:" + (std::filesystem::temp_directory_path() /
                 ("relay_append_test." + std::to_string(::getpid())))
                    .string();
  Metrics metrics;
  LedgerWriter writer({.limits = {.max_call_bytes = 1}},
                      std::make_unique<FailingStore>(stored_calls), metrics);
  const RelayServer server(address, {}, writer);
  std::this_thread::sleep_for(100ms);  // Until it listens.
  // A client is bound to its thread.
  const std::uint8_t outcome =
      std::async(std::launch::async, [&] {
        capnp::EzRpcClient rpc(address);
        auto request = rpc.getMain<relay_wire::Relay>().appendRequest();
        auto records = request.initRecords(2);
        for (const unsigned n : {0U, 1U}) {
          const std::string bytes =
              EncodeRecord(JobCancelled{.job = std::to_string(n)});
          records.set(
              n, kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                              bytes.size()));
        }
        request.setLimitMs(1);  // The relay tries for its own least time.
        return request.send().wait(rpc.getWaitScope()).getOutcome();
      }).get();
  std::filesystem::remove(address.substr(sizeof "unix:" - 1));
  return static_cast<LedgerWriter::Outcome>(outcome);
}

// Guards against a submission that is answered as not stored and runs: the log
// has stored it and refused another record of the same call.
TEST_CASE("relay: a call of which the log stored a part", "[relay]") {
  CHECK(AppendTwoRecords(0) == LedgerWriter::Outcome::kNotStored);
  CHECK(AppendTwoRecords(1) == LedgerWriter::Outcome::kUnknown);
  CHECK(AppendTwoRecords(2) == LedgerWriter::Outcome::kStored);
}

}  // namespace
}  // namespace marjoramplank
