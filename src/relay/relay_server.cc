#include "src/relay/relay_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/timer.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

#include "src/jobs/ledger_codec.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"
#include "src/relay/generated/relay.capnp.h"

namespace marjoramplank {

namespace {

// Longest wait of a read, whatever was asked for.
constexpr Duration kLongestWait = 2s;

// An append goes on at least this long, also if its caller has tried another
// way meanwhile: breaking it off would only send it to the log once more.
constexpr Duration kLeastAppendLimit = 900ms;

constexpr auto kNotStored =
    static_cast<std::uint8_t>(LedgerWriter::Outcome::kNotStored);

// Outcome of several records appended for one call: the worst of theirs. Told
// from the writer's thread.
class GatheredOutcome {
 public:
  using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<std::uint8_t>>;

  GatheredOutcome(std::size_t records, Fulfiller fulfiller)
      : left_(records), fulfiller_(kj::mv(fulfiller)) {}

  void Add(LedgerWriter::Outcome outcome) {
    worst_ = std::max(worst_, static_cast<std::uint8_t>(outcome));
    --left_;
    if (left_ == 0) {
      fulfiller_->fulfill(kj::mv(worst_));
    }
  }

 private:
  std::size_t left_;
  std::uint8_t worst_ = 0;
  Fulfiller fulfiller_;
};

}  // namespace

// Reads that wait for something new. All but Wake() on the loop's thread.
struct RelayServer::Waiters {
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting;
  std::mutex mutex;  // Guards the one below.
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> bell;

  kj::Promise<void> Wait() {
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiting.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }
  // Wakes the waiting reads each time that Wake() is called.
  kj::Promise<void> Serve() {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      const std::lock_guard lock(mutex);
      bell = kj::mv(pair.fulfiller);
    }
    WakeAll();  // For what came while there was no bell.
    return pair.promise.then([this] { return Serve(); });
  }
  void Wake() {
    const std::lock_guard lock(mutex);
    KJ_IF_MAYBE (b, bell) {
      (*b)->fulfill();
      bell = nullptr;
    }
  }
  void WakeAll() {
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> all;
    all.swap(waiting);
    for (auto& fulfiller : all) {
      fulfiller->fulfill();
    }
  }
};

class RelayServer::Service final : public relay_wire::Relay::Server {
 public:
  Service(std::shared_ptr<Waiters> waiters,
          const std::vector<Partition>& partitions,
          LedgerWriter& writer,
          kj::Timer& timer)
      : waiters_(std::move(waiters)),
        partitions_(partitions),
        writer_(writer),
        timer_(timer) {}

  kj::Promise<void> read(ReadContext context) override {
    const RecordRing* ring = Find(context.getParams());
    const std::int64_t offset = context.getParams().getOffset();
    if (ring == nullptr) {
      return kj::READY_NOW;
    }
    const RecordRing::Slice now = ring->From(offset);
    const Duration wait =
        std::min(Duration(context.getParams().getWaitMs()), kLongestWait);
    if (!now.kept || !now.records.empty() || wait <= Duration(0)) {
      Fill(now, context);
      return kj::READY_NOW;
    }
    return waiters_->Wait()
        .exclusiveJoin(timer_.afterDelay(wait.count() * kj::MILLISECONDS))
        .then([ring, offset, context]() mutable {
          Fill(ring->From(offset), context);
        });
  }

  kj::Promise<void> append(AppendContext context) override {
    if (open_appends_ > 0 && writer_.failing()) {
      // Cut off itself: the caller has other ways. One append at a time is let
      // through to find out when that is over.
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
    auto gathered = std::make_shared<GatheredOutcome>(records.size(),
                                                      kj::mv(pair.fulfiller));
    const Time deadline =
        BootTime() +
        std::max(Duration(context.getParams().getLimitMs()), kLeastAppendLimit);
    for (LedgerRecord& record : records) {
      writer_.Append({.record = std::move(record),
                      .deadline = deadline,
                      .done = [gathered](LedgerWriter::Outcome outcome, Time) {
                        gathered->Add(outcome);
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
  const RecordRing* Find(Params params) const {
    const std::string topic(params.getTopic().cStr());
    for (const Partition& p : partitions_) {
      if (p.partition.topic == topic &&
          p.partition.number == params.getPart()) {
        return p.ring;
      }
    }
    return nullptr;
  }

  static void Fill(const RecordRing::Slice& slice, ReadContext& context) {
    auto out = context.getResults();
    out.setKnown(slice.known);
    out.setKept(slice.kept);
    out.setFirst(slice.first);
    out.setEnd(slice.end);
    out.setAgeMs((BootTime() - slice.as_of).count());
    auto records = out.initRecords(static_cast<unsigned>(slice.records.size()));
    for (unsigned i = 0; i < records.size(); ++i) {
      const std::string& bytes = slice.records[i].bytes;
      records[i].setOffset(slice.records[i].offset);
      records[i].setBytes(kj::arrayPtr(
          reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    }
  }

  const std::shared_ptr<Waiters> waiters_;
  const std::vector<Partition>& partitions_;
  LedgerWriter& writer_;
  kj::Timer& timer_;
  int open_appends_ = 0;
};

struct RelayServer::Listening : kj::TaskSet::ErrorHandler {
  capnp::TwoPartyServer server;
  kj::TaskSet tasks{*this};

  explicit Listening(capnp::Capability::Client service)
      : server(kj::mv(service)) {}
  void taskFailed(kj::Exception&& e) override {
    LogEvent("relay_listener_failed")
        .With("reason", std::string(e.getDescription().cStr()));
  }
};

RelayServer::RelayServer(const std::string& address,
                         std::vector<Partition> partitions,
                         LedgerWriter& writer)
    : waiters_(std::make_shared<Waiters>()),
      partitions_(std::move(partitions)) {
  loop_.RunSync([&] {
    listening_ = std::make_unique<Listening>(kj::heap<Service>(
        waiters_, partitions_, writer, loop_.io().provider->getTimer()));
    listening_->tasks.add(waiters_->Serve());
    kj::Network& network = loop_.io().provider->getNetwork();
    listening_->tasks.add(
        network.parseAddress(address.c_str())
            .then([this](kj::Own<kj::NetworkAddress>&& parsed) {
              auto listener = parsed->listen();
              kj::ConnectionReceiver& receiver = *listener;
              return listening_->server.listen(receiver).attach(
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
    waiters_->waiting.clear();
    listening_.reset();
  });
}

void RelayServer::Wake() {
  waiters_->Wake();
}

}  // namespace marjoramplank
