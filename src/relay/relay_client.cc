#include "src/relay/relay_client.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/exception.h>

#include <algorithm>

#include "src/jobs/record_limits.h"
#include "src/relay/generated/relay.capnp.h"

namespace marjoramplank {

namespace {

// Covers two round trips between data centres and the resend of a lost packet.
constexpr Duration kConnectTimeout = 300ms;

// The event loop of the calling thread. KJ allows one per thread.
kj::AsyncIoContext& ThreadIo() {
  thread_local kj::AsyncIoContext io = kj::setupAsyncIo();
  return io;
}

// KJ's timer reads the time only when the loop turns. Without this, a timeout
// set after a pause between two calls would count from the old time and expire
// early.
void AdvanceTimer() {
  ThreadIo().waitScope.poll();
}

template <typename T>
kj::Promise<T> WithTimeout(kj::Promise<T>&& promise, Duration timeout) {
  return ThreadIo().provider->getTimer().timeoutAfter(
      timeout.count() * kj::MILLISECONDS, kj::mv(promise));
}

std::string Describe(const kj::Exception& e) {
  return e.getDescription().cStr();
}

// True if the offsets rise from `offset` to the end and the age is no time in
// the future.
bool IsConsistent(const ReadResult& read, std::int64_t offset) {
  std::int64_t next = offset;
  for (const LogRecordBytes& r : read.records) {
    if (r.offset < next || r.offset >= read.end_offset) {
      return false;
    }
    next = r.offset + 1;
  }
  return read.first_offset >= 0 && read.end_offset >= 0 &&
         read.end_offset <= kMaxCounter && read.age >= Duration(0) &&
         read.age <= kMaxDuration;
}

}  // namespace

struct RelayClient::Connection {
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient rpc;
  relay_wire::Relay::Client relay;

  explicit Connection(kj::Own<kj::AsyncIoStream> s)
      : stream(kj::mv(s)),
        rpc(*stream),
        relay(rpc.bootstrap().castAs<relay_wire::Relay>()) {}

  static std::unique_ptr<Connection> Open(const std::string& address) {
    kj::AsyncIoContext& io = ThreadIo();
    auto connecting = io.provider->getNetwork()
                          .parseAddress(address.c_str())
                          .then([](kj::Own<kj::NetworkAddress>&& parsed) {
                            auto promise = parsed->connect();
                            return promise.attach(kj::mv(parsed));
                          });
    return std::make_unique<Connection>(
        WithTimeout(kj::mv(connecting), kConnectTimeout).wait(io.waitScope));
  }
};

RelayClient::RelayClient(const std::string& address) : address_(address) {}
RelayClient::~RelayClient() = default;

ReadResult RelayClient::Read(const LogPartition& from,
                             std::int64_t offset,
                             Duration wait,
                             Duration timeout) {
  ReadResult out;
  AdvanceTimer();
  const auto fault = kj::runCatchingExceptions([&] {
    if (connection_ == nullptr) {
      connection_ = Connection::Open(address_);
    }
    auto request = connection_->relay.readRequest();
    request.setTopic(from.topic);
    request.setPart(from.number);
    request.setOffset(offset);
    request.setWaitMs(wait.count());
    auto pending_read = request.send();
    const auto reply =
        WithTimeout(
            kj::Promise<capnp::Response<relay_wire::Relay::ReadResults>>(
                kj::mv(pending_read)),
            timeout)
            .wait(ThreadIo().waitScope);
    if (!reply.getKnown() || !reply.getKept()) {
      out.reason = "the entry does not retain records at this offset";
      return;
    }
    out.first_offset = reply.getFirst();
    out.end_offset = reply.getEnd();
    out.age = Duration(reply.getAgeMs());
    for (const auto r : reply.getRecords()) {
      const auto bytes = r.getBytes();
      out.records.push_back(
          {.offset = r.getOffset(),
           .bytes = {reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size()}});
    }
    if (!IsConsistent(out, offset)) {
      out = {.reason = "the entry's answer has numbers out of range"};
      return;
    }
    out.kind = ReadResult::Kind::kOk;
  });
  KJ_IF_MAYBE (e, fault) {
    connection_.reset();
    out.kind = ReadResult::Kind::kFailed;
    out.reason = Describe(*e);
  }
  return out;
}

AppendResult RelayClient::Append(const std::vector<std::string>& records,
                                 Duration timeout) {
  AppendResult out;
  bool request_sent = false;
  AdvanceTimer();
  const auto fault = kj::runCatchingExceptions([&] {
    if (connection_ == nullptr) {
      connection_ = Connection::Open(address_);
    }
    auto request = connection_->relay.appendRequest();
    auto list = request.initRecords(static_cast<unsigned>(records.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      list.set(
          i, kj::arrayPtr(reinterpret_cast<const kj::byte*>(records[i].data()),
                          records[i].size()));
    }
    request.setLimitMs(timeout.count());
    request_sent = true;
    auto promise = request.send();
    const auto reply =
        WithTimeout(
            kj::Promise<capnp::Response<relay_wire::Relay::AppendResults>>(
                kj::mv(promise)),
            timeout)
            .wait(ThreadIo().waitScope);
    constexpr std::uint8_t kStored = 0;
    constexpr std::uint8_t kNotStored = 1;
    out.kind = reply.getOutcome() == kStored ? AppendResult::Kind::kStored
               : reply.getOutcome() == kNotStored
                   ? AppendResult::Kind::kRefused
                   : AppendResult::Kind::kUnknown;
    out.reason = "the entry did not confirm the append";
  });
  KJ_IF_MAYBE (e, fault) {
    connection_.reset();
    out.kind = request_sent ? AppendResult::Kind::kUnknown
                            : AppendResult::Kind::kRefused;
    out.reason = Describe(*e);
  }
  return out;
}

}  // namespace marjoramplank
