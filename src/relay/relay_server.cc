#include "src/relay/relay_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/timer.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/relay/generated/relay.capnp.h"

namespace marjoramplank {

namespace {

// Longest long poll of a read, whatever the caller requests.
constexpr Duration kMaxReadWait = 2s;

// Shortest deadline of an append, also if its caller has moved on to another
// route: giving it up would only cause it to be sent to the log service once
// more.
constexpr Duration kMinAppendTimeout = 900ms;

// Longest deadline of an append, whatever the caller requests.
constexpr Duration kMaxAppendTimeout = 1min;

constexpr auto kNotStored =
    static_cast<std::uint8_t>(LedgerWriter::Outcome::kNotStored);

// Combines the outcomes of the records of one append call, which may have taken
// several calls to the log. The caller learns one outcome for all of them, so
// records that fared differently are in doubt. Called on the writer's thread.
class BatchOutcome {
 public:
  using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<std::uint8_t>>;

  BatchOutcome(std::size_t record_count, Fulfiller fulfiller)
      : remaining_(record_count), fulfiller_(kj::mv(fulfiller)) {}

  void Add(LedgerWriter::Outcome outcome) {
    outcome_ = outcome_.value_or(outcome) == outcome
                   ? outcome
                   : LedgerWriter::Outcome::kUnknown;
    --remaining_;
    if (remaining_ == 0) {
      fulfiller_->fulfill(static_cast<std::uint8_t>(*outcome_));
    }
  }

 private:
  std::size_t remaining_;
  std::optional<LedgerWriter::Outcome> outcome_;
  Fulfiller fulfiller_;
};

}  // namespace

// Long-polling reads that wait for new records. Used on the loop's thread,
// except for Wake(), which any thread may call.
struct RelayServer::ReadWaiters {
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> fulfillers;
  std::mutex mutex;  // Guards wake_fulfiller.
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> wake_fulfiller;

  kj::Promise<void> Wait() {
    auto pair = kj::newPromiseAndFulfiller<void>();
    fulfillers.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }
  // Wakes the waiting reads after each call of Wake().
  kj::Promise<void> WakeLoop() {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      const std::lock_guard lock(mutex);
      wake_fulfiller = kj::mv(pair.fulfiller);
    }
    WakeAll();  // Wake() may have been called while it had no fulfiller.
    return pair.promise.then([this] { return WakeLoop(); });
  }
  void Wake() {
    const std::lock_guard lock(mutex);
    KJ_IF_MAYBE (fulfiller, wake_fulfiller) {
      (*fulfiller)->fulfill();
      wake_fulfiller = nullptr;
    }
  }
  void WakeAll() {
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> all;
    all.swap(fulfillers);
    for (auto& fulfiller : all) {
      fulfiller->fulfill();
    }
  }
};

class RelayServer::Service final : public relay_wire::Relay::Server {
 public:
  Service(std::shared_ptr<ReadWaiters> read_waiters,
          const std::vector<Partition>& partitions,
          LedgerWriter& writer,
          kj::Timer& timer)
      : read_waiters_(std::move(read_waiters)),
        partitions_(partitions),
        writer_(writer),
        timer_(timer) {}

  kj::Promise<void> read(ReadContext context) override {
    const RecordRing* ring = FindRing(context.getParams());
    const std::int64_t offset = context.getParams().getOffset();
    if (ring == nullptr) {
      return kj::READY_NOW;
    }
    const RecordRing::Slice slice = ring->ReadFrom(offset);
    const Duration wait =
        std::min(Duration(context.getParams().getWaitMs()), kMaxReadWait);
    if (!slice.is_retained || !slice.records.empty() || wait <= Duration(0)) {
      FillReadResults(slice, context);
      return kj::READY_NOW;
    }
    return read_waiters_->Wait()
        .exclusiveJoin(timer_.afterDelay(wait.count() * kj::MILLISECONDS))
        .then([ring, offset, context]() mutable {
          FillReadResults(ring->ReadFrom(offset), context);
        });
  }

  kj::Promise<void> append(AppendContext context) override {
    if (open_appends_ > 0 && writer_.is_failing()) {
      // The log service is unreachable from here and the caller has other
      // routes. One append at a time is still tried, to detect the recovery.
      context.getResults().setOutcome(kNotStored);
      return kj::READY_NOW;
    }
    std::vector<LedgerRecord> records;
    for (const auto bytes : context.getParams().getRecords()) {
      std::optional<LedgerRecord> record = DecodeRecord(std::string(
          reinterpret_cast<const char*>(bytes.begin()), bytes.size()));
      if (!record) {
        LogEvent("relay_record_unreadable").With("bytes", bytes.size());
        context.getResults().setOutcome(kNotStored);
        return kj::READY_NOW;
      }
      records.push_back(std::move(*record));
    }
    if (records.empty()) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<std::uint8_t>();
    auto batch_outcome =
        std::make_shared<BatchOutcome>(records.size(), kj::mv(pair.fulfiller));
    const Time deadline =
        BootClockNow() + std::clamp(Duration(context.getParams().getLimitMs()),
                                    kMinAppendTimeout, kMaxAppendTimeout);
    for (LedgerRecord& record : records) {
      writer_.Append(
          {.record = std::move(record),
           .deadline = deadline,
           .on_done = [batch_outcome](LedgerWriter::Outcome outcome, Time) {
             batch_outcome->Add(outcome);
           }});
    }
    ++open_appends_;
    return pair.promise.then([this, context](std::uint8_t outcome) mutable {
      --open_appends_;
      context.getResults().setOutcome(outcome);
    });
  }

 private:
  template <typename Params>
  const RecordRing* FindRing(Params params) const {
    const std::string topic(params.getTopic().cStr());
    for (const Partition& p : partitions_) {
      if (p.partition.topic == topic &&
          p.partition.number == params.getPart()) {
        return p.ring;
      }
    }
    return nullptr;
  }

  static void FillReadResults(const RecordRing::Slice& slice,
                              ReadContext& context) {
    auto out = context.getResults();
    out.setKnown(slice.has_data);
    out.setKept(slice.is_retained);
    out.setFirst(slice.first_offset);
    out.setEnd(slice.end_offset);
    out.setAgeMs((BootClockNow() - slice.as_of).count());
    auto records = out.initRecords(static_cast<unsigned>(slice.records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
      const std::string& bytes = slice.records[i].bytes;
      records[i].setOffset(slice.records[i].offset);
      records[i].setBytes(kj::arrayPtr(
          reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    }
  }

  const std::shared_ptr<ReadWaiters> read_waiters_;
  const std::vector<Partition>& partitions_;
  LedgerWriter& writer_;
  kj::Timer& timer_;
  int open_appends_ = 0;
};

struct RelayServer::Listener : kj::TaskSet::ErrorHandler {
  capnp::TwoPartyServer server;
  kj::TaskSet tasks{*this};

  explicit Listener(capnp::Capability::Client service)
      : server(kj::mv(service)) {}
  void taskFailed(kj::Exception&& e) override {
    LogEvent("relay_listener_failed")
        .With("reason", std::string(e.getDescription().cStr()));
  }
};

RelayServer::RelayServer(const std::string& address,
                         std::vector<Partition> partitions,
                         LedgerWriter& writer)
    : read_waiters_(std::make_shared<ReadWaiters>()),
      partitions_(std::move(partitions)) {
  loop_.RunSync([&] {
    listener_ = std::make_unique<Listener>(kj::heap<Service>(
        read_waiters_, partitions_, writer, loop_.io().provider->getTimer()));
    listener_->tasks.add(read_waiters_->WakeLoop());
    kj::Network& network = loop_.io().provider->getNetwork();
    listener_->tasks.add(
        network.parseAddress(address.c_str())
            .then([this](kj::Own<kj::NetworkAddress>&& parsed) {
              auto listener = parsed->listen();
              kj::ConnectionReceiver& receiver = *listener;
              return listener_->server.listen(receiver).attach(
                  kj::mv(listener));
            }));
  });
  for (const Partition& p : partitions_) {
    p.ring->SetOnChange([this] { Wake(); });
  }
}

RelayServer::~RelayServer() {
  for (const Partition& p : partitions_) {
    p.ring->SetOnChange({});
  }
  loop_.Stop([this] {
    read_waiters_->fulfillers.clear();
    listener_.reset();
  });
}

void RelayServer::Wake() {
  read_waiters_->Wake();
}

}  // namespace marjoramplank
