#include "src/node/explain_service.h"

#include <optional>
#include <utility>

#include "src/explain/explain_json.h"
#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

using Kind = ExplainReply::Kind;

// `message` needs no escapes.
ExplainReply Refuse(Kind kind, const std::string& message) {
  return {.kind = kind,
          .body = R"({"error":{"message":")" + message + R"("}})"};
}

ExplainReply RefuseFields(const std::vector<FieldError>& errors) {
  return {.kind = Kind::kBadRequest, .body = RenderFieldErrors(errors)};
}

}  // namespace

bool ExplainService::TryBegin(Time now) {
  const std::lock_guard lock(mutex_);
  if (is_open_ ||
      (has_begun_ && now - last_begun_at_ < options_.min_interval)) {
    return false;
  }
  is_open_ = true;
  has_begun_ = true;
  last_begun_at_ = now;
  return true;
}

void ExplainService::End() {
  const std::lock_guard lock(mutex_);
  is_open_ = false;
}

ExplainReply ExplainService::Handle(const std::string& body) {
  if (!TryBegin(BootClockNow())) {
    return Refuse(Kind::kBusy,
                  "another explanation is being made, or was made less than "
                  "200 ms ago");
  }
  // Also if it throws, for example without memory for the copy.
  struct Guard {
    ExplainService& service;
    ~Guard() { service.End(); }
  } const guard{*this};
  return ExplainBody(body);
}

ExplainReply ExplainService::ExplainBody(const std::string& body) {
  const Time started_at = BootClockNow();
  const auto rules = rules_.view();
  if (!rules->loaded) {
    return Refuse(Kind::kUnavailable, "no configuration has been read yet");
  }
  std::vector<FieldError> errors;
  JobRequest request = ParseExplainedJob(body, rules->rules, errors);
  if (!errors.empty()) {
    return RefuseFields(errors);
  }
  AdmissionDecision admission = job_service_.PreviewAdmission(request, *rules);
  bool is_known = false;
  std::size_t units = 0;
  LedgerView view;
  // Only the copy is made under the lock.
  std::optional<Ledger> copy = ledger_.Read(
      [&](const Ledger& ledger, const LedgerView& v) -> std::optional<Ledger> {
        view = v;
        is_known = ledger.FindJob(request.id) != nullptr;
        units = ledger.OpenUnitCount();
        if (is_known || units > options_.max_units) {
          return std::nullopt;
        }
        return ledger.CopyForPlanning();
      });
  const Time now = BootClockNow();
  if (is_known) {
    return RefuseFields({{"id", "the ledger has a job of this id"}});
  }
  if (!copy) {
    return Refuse(Kind::kTooLarge,
                  "the open jobs hold " + std::to_string(units) +
                      " states of tasks; explanations are made up to " +
                      std::to_string(options_.max_units));
  }
  if (!view.loaded || !view.was_read_to_end ||
      now - view.as_of > options_.max_ledger_age) {
    return Refuse(Kind::kUnavailable,
                  "the ledger of this entry is not current");
  }
  const Explanation explanation =
      Explain(options_.dispatch, {.now = now,
                                  .unix_ms = SteadyUnixMs(),
                                  .ledger_age = now - view.as_of,
                                  .ledger = std::move(*copy),
                                  .rules = *rules,
                                  .request = request,
                                  .admission = std::move(admission)});
  LogEvent("explain")
      .With("queue", request.terms.queue)
      .With("units", units)
      .With("ledger_age_ms", explanation.ledger_age.count())
      .With("copied_ms", (now - started_at).count())
      .With("took_ms", (BootClockNow() - started_at).count());
  return {.body = RenderExplanation(request, explanation)};
}

}  // namespace marjoramplank
