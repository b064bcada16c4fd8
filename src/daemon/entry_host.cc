#include "src/daemon/entry_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/codec/inventory_codec.h"
#include "src/codec/job_codec.h"
#include "src/daemon/logging.h"
#include "src/services/http_log_service.h"

namespace marjoramplank {

namespace {

// Limit for the body of a job submission, which holds the escaped payload and
// the other fields.
constexpr std::size_t kMaxSubmitBytes = 512U << 10;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kMaxTailWait = 250ms;     // Of a read at the end of the log.
constexpr Duration kTailRetryDelay = 100ms;  // After a read that failed.
constexpr std::int32_t kMaxTailRecords = 2'000;  // Per read.
constexpr Duration kMaxLongPoll = 60s;           // Of a client's `wait_ms`.
constexpr Duration kQueryTimeout = 2s;
// Bounds the wait in case the state machine does not reply by the deadline.
constexpr Duration kReplyMargin = 5s;

std::uint64_t NewIncarnation() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

HttpResponse ErrorResponse(int status,
                           const Error& error,
                           const std::string& state = "") {
  Poco::JSON::Object::Ptr e =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  e->set("code", std::string(ToString(error.code)));
  e->set("step", error.step);
  e->set("peer", error.peer);
  e->set("message", error.message);
  Poco::JSON::Object::Ptr body =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  if (!state.empty()) {
    body->set("state", state);
  }
  body->set("error", e);
  return {.status = status, .body = ToText(body)};
}

// Response to an invalid request, of which nothing was stored. Lists every
// invalid field.
HttpResponse FieldErrorResponse(const std::string& step,
                                const std::vector<FieldError>& errors) {
  Poco::JSON::Array::Ptr fields = new Poco::JSON::Array;
  for (const FieldError& f : errors) {
    Poco::JSON::Object::Ptr o =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    o->set("field", f.path);
    o->set("message", f.message);
    fields->add(o);
  }
  Poco::JSON::Object::Ptr e =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  e->set("code", std::string(ToString(ErrorCode::kInvalidArgument)));
  e->set("step", step);
  e->set("message", FormatFieldErrors(errors));
  e->set("fields", fields);
  Poco::JSON::Object::Ptr body =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  body->set("state", std::string(ToString(JobState::kNotRun)));
  body->set("error", e);
  constexpr int kBadRequest = 400;
  return {.status = kBadRequest, .body = ToText(body)};
}

Duration QueryDuration(const HttpRequest& request,
                       const char* key,
                       Duration fallback) {
  const auto it = request.query.find(key);
  if (it == request.query.end()) {
    return fallback;
  }
  try {
    return std::clamp(Duration{std::stoll(it->second)}, Duration{0},
                      kMaxLongPoll);
  } catch (const std::exception&) {
    return fallback;
  }
}

std::int64_t WallClockOffsetMs(Time now) {
  const auto wall_time = std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
  return (wall_time - now).count();
}

}  // namespace

EntryHost::EntryHost(EntrySettings settings)
    : settings_(std::move(settings)),
      self_{.name = settings_.name, .incarnation = NewIncarnation()} {
  loop_.RunSync([this] {
    PeerHub::Callbacks events{
        .on_connected =
            [this](const ProcessId& peer, bool is_entry) {
              Step(PeerConnected{.peer = peer, .is_entry = is_entry});
            },
        .on_disconnected =
            [this](const std::string& peer) {
              Step(PeerDisconnected{.peer = peer});
            },
        .on_message =
            [this](const std::string& peer, Message m) {
              Step(PeerMessage{.peer = peer, .message = std::move(m)});
            },
        .on_log_line = [](const std::string& line) { LogInfo("", line); }};
    hub_ = std::make_unique<PeerHub>(
        loop_.io(),
        PeerHub::Options{
            .self = self_, .is_entry = true, .listen = settings_.rpc_address},
        std::move(events), metrics_);
    rpc_address_ = SplitAddress(settings_.rpc_address).host + ":" +
                   std::to_string(hub_->Listen());
    EntryOptions options{.membership = {.self = self_, .address = rpc_address_},
                         .snapshot_interval = settings_.snapshot_interval,
                         .snapshot_records = settings_.snapshot_records,
                         .wall_offset_ms = WallClockOffsetMs(Now())};
    core_ = std::make_unique<EntryCore>(std::move(options), &metrics_);
    for (const std::string& peer : settings_.peer_addresses) {
      if (peer != rpc_address_) {
        hub_->Dial(peer);
      }
    }
    tick_loop_ = TickLoop().eagerlyEvaluate(
        [](kj::Exception&& e) { LogWarning("", e.getDescription().cStr()); });
  });
  tail_thread_ = std::thread([this] { TailLoop(); });
  append_thread_ = std::thread([this] { AppendLoop(); });
  fetch_thread_ = std::thread([this] { FetchLoop(); });
  http_ = std::make_unique<HttpServer>(
      HttpServer::Options{.address = settings_.http_address,
                          .threads = settings_.http_threads},
      [this](const HttpRequest& r) { return HandleRequest(r); });
}

EntryHost::~EntryHost() {
  http_->Stop();
  is_stopping_ = true;
  work_ready_.notify_all();
  tail_thread_.join();
  append_thread_.join();
  fetch_thread_.join();
  loop_.Stop([this] {
    tick_loop_ = nullptr;
    hub_.reset();
    core_.reset();
  });
}

bool EntryHost::ShutDown() {
  loop_.RunSync([this] { Step(BeginShutdown{}); });
  const Time deadline = Now() + settings_.shutdown_timeout;
  constexpr std::chrono::milliseconds kPollInterval{20};
  bool drained = false;
  while (!drained && Now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    drained = loop_.RunSync([this] { return core_->IsDrained(Now()); });
  }
  return drained;
}

Time EntryHost::Now() const {
  return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() -
                                          start_time_);
}

void EntryHost::Step(const EntryInput& input) {
  const auto start = std::chrono::steady_clock::now();
  for (EntryOutput& output : core_->Step(Now(), input)) {
    HandleOutput(std::move(output));
  }
  next_offset_ = core_->NextOffset();
  metrics_.Observe(Latency::kStep, std::chrono::duration<double>(
                                       std::chrono::steady_clock::now() - start)
                                       .count());
}

void EntryHost::HandleOutput(EntryOutput output) {
  std::visit(
      Overloaded{[&](Reply& o) {
                   const std::lock_guard lock(pending_calls_mutex_);
                   if (const auto it = pending_calls_.find(o.token);
                       it != pending_calls_.end()) {
                     it->second.set_value(std::move(o));
                     pending_calls_.erase(it);
                   }
                 },
                 [&](AppendBatch& o) {
                   const std::lock_guard lock(work_mutex_);
                   append_queue_.push_back(std::move(o));
                   work_ready_.notify_all();
                 },
                 [&](FetchRecord& o) {
                   const std::lock_guard lock(work_mutex_);
                   fetch_queue_.push_back(o);
                   work_ready_.notify_all();
                 },
                 [&](SendToPeer& o) { hub_->Send(o.peer, o.message); },
                 [&](PublishConfig& o) { config_.Set(std::move(o.snapshot)); },
                 [&](EmitSpan& o) {
                   LogInfo(o.span.trace_id, "span " + ToJsonLine(o.span));
                 },
                 [&](DialEntry& o) {
                   if (o.address != rpc_address_) {
                     hub_->Dial(o.address);
                   }
                 }},
      output);
}

kj::Promise<void> EntryHost::TickLoop() {
  return loop_.io()
      .provider->getTimer()
      .afterDelay(kTickInterval.count() * kj::MILLISECONDS)
      .then([this] {
        Step(EntryTick{});
        return TickLoop();
      });
}

std::unique_ptr<LogService> EntryHost::MakeLogService(Duration timeout) const {
  const HostPort address = SplitAddress(settings_.platform_log_address);
  return std::make_unique<HttpLogService>(HttpLogService::Options{
      .host = address.host, .port = address.port, .timeout = timeout});
}

void EntryHost::TailLoop() {
  const std::unique_ptr<LogService> log =
      MakeLogService(settings_.append_timeout);
  while (!is_stopping_) {
    const Time asked_at = Now();
    LogRead read = log->Read(next_offset_, kMaxTailRecords, kMaxTailWait);
    read.requested_at = asked_at;
    const bool ok = read.ok;
    loop_.RunSync([&] { Step(std::move(read)); });
    if (!ok) {
      std::this_thread::sleep_for(kTailRetryDelay);
    }
  }
}

void EntryHost::AppendLoop() {
  const std::unique_ptr<LogService> log =
      MakeLogService(settings_.append_timeout);
  while (true) {
    AppendBatch batch;
    {
      std::unique_lock lock(work_mutex_);
      work_ready_.wait(lock,
                       [&] { return is_stopping_ || !append_queue_.empty(); });
      if (is_stopping_) {
        return;
      }
      batch = std::move(append_queue_.front());
      append_queue_.pop_front();
    }
    const Time start = Now();
    const AppendOutcome outcome = log->Append(batch.lines);
    loop_.RunSync([&] {
      Step(AppendDone{
          .batch = batch.batch, .outcome = outcome, .duration = Now() - start});
    });
  }
}

void EntryHost::FetchLoop() {
  const std::unique_ptr<LogService> log =
      MakeLogService(settings_.append_timeout);
  while (true) {
    FetchRecord fetch;
    {
      std::unique_lock lock(work_mutex_);
      work_ready_.wait(lock,
                       [&] { return is_stopping_ || !fetch_queue_.empty(); });
      if (is_stopping_) {
        return;
      }
      fetch = fetch_queue_.front();
      fetch_queue_.pop_front();
    }
    const LogRead read = log->Read(fetch.offset, 1, Duration{0});
    const bool found = read.ok && !read.lines.empty() &&
                       read.lines.front().offset == fetch.offset;
    loop_.RunSync([&] {
      Step(RecordFetched{
          .id = fetch.id,
          .ok = found,
          .text = found ? read.lines.front().text : std::string{}});
    });
  }
}

HttpResponse EntryHost::CallCore(
    const std::function<EntryInput(CallToken, Time)>& make_input,
    Duration timeout) {
  const CallToken token = next_token_++;
  std::future<Reply> future;
  {
    const std::lock_guard lock(pending_calls_mutex_);
    future = pending_calls_[token].get_future();
  }
  loop_.RunSync([&] { Step(make_input(token, Now() + timeout)); });
  if (future.wait_for(timeout + kReplyMargin) != std::future_status::ready) {
    const std::lock_guard lock(pending_calls_mutex_);
    pending_calls_.erase(token);
    constexpr int kGatewayTimeout = 504;
    return ErrorResponse(kGatewayTimeout, {.code = ErrorCode::kDeadlineExceeded,
                                           .step = "entry.call",
                                           .message = "no answer in time"});
  }
  Reply reply = future.get();
  return {.status = reply.status,
          .body = std::move(reply.body),
          .retry_after_s = reply.retry_after_s};
}

HttpResponse EntryHost::HandleSubmit(const HttpRequest& request) {
  if (request.body.size() > kMaxSubmitBytes) {
    return FieldErrorResponse(
        "submit.parse", {{"", "the body has more than " +
                                  std::to_string(kMaxSubmitBytes) + " bytes"}});
  }
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(request.body);
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return FieldErrorResponse("submit.parse", {{"", e->message}});
  }
  std::vector<FieldError> errors;
  ObjectReader reader(std::get<Poco::JSON::Object::Ptr>(parsed), "", errors);
  JobSpec spec = ReadJobSpec(reader);
  reader.ReportUnknownKeys();
  const ConfigSnapshot config = config_.Get();
  if (config.inventory != nullptr) {
    const std::vector<FieldError> spec_errors =
        CheckJobSpec(spec, *config.inventory);
    errors.insert(errors.end(), spec_errors.begin(), spec_errors.end());
  } else {
    // Without a configuration, for instance while the log is unavailable, the
    // checks that need no inventory are still reported.
    const std::vector<FieldError> spec_errors = CheckJobFields(spec);
    errors.insert(errors.end(), spec_errors.begin(), spec_errors.end());
  }
  if (!errors.empty()) {
    return FieldErrorResponse("submit.check", errors);
  }
  const TraceContext trace = ParseTraceparent(
      request.traceparent, JobIdFor(spec.account, spec.request_id));
  return CallCore(
      [&](CallToken token, Time deadline) {
        return SubmitRequest{.token = token,
                             .spec = std::move(spec),
                             .trace = trace,
                             .deadline = deadline};
      },
      settings_.submit_timeout);
}

HttpResponse EntryHost::HandlePublishConfig(const HttpRequest& request) {
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(request.body);
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return FieldErrorResponse("config.parse", {{"", e->message}});
  }
  std::vector<FieldError> errors;
  ChangeConfigRequest change;
  ObjectReader reader(std::get<Poco::JSON::Object::Ptr>(parsed), "", errors);
  bool allow_unmet_guarantees = false;
  reader.Read("base_version", change.base, ObjectReader::Need::kRequired);
  reader.Read("author", change.author, ObjectReader::Need::kRequired);
  reader.Read("document", change.document, ObjectReader::Need::kRequired);
  reader.Read("allow_unmet_guarantees", allow_unmet_guarantees);
  reader.ReportUnknownKeys();
  if (errors.empty()) {
    const auto inventory = ParseInventory(change.document);
    if (const auto* inventory_errors =
            std::get_if<std::vector<FieldError>>(&inventory)) {
      errors = *inventory_errors;
    } else if (!allow_unmet_guarantees) {
      for (const std::string& unmet :
           CheckGuarantees(std::get<Inventory>(inventory))) {
        errors.push_back({"document.accounts", unmet});
      }
    }
  }
  if (!errors.empty()) {
    return FieldErrorResponse("config.check", errors);
  }
  return CallCore(
      [&](CallToken token, Time deadline) {
        change.token = token;
        change.deadline = deadline;
        return change;
      },
      settings_.submit_timeout);
}

HttpResponse EntryHost::HandleJob(const HttpRequest& request,
                                  const std::string& job_path) {
  const std::size_t slash = job_path.find('/');
  const std::string job = job_path.substr(0, slash);
  const std::string action =
      slash == std::string::npos ? "" : job_path.substr(slash + 1);
  const Duration wait = QueryDuration(request, "wait_ms", Duration{0});
  if (request.method == "GET" && action.empty()) {
    return CallCore(
        [&](CallToken t, Time d) {
          return WaitRequest{.token = t, .job = job, .deadline = d};
        },
        wait);
  }
  if (request.method == "POST" && action == "cancel") {
    const Duration timeout = std::max(wait, settings_.submit_timeout);
    return CallCore(
        [&](CallToken t, Time d) {
          return CancelRequest{.token = t, .job = job, .deadline = d};
        },
        timeout);
  }
  if (request.method == "GET" && (action == "explain" || action == "spans")) {
    const QueryKind kind =
        action == "explain" ? QueryKind::kExplain : QueryKind::kSpans;
    return CallCore(
        [&](CallToken t, Time d) {
          return QueryRequest{
              .token = t, .kind = kind, .subject = job, .deadline = d};
        },
        kQueryTimeout);
  }
  constexpr int kNotFound = 404;
  return ErrorResponse(kNotFound, {.code = ErrorCode::kNotFound,
                                   .step = "http.route",
                                   .message = "no such path: " + request.path});
}

HttpResponse EntryHost::HandleRequest(const HttpRequest& request) {
  const std::string& path = request.path;
  const std::string route = request.method + " " + path;
  const std::string jobs_prefix = "/v1/jobs/";
  constexpr int kUnavailable = 503;
  constexpr int kNotFound = 404;
  if (route == "POST /v1/jobs") {
    return HandleSubmit(request);
  }
  if (path.starts_with(jobs_prefix)) {
    return HandleJob(request, path.substr(jobs_prefix.size()));
  }
  if (route == "GET /v1/jobs") {
    const auto it = request.query.find("account");
    const std::string account = it == request.query.end() ? "" : it->second;
    return CallCore(
        [&](CallToken t, Time) {
          return ListRequest{.token = t, .account = account};
        },
        kQueryTimeout);
  }
  if (route == "POST /v1/config") {
    return HandlePublishConfig(request);
  }
  if (route == "GET /v1/config" || route == "GET /v1/config/history") {
    return CallCore(
        [&](CallToken t, Time) {
          return ShowConfigRequest{.token = t, .history = path != "/v1/config"};
        },
        kQueryTimeout);
  }
  if (route == "GET /v1/status") {
    return CallCore(
        [&](CallToken t, Time d) {
          return QueryRequest{.token = t,
                              .kind = QueryKind::kStatus,
                              .subject = {},
                              .deadline = d};
        },
        kQueryTimeout);
  }
  if (route == "GET /metrics") {
    return {.body = metrics_.Render(settings_.name),
            .content_type = "text/plain; version=0.0.4"};
  }
  if (route == "GET /healthz") {
    return {.body = R"({"alive":true})"};
  }
  if (route == "GET /readyz") {
    const bool ready = loop_.RunSync([this] { return core_->IsReady(Now()); });
    return {.status = ready ? 200 : kUnavailable,
            .body = ready ? R"({"ready":true})" : R"({"ready":false})"};
  }
  if (route == "GET /debug/state") {
    return {.body = loop_.RunSync([this] { return core_->DebugState(Now()); })};
  }
  return ErrorResponse(kNotFound, {.code = ErrorCode::kNotFound,
                                   .step = "http.route",
                                   .message = "no such path: " + path});
}

}  // namespace marjoramplank
