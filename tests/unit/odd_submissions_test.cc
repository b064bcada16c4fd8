// Submissions with fields that are odd: each is rejected, and none is accepted
// as another job.

#include <catch2/catch.hpp>
#include <string>

#include "platform/client_api.h"
#include "src/jobs/ledger_codec.h"

namespace marjoramplank::platform {
namespace {

bool IsAccepted(const std::string& body, const std::string& id = "j") {
  JobRequest job{.id = id, .terms = {.queue = "q", .service = "s"}};
  return DecodeJob(body, job).empty() && CheckJobRequest(job).empty();
}

std::string Job(const std::string& step_field, const std::string& value) {
  return R"({"taskSpec":"x","steps":[{"count":1},{"count":2,)"
         R"("dependsOn":[0],")" +
         step_field + "\":" + value + "}]}";
}

std::string WithField(const std::string& field, const std::string& value) {
  return "{\"" + field + "\":" + value + R"(,"steps":[{"count":1}]})";
}

std::string Repeated(const std::string& text, int times) {
  std::string out;
  for (int i = 0; i < times; ++i) {
    out += text;
  }
  return out;
}

// Guards against: a job is accepted with other numbers than it was submitted
// with, because a number wraps or one of another type reads as 0.
TEST_CASE("odd submissions are rejected", "[platform][input][odd]") {
  const std::string long_text = "\"" + std::string(2'000, 'x') + "\"";
  CHECK(IsAccepted(Job("cpu", "500")));
  CHECK(IsAccepted(Job("gpu", "0")));
  CHECK(IsAccepted(Job("antiAffinity", "2")));
  CHECK(IsAccepted(Job("gang", "true")));
  CHECK(IsAccepted(Job("estimatedMs", "0")));
  // An estimate is a hint.
  CHECK(IsAccepted(Job("estimatedMs", "1e18")));
  CHECK(IsAccepted(Job("targetMs", "1e18")));
  CHECK(IsAccepted(WithField("taskSpec", R"("x")")));
  CHECK(IsAccepted(WithField("repeatCount", "3")));

  SECTION("numbers of a step") {
    for (const char* name : {"count", "cpu", "memMb", "gpu", "antiAffinity",
                             "maxUnavailable", "estimatedMs", "targetMs"}) {
      for (const char* value :
           {"1e300", "9223372036854775808", "99999999999999999999", "1e999",
            R"("5")", "true", "[]", "{}"}) {
        INFO(name << ": " << value);
        CHECK_FALSE(IsAccepted(Job(name, value)));
      }
    }
    for (const char* name :
         {"count", "cpu", "memMb", "gpu", "antiAffinity", "maxUnavailable"}) {
      INFO(name);
      CHECK_FALSE(IsAccepted(Job(name, "9223372036854775807")));
    }
    for (const char* name : {"count", "antiAffinity", "maxUnavailable"}) {
      INFO(name);
      CHECK_FALSE(IsAccepted(Job(name, "4294967297")));
    }
    for (const char* name : {"count", "cpu", "memMb", "gpu"}) {
      INFO(name);
      CHECK_FALSE(IsAccepted(Job(name, "-4294967295")));
    }
  }
  SECTION("other fields of a step") {
    for (const char* value : {"[4294967296]", "[-4294967296]", "[1]", "[-1]",
                              R"(["0"])", "[[]]", "0", "{}", "[1e300]"}) {
      INFO(value);
      CHECK_FALSE(IsAccepted(Job("dependsOn", value)));
    }
    CHECK_FALSE(
        IsAccepted(Job("dependsOn", "[0" + Repeated(",0", 1'000) + "]")));
    for (const char* name : {"gang", "sameRack", "checkpointing", "speculative",
                             "longRunning", "fills"}) {
      INFO(name);
      CHECK_FALSE(IsAccepted(Job(name, "1")));
      CHECK_FALSE(IsAccepted(Job(name, R"("true")")));
    }
    for (const char* name : {"requirements", "dataLocality", "image"}) {
      INFO(name);
      CHECK_FALSE(IsAccepted(Job(name, "7")));
      CHECK_FALSE(IsAccepted(Job(name, long_text)));
    }
  }
  SECTION("fields of a job") {
    for (const char* name : {"repeatCount", "firstRunMs", "intervalMs"}) {
      for (const char* value :
           {"9223372036854775807", "1e18", "1e300", "99999999999999999999",
            "-9223372036854775807", R"("5")", "[]"}) {
        INFO(name << ": " << value);
        CHECK_FALSE(IsAccepted(WithField(name, value)));
      }
    }
    CHECK_FALSE(IsAccepted(WithField("repeatCount", "4294967297")));
    CHECK_FALSE(IsAccepted(WithField("taskSpec", "7")));
    CHECK_FALSE(IsAccepted(R"({"steps":[7,{"count":1}]})"));
    CHECK_FALSE(IsAccepted(R"({"steps":[null,{"count":1}]})"));
    CHECK_FALSE(IsAccepted(R"({"steps":{"count":1}})"));
    CHECK_FALSE(
        IsAccepted(WithField("taskSpec", R"("x")"), std::string(10'000, 'j')));
    for (const std::string body : {"", "{", "[]", "7", "null", "\xff"}) {
      CHECK_FALSE(IsAccepted(body));
    }
  }
  SECTION("deep nesting") {
    for (const int depth : {200, 100'000}) {
      CHECK_FALSE(IsAccepted(
          WithField("other", Repeated("[", depth) + Repeated("]", depth))));
    }
  }
}

}  // namespace
}  // namespace marjoramplank::platform
