#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

#include "marjoramplank/inventory.h"
#include "src/codec/object_reader.h"
#include "src/daemon/http_server.h"
#include "src/jobs/job_request.h"
#include "src/jobs/ledger.h"
#include "src/jobs/ledger_codec.h"
#include "src/jobs/ledger_snapshot.h"
#include "src/node/node_settings.h"

namespace marjoramplank {
namespace {

TEST_CASE("bad input", "[input]") {
  SECTION("a duplicate key is named in the error") {
    const auto parsed = ParseObject(R"({"tasks":1,"x":{"tasks":2},"tasks":3})");
    REQUIRE_FALSE(IsOk(parsed));
    CHECK(std::get<Error>(parsed).message.find("tasks") != std::string::npos);
  }
  SECTION("the same key in two objects is valid") {
    CHECK(IsOk(ParseObject(R"({"a":{"k":1},"b":{"k":2}})")));
  }
  SECTION("a request is validated without an inventory") {
    const std::vector<FieldError> faults = CheckJobFields(
        {.request_id = std::string("a\0b", 3), .account = "x", .tasks = -5});
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].path == "request_id");
    CHECK(faults[1].path == "tasks");
  }
  SECTION("a body is refused unread if its declared length is too large") {
    HttpServer server({.address = "127.0.0.1:0", .max_body_bytes = 1000},
                      [](const HttpRequest&) { return HttpResponse{}; });
    Poco::Net::HTTPClientSession session(
        Poco::Net::SocketAddress(server.address()));
    Poco::Net::HTTPRequest request("POST", "/", "HTTP/1.1");
    request.setContentLength(50'000'000);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    CHECK(response.getStatus() == 413);
  }
  SECTION("every error of a job request is reported") {
    JobRequest job{.id = "",
                   .payload = std::string(5000, 'x'),
                   .steps = {{.tasks = 0, .after = {0}}}};
    CHECK(CheckJobRequest(job).size() == 4);
    job = {.id = "j", .steps = {{.tasks = 30'000}}};
    CHECK(CheckJobRequest(job).size() == 1);
  }
  SECTION("malformed task references are rejected") {
    TaskRef task;
    CHECK(ParseTaskRef("ab.0.1.17", task));
    CHECK(task == TaskRef{.job = "ab", .step = 1, .index = 17});
    for (const char* malformed :
         {"", "ab", "ab.0.1", "ab.0.1.x", "ab.0.1.-2", ".0.1.2", "ab.0.1.2.3",
          "ab.99999999999.0.0"}) {
      CHECK_FALSE(ParseTaskRef(malformed, task));
    }
  }
  SECTION("malformed record bytes are rejected") {
    CHECK_FALSE(DecodeRecord("").has_value());
    CHECK_FALSE(DecodeRecord(std::string(40, '\xff')).has_value());
  }
  SECTION("cancellations of unknown jobs are kept up to a limit") {
    Ledger ledger;
    for (std::size_t n = 0; n < 2 * kMaxEarlyCancels; ++n) {
      ledger.Apply(1s, JobCancelled{.job = std::to_string(10'000'000 + n)});
    }
    const std::size_t bytes = LedgerSnapshot::Save(ledger, 0).size();
    constexpr std::size_t kMaxBytesPerId = 32;
    CHECK(bytes < kMaxEarlyCancels * kMaxBytesPerId);
    const std::string last =
        std::to_string(10'000'000 + 2 * kMaxEarlyCancels - 1);
    ledger.Apply(1s, JobSubmitted{.request = {.id = last, .steps = {{}}}});
    CHECK(ledger.FindJob(last)->phase == JobPhase::kCancelled);
  }
  SECTION("settings: missing and unknown keys are listed") {
    std::vector<FieldError> errors;
    ParseNodeSettings(R"({"name":"n","colour":1})", errors);
    CHECK(errors.size() == 3);
  }
}

}  // namespace
}  // namespace marjoramplank
