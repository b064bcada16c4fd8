// Answers of the platform that are not as described: they are reported as
// failures and never end the process.

#include <catch2/catch.hpp>

#include "platform/log_store_client.h"
#include "platform/task_endpoint_client.h"
#include "tests/support/scripted_server.h"

namespace marjoramplank::platform {
namespace {

HoldReply HoldAnsweredBy(const std::string& body) {
  ScriptedServer server({{.body = body}});
  TaskEndpointClient client(server.address());
  return client.Hold({.incarnation = {.id = "w", .started_at_unix_ms = 1}}, 5s);
}

TEST_CASE("malformed answers of a worker", "[platform]") {
  SECTION("rows with numbers out of range, texts and nested values") {
    const HoldReply reply = HoldAnsweredBy(
        R"({"clockMs":5,"running":[["0123456789abcdef.0.0.0",1e300,"",3],[],7],)"
        R"("ended":[[1e300,"0123456789abcdef.0.0.0",1,"done",""],)"
        R"([1,{},[],"done"],[2,"0123456789abcdef.0.0.1",1,"odd",""],)"
        R"([3,"0123456789abcdef.0.0.2",1,"done",""]]})");
    CHECK(reply.kind == HoldReply::Kind::kOk);
    CHECK(reply.ended.size() == 1);
    CHECK(reply.running.empty());
  }
  // Guards against an end that the log refuses for its size, and that is
  // therefore never known.
  SECTION("a checkpoint that does not fit into a record counts as none") {
    const std::string checkpoint(300'000, 'c');
    const HoldReply reply = HoldAnsweredBy(
        R"({"clockMs":5,"running":[["0123456789abcdef.0.0.0",1,")" +
        checkpoint +
        R"(",3]],"ended":[[1,"0123456789abcdef.0.0.1",1,"stopped",")" +
        checkpoint + R"("]]})");
    REQUIRE(reply.running.size() == 1);
    REQUIRE(reply.ended.size() == 1);
    CHECK(reply.running[0].checkpoint.empty());
    CHECK(reply.ended[0].checkpoint.empty());
    CHECK(reply.ended[0].outcome == TaskOutcome::kStopped);
  }
  SECTION("no JSON at all") {
    for (const char* body :
         {"", "{", "[]", "null", "\xff\xfe", "{\"a\":1e999}"}) {
      CHECK(HoldAnsweredBy(body).ended.empty());
    }
  }
}

TEST_CASE("malformed answers of the log service", "[platform]") {
  SECTION(
      "a value that is not base64 neither deletes its key nor hides others") {
    ScriptedServer server(
        {{.body = R"({"items":[{"key":"a","value":"*!*","offset":1},)"
                  R"({"key":"b","value":"eA==","offset":2}],"endOffset":3})"}});
    LogStoreClient client(server.address());
    const LatestResult result = client.ReadLatest({.topic = "keyed.x"}, 5s);
    REQUIRE(result.ok);
    REQUIRE(result.records.size() == 2);
    CHECK_FALSE(result.records[0].value.empty());
    CHECK(result.records[1].key == "b");
    CHECK(result.records[1].value == "x");
  }
  // Guards against an append that is repeated though its size is refused.
  SECTION("an append that is too large is refused, now and later") {
    const int status = GENERATE(400, 413);
    ScriptedServer server(
        {{.body = "{}", .status = std::to_string(status) + " Answer"}});
    LogStoreClient client(server.address());
    const AppendResult result = client.Append({.topic = "t"}, {"r"}, {}, 5s);
    CHECK(result.kind == AppendResult::Kind::kRefused);
    CHECK(result.is_too_large);
  }
  SECTION("a read that is cut off inside a record") {
    ScriptedServer server({{.body = std::string(16, '\0') + "\x7f\xff"}});
    LogStoreClient client(server.address());
    const ReadResult result = client.Read({.topic = "t"}, 0, 0ms, 5s);
    CHECK(result.records.empty());
  }
}

}  // namespace
}  // namespace marjoramplank::platform
