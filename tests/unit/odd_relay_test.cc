// Messages of a relay, or of its caller, with numbers out of range.

#include <capnp/ez-rpc.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/relay/generated/relay.capnp.h"
#include "src/relay/relay_client.h"
#include "src/relay/relay_server.h"

namespace marjoramplank {
namespace {

using Answer = relay_wire::Relay::ReadResults::Builder;

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
constexpr std::uint8_t kStored = 0;

std::string SocketAddress(const std::string& name) {
  return "unix:" + (std::filesystem::temp_directory_path() /
                    (name + "." + std::to_string(::getpid())))
                       .string();
}

class OddRelay final : public relay_wire::Relay::Server {
 public:
  explicit OddRelay(std::function<void(Answer)> fill)
      : fill_(std::move(fill)) {}
  kj::Promise<void> read(ReadContext context) override {
    fill_(context.getResults());
    return kj::READY_NOW;
  }

 private:
  const std::function<void(Answer)> fill_;
};

// Reads from offset 5 of a relay that answers as `fill` does.
ReadResult ReadOf(const std::function<void(Answer)>& fill) {
  const std::string address = SocketAddress("odd_relay_test");
  using Stop = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;
  std::promise<Stop> listening;
  std::thread server([&] {
    capnp::EzRpcServer rpc(kj::heap<OddRelay>(fill), address);
    rpc.getPort().wait(rpc.getWaitScope());
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    listening.set_value(kj::mv(pair.fulfiller));
    pair.promise.wait(rpc.getWaitScope());
  });
  const Stop stop = listening.get_future().get();
  // A client is bound to its thread.
  ReadResult out =
      std::async(std::launch::async, [&] {
        return RelayClient(address).Read({.topic = "t"}, 5, Duration(0), 2s);
      }).get();
  stop->fulfill();
  server.join();
  std::filesystem::remove(address.substr(sizeof "unix:" - 1));
  return out;
}

// A sound answer with two records.
void Fill(Answer out) {
  out.setKnown(true);
  out.setKept(true);
  out.setFirst(3);
  out.setEnd(7);
  out.setAgeMs(20);
  auto records = out.initRecords(2);
  records[0].setOffset(5);
  records[1].setOffset(6);
}

// Guards against: a follower skips records or takes an old view for a current
// one, because a relay's numbers are odd.
TEST_CASE("an answer of a relay with odd numbers fails", "[relay][odd]") {
  CHECK(ReadOf(Fill).records.size() == 2);
  for (const std::int64_t odd : {std::int64_t{-1}, -kMaxInt64, kMaxInt64}) {
    INFO(odd);
    const auto kind_of = [&](const std::function<void(Answer)>& change) {
      return ReadOf([&](Answer out) {
               Fill(out);
               change(out);
             })
          .kind;
    };
    CHECK(kind_of([&](Answer out) { out.setAgeMs(odd); }) ==
          ReadResult::Kind::kFailed);
    CHECK(kind_of([&](Answer out) { out.setEnd(odd); }) ==
          ReadResult::Kind::kFailed);
    CHECK(kind_of([&](Answer out) { out.getRecords()[0].setOffset(odd); }) ==
          ReadResult::Kind::kFailed);
    CHECK(kind_of([&](Answer out) { out.getRecords()[1].setOffset(odd); }) ==
          ReadResult::Kind::kFailed);
  }
}

// Takes every record.
class TakingStore final : public LogStore {
 public:
  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    return {.kind = AppendResult::Kind::kStored};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }
};

std::uint8_t AppendWithLimit(const std::string& address,
                             std::int64_t limit_ms) {
  return std::async(
             std::launch::async,
             [&] {
               capnp::EzRpcClient rpc(address);
               auto request = rpc.getMain<relay_wire::Relay>().appendRequest();
               const std::string bytes = EncodeRecord(JobCancelled{.job = "j"});
               request.initRecords(1).set(
                   0,
                   kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                                bytes.size()));
               request.setLimitMs(limit_ms);
               return request.send().wait(rpc.getWaitScope()).getOutcome();
             })
      .get();
}

TEST_CASE("an append through a relay with an odd limit is tried",
          "[relay][odd]") {
  const std::string address = SocketAddress("odd_relay_limit_test");
  Metrics metrics;
  LedgerWriter writer({}, std::make_unique<TakingStore>(), metrics);
  const RelayServer server(address, {}, writer);
  std::this_thread::sleep_for(100ms);
  for (const std::int64_t limit :
       {std::int64_t{500}, std::int64_t{0}, -kMaxInt64, kMaxInt64}) {
    INFO(limit);
    CHECK(AppendWithLimit(address, limit) == kStored);
  }
  std::filesystem::remove(address.substr(sizeof "unix:" - 1));
}

}  // namespace
}  // namespace marjoramplank
