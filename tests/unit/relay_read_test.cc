// Reads through the relay of an entry, over a real socket.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "src/node/clock.h"
#include "src/relay/relay_client.h"
#include "src/relay/relay_server.h"
#include "src/store/record_ring.h"

namespace marjoramplank {
namespace {

const LogPartition kRecords{.topic = "t"};

std::string SocketPath(const std::string& name) {
  return (std::filesystem::temp_directory_path() /
          (name + "." + std::to_string(::getpid())))
      .string();
}

// Refuses every call.
class NoStore final : public LogStore {
 public:
  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    return {.kind = AppendResult::Kind::kRefused};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t,
                  Duration,
                  Duration) override {
    return {};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }
};

// An entry's relay over a ring that the test fills.
class Relay {
 public:
  Relay() : path_(SocketPath("relay_read_test")) {}
  ~Relay() { std::filesystem::remove(path_); }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  RecordRing& ring() { return ring_; }

  // On a thread of its own, since a client is bound to its thread. Waits until
  // the relay listens.
  ReadResult Read(std::int64_t offset) const {
    return std::async(
               std::launch::async,
               [&] {
                 RelayClient client("unix:" + path_);
                 ReadResult result;
                 for (int n = 0; n < 100; ++n) {
                   result = client.Read(kRecords, offset, Duration(0), 1s);
                   if (result.reason.find("connect") == std::string::npos) {
                     break;
                   }
                   std::this_thread::sleep_for(10ms);
                 }
                 return result;
               })
        .get();
  }

 private:
  const std::string path_;
  Metrics metrics_;
  RecordRing ring_;
  LedgerWriter writer_{{}, std::make_unique<NoStore>(), metrics_};
  RelayServer server_{"unix:" + path_,
                      {{.partition = kRecords, .ring = &ring_}},
                      writer_};
};

ReadResult Records(std::int64_t first, std::int64_t end_offset) {
  return {.kind = ReadResult::Kind::kOk,
          .end_offset = end_offset,
          .records = {{.offset = first, .bytes = "a record"}}};
}

// Guards against a follower that takes the history for news, and an old view
// for a current one: its relay answered before it had read the log to its end.
TEST_CASE("relay: an entry that has restored its snapshot", "[relay]") {
  constexpr Time kNotReadToTheEnd{0};
  Relay relay;
  relay.ring().Reset(7);

  SECTION("does not answer for the log yet") {
    CHECK_FALSE(relay.ring().ReadFrom(7).has_data);
    CHECK(relay.Read(7).kind == ReadResult::Kind::kFailed);
  }
  SECTION("nor with the first records") {
    relay.ring().Add(Records(7, 9), kNotReadToTheEnd);
    CHECK_FALSE(relay.ring().ReadFrom(7).has_data);
    CHECK(relay.Read(7).kind == ReadResult::Kind::kFailed);
    CHECK(relay.Read(8).kind == ReadResult::Kind::kFailed);

    SECTION("but once it has read the log to its end, with all of them") {
      relay.ring().Add(Records(8, 9), BootClockNow());
      const ReadResult read = relay.Read(7);
      CHECK(read.kind == ReadResult::Kind::kOk);
      CHECK(read.records.size() == 2);
      CHECK(read.end_offset == 9);
      CHECK(read.age < 1s);

      SECTION("nor after a gap, until it has read on to the end") {
        relay.ring().Reset(20);
        CHECK(relay.Read(20).kind == ReadResult::Kind::kFailed);
        relay.ring().Add({.end_offset = 20}, BootClockNow());
        CHECK(relay.Read(20).kind == ReadResult::Kind::kOk);
      }
    }
  }
  SECTION("answers at once if it has read the whole partition") {
    relay.ring().Reset(7, BootClockNow());
    CHECK(relay.Read(7).kind == ReadResult::Kind::kOk);
  }
}

}  // namespace
}  // namespace marjoramplank
