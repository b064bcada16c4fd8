// Which route a read takes, and for how long it is waited for.

#include "src/relay/relayed_log_store.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/node/clock.h"
#include "src/store/retry_backoff.h"

namespace marjoramplank {
namespace {

const LogPartition kRecords{.topic = "t"};

// A log service that answers reads as the test says, and remembers the timeouts
// of the calls.
struct DirectCalls {
  std::vector<Duration> timeouts;
  Duration answers_after{0};
  ReadResult::Kind answer = ReadResult::Kind::kOk;
};

class DirectStore final : public LogStore {
 public:
  explicit DirectStore(DirectCalls& calls) : calls_(calls) {}

  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    return {};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t offset,
                  Duration,
                  Duration timeout) override {
    calls_.timeouts.push_back(timeout);
    std::this_thread::sleep_for(std::min(timeout, calls_.answers_after));
    if (calls_.answers_after >= timeout) {
      return {.reason = "timeout"};
    }
    return {.kind = calls_.answer, .end_offset = offset};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override { return {}; }

 private:
  DirectCalls& calls_;
};

// Accepts connections and never answers: an entry whose process is stopped.
class FrozenRelay {
 public:
  FrozenRelay()
      : path_((std::filesystem::temp_directory_path() /
               ("frozen_relay." + std::to_string(::getpid())))
                  .string()),
        socket_(::socket(AF_UNIX, SOCK_STREAM, 0)) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path_.copy(std::begin(address.sun_path), sizeof(address.sun_path) - 1);
    std::filesystem::remove(path_);
    REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0);
    REQUIRE(::listen(socket_, 5) == 0);
  }
  ~FrozenRelay() {
    ::close(socket_);
    std::filesystem::remove(path_);
  }
  FrozenRelay(const FrozenRelay&) = delete;
  FrozenRelay& operator=(const FrozenRelay&) = delete;

  std::string address() const { return "unix:" + path_; }

 private:
  const std::string path_;
  const int socket_;
};

// Runs `f` on a thread of its own, since a relay's connection is bound to it.
template <typename F>
auto OnThread(F f) {
  return std::async(std::launch::async, f).get();
}

// Guards against an agent that does not read the log for 4.5 s because its
// relay is frozen, when the caller allows for a long queue of the log service.
TEST_CASE("relayed store: a frozen relay", "[relay]") {
  constexpr Duration kWait = 100ms;
  FrozenRelay relay;
  DirectCalls direct;
  RouteHealth health({});
  std::vector<ReadResult::Kind> results;
  const Duration took = OnThread([&] {
    RelayedLogStore store(
        {.relay_addresses =
             [&](RouteHealth::Operation) {
               return std::vector<std::string>{relay.address()};
             },
         .prefer_relays = true},
        std::make_unique<DirectStore>(direct), health);
    const Time started_at = BootClockNow();
    results.push_back(store.Read(kRecords, 0, kWait, kBulkReadTimeout).kind);
    const Duration out = BootClockNow() - started_at;
    results.push_back(store.Read(kRecords, 0, kWait, kBulkReadTimeout).kind);
    return out;
  });

  SECTION("is given up soon, whatever the caller allows the log service") {
    CHECK(results[0] == ReadResult::Kind::kFailed);
    CHECK(took >= kWait);
    CHECK(took < 1500ms);
  }
  SECTION("the next read goes to the log service, which may take long") {
    CHECK(results[1] == ReadResult::Kind::kOk);
    CHECK(direct.timeouts == std::vector<Duration>{kBulkReadTimeout});
  }
}

// Guards against polls that time out again and again while a log service with a
// long queue would answer them, so that an entry that has everything refuses.
TEST_CASE("relayed store: polls of a log service with a long queue",
          "[relay]") {
  constexpr Duration kPollTimeout = 50ms;
  DirectCalls direct;
  RouteHealth health({});
  RelayedLogStore store(
      {.relay_addresses =
           [](RouteHealth::Operation) { return std::vector<std::string>(); }},
      std::make_unique<DirectStore>(direct), health);
  const auto poll = [&] {
    return store.Read(kRecords, 0, 10ms, kPollTimeout).kind;
  };

  SECTION("one that timed out is repeated with the timeout of long answers") {
    direct.answers_after = 100ms;
    CHECK(poll() == ReadResult::Kind::kFailed);
    CHECK(poll() == ReadResult::Kind::kOk);
    CHECK(direct.timeouts ==
          std::vector<Duration>{kPollTimeout, kBulkReadTimeout});

    SECTION("until one is answered") {
      direct.answers_after = Duration(0);
      CHECK(poll() == ReadResult::Kind::kOk);
      CHECK(direct.timeouts.back() == kPollTimeout);
    }
  }
  SECTION("and counts as a failure of the route, for the other followers") {
    direct.answers_after = 100ms;
    poll();
    std::vector<std::string> routes = {kDirectRoute, "relay"};
    health.SortByHealth(routes, RouteHealth::Operation::kRead);
    CHECK(routes.front() == "relay");
  }
  SECTION("one that is refused at once is repeated with the usual timeout") {
    direct.answer = ReadResult::Kind::kFailed;
    poll();
    poll();
    CHECK(direct.timeouts == std::vector<Duration>{kPollTimeout, kPollTimeout});
  }
}

}  // namespace
}  // namespace marjoramplank
