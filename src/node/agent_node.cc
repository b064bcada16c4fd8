#include "src/node/agent_node.h"

#include <utility>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Longest wait for the answer to a start or stop. The worker is on the same
// machine; one that is 20 times too slow still answers.
constexpr Duration kOrderLimit = 400ms;
// Beyond the wait of a listing.
constexpr Duration kHoldSlack = 500ms;
// The drive loop looks at least this often for what time alone decides.
constexpr Duration kDriveTick = 100ms;
constexpr Duration kHoldTick = 50ms;
// Shortest wait for an entry's answer to an append: it may have to connect to
// the entry, and the entry gathers appends of others.
constexpr Duration kEntryPatience = 500ms;
// Longest wait for open appends at the end.
constexpr Duration kCloseLimit = 300ms;
// Knowledge of the ledger that is older than this is not acted on: a poll and a
// slow answer.
constexpr Duration kFreshLedger = 1200ms;

void LogRecordTaken(const LedgerRecord& record) {
  if (const auto* r = std::get_if<TaskEnded>(&record)) {
    LogEvent("task_ended")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("how", ToString(r->how))
        .With("worker", ToString(r->life))
        .With("number", r->number);
  } else if (const auto* r = std::get_if<StartRefused>(&record)) {
    LogEvent("start_refused")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("worker", ToString(r->life))
        .With("reason", r->reason);
  } else if (const auto* r = std::get_if<WorkerReported>(&record)) {
    LogEvent("worker_reported")
        .With("worker", ToString(r->life))
        .With("accepting", r->accepting)
        .With("rack", r->rack);
  } else if (const auto* r = std::get_if<WorkerEmptied>(&record)) {
    LogEvent("worker_emptied")
        .With("worker", ToString(r->life))
        .With("gone", r->gone)
        .With("reason", r->reason);
  } else if (const auto* r = std::get_if<RunObserved>(&record);
             r && r->stalled) {
    LogEvent("task_stalled")
        .With("task", ToString(r->task))
        .With("run", r->run)
        .With("percent", r->percent);
  }
}

const char* ToString(OrderReply::Kind kind) {
  switch (kind) {
    case OrderReply::Kind::kDone:
      return "done";
    case OrderReply::Kind::kRefused:
      return "refused";
    case OrderReply::Kind::kOutdated:
      return "outdated";
    case OrderReply::Kind::kEndedBefore:
      return "ended_before";
    case OrderReply::Kind::kUnhealthy:
      return "unhealthy";
    case OrderReply::Kind::kWrongLife:
      return "wrong_life";
    case OrderReply::Kind::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

template <typename Call>
void LogOrder(const char* event, const Call& call, const OrderReply& reply) {
  LogEvent(event)
      .With("task", marjoramplank::ToString(call.task))
      .With("run", call.run)
      .With("fence", call.fence)
      .With("worker", call.life.id)
      .With("outcome", ToString(reply.kind))
      .With("reason", reply.reason);
}

}  // namespace

AgentNode::AgentNode(Options options,
                     const StoreFactory& open_store,
                     const EndpointFactory& open_endpoint)
    : options_(std::move(options)),
      ledger_({.records = options_.records, .snapshots = options_.snapshots},
              OpenRelayed(open_store),
              OpenRelayed(open_store),
              metrics_),
      writer_({.partition = options_.records,
               .patience = {.least = kEntryPatience}},
              OpenRelayed(open_store),
              metrics_),
      supervisor_(options_.supervisor) {
  ledger_.SetOnGap([this] { writer_.RepeatRecent(); });
  ledger_.Start();
  threads_.emplace_back([this] { DriveLoop(); });
  for (std::int32_t n = 0; n < options_.order_threads; ++n) {
    threads_.emplace_back(
        [this, e = open_endpoint()]() mutable { OrderLoop(std::move(e)); });
  }
  threads_.emplace_back(
      [this, e = open_endpoint()]() mutable { HoldLoop(std::move(e)); });
}

AgentNode::~AgentNode() {
  stopping_ = true;
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  writer_.Drain(kCloseLimit);
}

std::unique_ptr<LogStore> AgentNode::OpenRelayed(
    const StoreFactory& open_store) {
  return std::make_unique<RelayedLogStore>(
      RelayedLogStore::Options{
          .relays =
              [this] { return RelaysOn(ledger_, options_.data_centre, ""); },
          .relays_first = true},
      open_store(), way_health_);
}

void AgentNode::Close() {
  writer_.Drain(kCloseLimit);
}

void AgentNode::Wake() {
  poked_ = true;
  wake_.notify_all();
}

bool AgentNode::OnHeartbeat(const WorkerHeartbeat& heartbeat) {
  const std::lock_guard lock(mutex_);
  const bool known = supervisor_.OnHeartbeat(BootTime(), heartbeat);
  Wake();
  return known;
}

void AgentNode::OnDeparture(const std::string& worker_id) {
  const std::lock_guard lock(mutex_);
  supervisor_.OnDeparture(BootTime(), worker_id);
  Wake();
}

void AgentNode::SendBeat(Time now) {
  if (now - last_beat_ < options_.supervisor.leases.beat || beat_out_) {
    return;
  }
  last_beat_ = now;
  beat_out_ = true;
  writer_.Append({.record = AgentBeat{.agent = options_.name,
                                      .process = options_.supervisor.process},
                  .deadline = now + options_.supervisor.leases.renew_within,
                  .done = [this](LedgerWriter::Outcome outcome, Time sent) {
                    if (outcome == LedgerWriter::Outcome::kStored) {
                      const std::lock_guard lock(mutex_);
                      supervisor_.OnBeatStored(sent);
                    }
                    beat_out_ = false;
                  }});
}

void AgentNode::Drive(Time now) {
  std::vector<LedgerRecord> records;
  {
    const std::lock_guard lock(mutex_);
    ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
      const bool current = view.loaded && now - view.as_of < kFreshLedger;
      supervisor_.OnLedger(now, ledger, current);
    });
    for (OrderCall& order : supervisor_.TakeOrders(now)) {
      orders_.push_back(std::move(order));
    }
    records = supervisor_.TakeRecords(now);
    wake_.notify_all();
  }
  Record(std::move(records));
}

void AgentNode::Record(std::vector<LedgerRecord> records) {
  for (LedgerRecord& record : records) {
    LogRecordTaken(record);
    writer_.Append({.record = std::move(record)});
  }
}

void AgentNode::DriveLoop() {
  std::uint64_t version = 0;
  while (!stopping_) {
    version = ledger_.WaitForChange(version, kDriveTick);
    const Time now = BootTime();
    Drive(now);
    SendBeat(now);
  }
}

void AgentNode::CountOrder(const OrderCall& call,
                           const OrderReply& reply,
                           Time sent) {
  const bool done = reply.kind == OrderReply::Kind::kDone;
  if (std::holds_alternative<StopCall>(call)) {
    metrics_.Add(Counter::kTasksStopped, done ? 1 : 0);
    return;
  }
  metrics_.Add(done ? Counter::kTasksStarted : Counter::kTasksRefused);
  metrics_.Observe(Latency::kStep, ToSeconds(BootTime() - sent));
}

void AgentNode::OrderLoop(std::unique_ptr<TaskEndpoint> endpoint) {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (orders_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const OrderCall order = std::move(orders_.front());
    orders_.pop_front();
    lock.unlock();
    OrderReply reply;
    const Time sent = BootTime();
    if (const auto* start = std::get_if<StartCall>(&order)) {
      reply = endpoint->Start(*start, kOrderLimit);
      LogOrder("start", *start, reply);
    } else {
      reply = endpoint->Stop(std::get<StopCall>(order), kOrderLimit);
      LogOrder("stop", std::get<StopCall>(order), reply);
    }
    CountOrder(order, reply, sent);
    lock.lock();
    const Time now = BootTime();
    if (const auto* start = std::get_if<StartCall>(&order)) {
      supervisor_.OnStartReply(now, *start, reply);
    } else {
      supervisor_.OnStopReply(now, std::get<StopCall>(order), reply);
    }
    Wake();
  }
}

void AgentNode::HoldLoop(std::unique_ptr<TaskEndpoint> endpoint) {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const std::optional<HoldCall> call = supervisor_.NextHold(BootTime());
    if (!call) {
      poked_ = false;
      wake_.wait_for(lock, kHoldTick, [this] { return poked_ || stopping_; });
      continue;
    }
    lock.unlock();
    const HoldReply reply = endpoint->Hold(*call, call->wait + kHoldSlack);
    if (reply.kind != HoldReply::Kind::kOk) {
      LogEvent("hold_failed")
          .With("worker", ToString(call->life))
          .With("fence", call->fence)
          .With("reason", reply.reason);
    }
    lock.lock();
    const Time now = BootTime();
    supervisor_.OnHoldReply(now, *call, reply);
    for (OrderCall& order : supervisor_.TakeOrders(now)) {
      orders_.push_back(std::move(order));
    }
    std::vector<LedgerRecord> records = supervisor_.TakeRecords(now);
    wake_.notify_all();
    lock.unlock();
    Record(std::move(records));
    lock.lock();
  }
}

}  // namespace marjoramplank
