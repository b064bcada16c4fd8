#include "src/cli/explain_command.h"

#include <iomanip>
#include <iostream>
#include <sstream>

#include "src/cli/output.h"

namespace marjoramplank {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::vector<Object::Ptr> Objects(const Object::Ptr& in, const char* key) {
  std::vector<Object::Ptr> out;
  const Array::Ptr array = in->getArray(key);
  for (unsigned i = 0; !array.isNull() && i < array->size(); ++i) {
    if (array->isObject(i)) {
      out.push_back(array->getObject(i));
    }
  }
  return out;
}

// Empty if there is none.
Object::Ptr SubObject(const Object::Ptr& in, const char* key) {
  const Object::Ptr out = in->getObject(key);
  return out.isNull() ? Object::Ptr(new Object) : out;
}

std::string Seconds(const Object::Ptr& in, const char* key) {
  constexpr double kMsPerSecond = 1000;
  std::ostringstream out;
  out << std::fixed << std::setprecision(1)
      << static_cast<double>(in->optValue<std::int64_t>(key, 0)) / kMsPerSecond
      << " s";
  return out.str();
}

void PrintAdmission(const Object::Ptr& body) {
  const Object::Ptr admission = SubObject(body, "admission");
  std::cout << "admission: " << FieldText(admission, "verdict");
  if (!FieldText(admission, "reason").empty()) {
    std::cout << ": " << FieldText(admission, "reason") << "; retry after "
              << Seconds(admission, "retry_after_ms");
  }
  std::cout << "\nexpected wait of its priority: "
            << Seconds(body, "expected_wait_ms") << " (ledger "
            << FieldText(body, "ledger_age_ms") << " ms old)\n";
}

void PrintStepTimes(const Object::Ptr& body) {
  std::size_t n = 0;
  for (const Object::Ptr& time : Objects(body, "step_times")) {
    std::cout << "step " << n++ << ": expected run time "
              << Seconds(time, "expected_ms") << ", 90% within "
              << Seconds(time, "p90_ms") << " (" << FieldText(time, "source")
              << ")\n";
  }
}

void PrintPosition(const Object::Ptr& step) {
  const Object::Ptr p = SubObject(step, "position");
  std::cout << "step " << FieldText(step, "step") << ": "
            << FieldText(p, "units_ahead") << " units ahead, priority "
            << FieldText(p, "priority")
            << (p->optValue("guaranteed", false) ? ", guaranteed" : "") << ", "
            << FieldText(p, "outlook") << ", deadline in "
            << Seconds(p, "time_to_deadline_ms") << ", "
            << FieldText(p, "units_beyond_fair_share") << " of "
            << FieldText(p, "waiting_units")
            << " units beyond the account's fair share\n";
}

void PrintWorkers(const Object::Ptr& step) {
  const Object::Ptr w = SubObject(step, "workers");
  std::cout << "  workers: " << FieldText(w, "known") << " known, "
            << FieldText(w, "with_room") << " with room for "
            << FieldText(w, "free_tasks") << " tasks";
  for (const char* key : {"busy", "without_label", "too_small", "closed",
                          "unavailable", "quarantined"}) {
    if (w->optValue<std::int64_t>(key, 0) > 0) {
      std::cout << ", " << FieldText(w, key) << " " << key;
    }
  }
  std::cout << "\n";
}

void PrintPlace(const Object::Ptr& place) {
  const Object::Ptr free = SubObject(place, "free");
  const Object::Ptr capacity = SubObject(place, "capacity");
  std::cout << "    " << FieldText(place, "worker") << " (rack "
            << FieldText(place, "rack") << ", data centre "
            << FieldText(place, "data_centre")
            << "): " << FieldText(place, "tasks") << " tasks, speed class "
            << FieldText(place, "speed_class") << ", "
            << FieldText(place, "slowness_percent") << "% run time from "
            << FieldText(place, "samples") << " samples";
  if (place->optValue<std::int64_t>("samples", 0) > 0) {
    std::cout << ", " << Seconds(place, "sample_age_ms") << " old";
  }
  std::cout << "; free " << FieldText(free, "cpu_milli") << " of "
            << FieldText(capacity, "cpu_milli") << " millicores, "
            << FieldText(free, "memory_mb") << " of "
            << FieldText(capacity, "memory_mb") << " MiB, "
            << FieldText(free, "accelerators") << " of "
            << FieldText(capacity, "accelerators") << " accelerators\n";
}

void PrintUnit(const Object::Ptr& unit) {
  std::cout << "  " << FieldText(unit, "unit") << " "
            << FieldText(unit, "outcome");
  if (!FieldText(unit, "reason").empty()) {
    std::cout << ": " << FieldText(unit, "reason");
  }
  if (unit->has("expected_wait_ms")) {
    std::cout << ", in " << Seconds(unit, "expected_wait_ms");
  }
  if (unit->has("reserved_workers")) {
    std::cout << " on " << FieldText(unit, "reserved_workers") << " workers";
  }
  if (unit->has("expected_run_time_ms")) {
    std::cout << ", runs " << Seconds(unit, "expected_run_time_ms");
  }
  if (unit->has("slow_run_time_ms")) {
    std::cout << " instead of " << Seconds(unit, "slow_run_time_ms");
  }
  if (unit->has("lost_core_seconds")) {
    std::cout << ", stops " << Objects(unit, "victims").size()
              << " units at a loss of " << FieldText(unit, "lost_core_seconds")
              << " core-seconds";
  }
  std::cout << "\n";
  for (const Object::Ptr& place : Objects(unit, "places")) {
    PrintPlace(place);
  }
  for (const Object::Ptr& victim : Objects(unit, "victims")) {
    std::cout << "    stops " << FieldText(victim, "unit") << " (queue "
              << FieldText(victim, "queue") << ", account "
              << FieldText(victim, "account") << ")\n";
  }
}

void PrintReport(const Object::Ptr& body) {
  std::cout << "job " << FieldText(body, "id") << " in queue "
            << FieldText(body, "queue") << " of account "
            << FieldText(body, "account") << "; nothing was submitted\n";
  PrintAdmission(body);
  PrintStepTimes(body);
  for (const Object::Ptr& step : Objects(body, "ready_steps")) {
    PrintPosition(step);
    PrintWorkers(step);
    const std::vector<Object::Ptr> units = Objects(step, "units");
    for (const Object::Ptr& unit : units) {
      PrintUnit(unit);
    }
    const auto waiting =
        SubObject(step, "position")->optValue<std::size_t>("waiting_units", 0);
    if (waiting > units.size()) {
      std::cout << "  " << waiting - units.size() << " more units; "
                << FieldText(step, "starting_units") << " start in all\n";
    }
  }
}

}  // namespace

int ExplainFileCommand(const CliOptions& options, const std::string& file) {
  const std::optional<std::string> text = ReadInput(file);
  if (!text) {
    return kCliUsage;
  }
  const auto result =
      HttpClient({options.metrics_entry}).Call("POST", "/explain", *text);
  if (const Error* error = std::get_if<Error>(&result)) {
    return ReportCallError(*error);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  if (code == kCliOk && !options.print_json) {
    PrintReport(ParseReply(reply));
  }
  return code;
}

}  // namespace marjoramplank
