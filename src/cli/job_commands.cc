#include "src/cli/job_commands.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

#include "src/cli/output.h"

namespace marjoramplank {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// Maximum duration of one long poll.
constexpr Duration kLongPollDuration = 20s;

bool IsFinalState(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled" ||
         state == "not_run" || state == "may_have_run";
}

void PrintJob(const Object::Ptr& body) {
  std::cout << "job " << FieldText(body, "job") << " "
            << FieldText(body, "state");
  if (!FieldText(body, "reason").empty()) {
    std::cout << ": " << FieldText(body, "reason");
  }
  if (!FieldText(body, "step").empty()) {
    std::cout << " [step " << FieldText(body, "step") << ", peer "
              << FieldText(body, "peer") << "]";
  }
  std::cout << "\n";
  const Array::Ptr parts = body->getArray("parts");
  for (std::size_t i = 0; !parts.isNull() && i < parts->size(); ++i) {
    std::cout << "  task " << i << ": "
              << parts->getElement<std::string>(static_cast<unsigned>(i))
              << "\n";
  }
}

// Long-polls until the job ends or the timeout expires. Each poll may go to
// another entry, so the wait survives the failure of one.
int WaitForCompletion(const CliOptions& options, const std::string& job) {
  HttpClient client(options.entries);
  const auto deadline = std::chrono::steady_clock::now() + options.timeout;
  while (true) {
    const auto remaining = std::chrono::duration_cast<Duration>(
        deadline - std::chrono::steady_clock::now());
    const Duration poll_duration =
        std::clamp(remaining, Duration{0}, kLongPollDuration);
    const auto result = client.Call(
        "GET",
        "/v1/jobs/" + job + "?wait_ms=" + std::to_string(poll_duration.count()),
        "", poll_duration + 10s);
    const ClientReply* const reply = std::get_if<ClientReply>(&result);
    if (reply != nullptr && reply->status == 200) {
      const Object::Ptr body = ParseReply(*reply);
      const std::string state = FieldText(body, "state");
      if (IsFinalState(state)) {
        options.print_json ? void(std::cout << reply->body << "\n")
                           : PrintJob(body);
        return state == "done" ? kCliOk : kCliFailed;
      }
    } else if (reply != nullptr && reply->status == 404) {
      return ReportReply(options, *reply);
    }
    if (remaining <= Duration{0}) {
      std::cerr << "timed out: job " << job << " has not ended\n";
      return kCliOutcomeUnknown;
    }
    if (reply == nullptr || reply->status != 200) {
      constexpr std::chrono::milliseconds kRetryDelay{300};
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

}  // namespace

int SubmitCommand(const CliOptions& options, const std::string& file) {
  const std::optional<std::string> text = ReadInput(file);
  if (!text) {
    return kCliUsage;
  }
  const auto result =
      HttpClient(options.entries).Call("POST", "/v1/jobs", *text);
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const bool print_only_final_result =
      options.wait_for_completion && reply.status < 300;
  CliOptions report_options = options;
  report_options.print_json = options.print_json && !print_only_final_result;
  const int code = ReportReply(report_options, reply);
  if (code != kCliOk && code != kCliOutcomeUnknown) {
    return code;
  }
  const Object::Ptr body = ParseReply(reply);
  if (options.wait_for_completion) {
    return WaitForCompletion(options, FieldText(body, "job"));
  }
  if (!options.print_json) {
    PrintJob(body);
  }
  return code;
}

int WaitCommand(const CliOptions& options, const std::string& job) {
  return WaitForCompletion(options, job);
}

int CancelCommand(const CliOptions& options, const std::string& job) {
  const std::string path =
      "/v1/jobs/" + job + "/cancel?wait_ms=" +
      std::to_string(options.wait_for_completion ? options.timeout.count() : 0);
  const auto result =
      HttpClient(options.entries).Call("POST", path, "", options.timeout + 10s);
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  if (code == kCliOk && !options.print_json) {
    PrintJob(ParseReply(reply));
  }
  return code;
}

int JobsCommand(const CliOptions& options, const std::string& account) {
  const auto result =
      HttpClient(options.entries).Call("GET", "/v1/jobs?account=" + account);
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  const Array::Ptr jobs = ParseReply(reply)->getArray("jobs");
  for (std::size_t i = 0;
       !options.print_json && !jobs.isNull() && i < jobs->size(); ++i) {
    const Object::Ptr job = jobs->getObject(static_cast<unsigned>(i));
    std::cout << FieldText(job, "job") << "  " << std::left << std::setw(13)
              << FieldText(job, "state") << FieldText(job, "request_id")
              << "\n";
  }
  return code;
}

int ExplainCommand(const CliOptions& options, const std::string& job) {
  HttpClient client(options.entries);
  const auto job_result = client.Call("GET", "/v1/jobs/" + job);
  const auto result = client.Call("GET", "/v1/jobs/" + job + "/explain");
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  if (const ClientReply* job_reply = std::get_if<ClientReply>(&job_result);
      job_reply != nullptr && job_reply->status != 200) {
    return ReportReply(options, *job_reply);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  const Object::Ptr body = ParseReply(reply);
  if (code != kCliOk || options.print_json) {
    return code;
  }
  if (FieldText(body, "phase").empty()) {
    PrintJob(ParseReply(std::get<ClientReply>(job_result)));
  } else if (FieldText(body, "phase") == "waiting") {
    std::cout << "waiting: " << FieldText(body, "reason")
              << "\nwould let it run: " << FieldText(body, "remedy") << "\n";
  } else {
    std::cout << FieldText(body, "phase") << ", attempt "
              << FieldText(body, "attempt") << ", on "
              << FieldText(body, "workers") << "\n";
  }
  return code;
}

namespace {

struct TraceSpan {
  std::string id;
  std::string parent_id;
  std::string label;
  std::int64_t start_ms = 0;
};

void PrintSpanTree(const std::vector<TraceSpan>& trace,
                   const std::string& parent_id,
                   int depth,
                   std::int64_t origin_ms) {
  constexpr int kMaxDepth = 16;
  for (const TraceSpan& span : trace) {
    if (span.parent_id == parent_id && depth < kMaxDepth) {
      std::cout << std::right << std::setw(8) << span.start_ms - origin_ms
                << " ms  "
                << std::string(static_cast<std::size_t>(depth) * 2, ' ')
                << span.label << "\n";
      PrintSpanTree(trace, span.id, depth + 1, origin_ms);
    }
  }
}

}  // namespace

int TraceCommand(const CliOptions& options, const std::string& job) {
  const auto result =
      HttpClient(options.entries).Call("GET", "/v1/jobs/" + job + "/spans");
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  const Array::Ptr spans = ParseReply(reply)->getArray("spans");
  if (code != kCliOk || options.print_json || spans.isNull()) {
    return code;
  }
  std::map<std::string, TraceSpan> by_id;
  for (std::size_t i = 0; i < spans->size(); ++i) {
    const Object::Ptr span = ParseReply(
        {.body = spans->getElement<std::string>(static_cast<unsigned>(i))});
    const std::int64_t start_ms = span->optValue<std::int64_t>("start_ms", 0);
    const std::int64_t duration_ms =
        span->optValue<std::int64_t>("end_ms", 0) - start_ms;
    by_id[FieldText(span, "span_id")] = {
        .id = FieldText(span, "span_id"),
        .parent_id = FieldText(span, "parent_id"),
        .label = FieldText(span, "name") + "  " + std::to_string(duration_ms) +
                 " ms  (" + FieldText(span, "process") + ")",
        .start_ms = start_ms};
  }
  std::vector<TraceSpan> trace;
  for (auto& [id, span] : by_id) {
    span.parent_id = by_id.contains(span.parent_id) ? span.parent_id : "";
    trace.push_back(span);
  }
  std::sort(
      trace.begin(), trace.end(), [](const TraceSpan& a, const TraceSpan& b) {
        return std::tie(a.start_ms, a.label) < std::tie(b.start_ms, b.label);
      });
  if (trace.empty()) {
    std::cout << "no spans are retained for this job\n";
  } else {
    PrintSpanTree(trace, "", 0, trace.front().start_ms);
  }
  return code;
}

}  // namespace marjoramplank
