// `marjoramplank explain FILE --entry HOST:PORT` against a server in the
// process.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "src/cli/commands.h"
#include "src/daemon/http_server.h"

namespace marjoramplank {
namespace {

// Takes what is written to a stream.
class Capture {
 public:
  explicit Capture(std::ostream& stream)
      : stream_(stream), before_(stream.rdbuf(text_.rdbuf())) {}
  ~Capture() { stream_.rdbuf(before_); }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;
  std::string text() const { return text_.str(); }

 private:
  std::ostringstream text_;
  std::ostream& stream_;
  std::streambuf* before_;
};

constexpr char kReport[] =
    R"({"id":"explained","queue":"urgent","account":"owner","ledger_age_ms":12,
"admission":{"verdict":"accept"},"expected_wait_ms":1500,
"step_times":[{"expected_ms":2000,"p90_ms":2600,"source":"learned"}],
"ready_steps":[{"step":0,"starting_units":1,
"position":{"units_ahead":3,"waiting_units":2,"guaranteed":true,"priority":0,
"outlook":"on_time","units_beyond_fair_share":0,"time_to_deadline_ms":3300},
"workers":{"known":4,"with_room":1,"free_tasks":1,"busy":3},
"units":[{"unit":"explained.0.0.0","outcome":"starts",
"expected_run_time_ms":2100,"places":[{"worker":"w1","rack":"r1",
"data_centre":"d1","tasks":1,"speed_class":0,"slowness_percent":104,
"samples":8,"sample_age_ms":700}]},
{"unit":"explained.0.0.1","outcome":"preempts","lost_core_seconds":12,
"victims":[{"unit":"j.0.0.4","queue":"batch","account":"other"}]}]}]})";

// Guards against: a report that hides what would be stopped, or an error that
// ends with exit code 0.
TEST_CASE("the explain command", "[explain]") {
  HttpRequest seen;
  HttpResponse response{.body = kReport};
  HttpServer server({.address = "127.0.0.1:0"}, [&](const HttpRequest& r) {
    seen = r;
    return response;
  });
  const std::string file =
      (std::filesystem::temp_directory_path() / "marjoramplank_explain_test")
          .string();
  std::ofstream(file) << R"({"queue":"urgent"})";
  CliOptions options{.metrics_entry = server.address()};
  const Capture out(std::cout);
  const Capture err(std::cerr);

  SECTION("sends the file and prints a report") {
    CHECK(RunCommand(options, {"explain", file}) == kCliOk);
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/explain");
    CHECK(seen.body == R"({"queue":"urgent"})");
    for (const char* text :
         {"expected run time 2.0 s, 90% within 2.6 s (learned)",
          "3 units ahead, priority 0, guaranteed, on_time",
          "4 known, 1 with room for 1 tasks, 3 busy",
          "w1 (rack r1, data centre d1): 1 tasks, speed class 0",
          "104% run time from 8 samples, 0.7 s old",
          "stops 1 units at a loss of 12 core-seconds",
          "stops j.0.0.4 (queue batch, account other)"}) {
      CAPTURE(text);
      CHECK(out.text().find(text) != std::string::npos);
    }
  }

  SECTION("prints the JSON unchanged") {
    options.print_json = true;
    CHECK(RunCommand(options, {"explain", file}) == kCliOk);
    CHECK(out.text() == std::string(kReport) + "\n");
  }

  SECTION("faults of the body, other refusals") {
    response = {.status = 400, .body = R"({"error":{"message":"queue: no"}})"};
    CHECK(RunCommand(options, {"explain", file}) == kCliUsage);
    CHECK(err.text().find("queue: no") != std::string::npos);
    response.status = 429;
    CHECK(RunCommand(options, {"explain", file}) == kCliFailed);
    response.status = 503;
    CHECK(RunCommand(options, {"explain", file}) == kCliUnavailable);
  }
  std::filesystem::remove(file);
}

// Guards against: an unreachable entry or a missing file that counts as an
// answer.
TEST_CASE("the explain command without a file or an entry", "[explain]") {
  const std::string file =
      (std::filesystem::temp_directory_path() / "marjoramplank_explain_none")
          .string();
  const CliOptions options{.metrics_entry = "127.0.0.1:1"};
  const Capture err(std::cerr);
  CHECK(RunCommand(options, {"explain", file}) == kCliUsage);
  std::ofstream(file) << "{}";
  CHECK(RunCommand(options, {"explain", file}) == kCliUnavailable);
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace marjoramplank
