// Replies of a worker with fields that are odd: a reply that cannot be read
// says nothing about the worker's tasks, and an odd row hides no other.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "platform/task_endpoint_client.h"
#include "src/supervisor/supervisor.h"
#include "tests/support/scripted_server.h"

namespace marjoramplank::platform {
namespace {

const WorkerIncarnation kIncarnation{.id = "w", .started_at_unix_ms = 1000};
const TaskRef kTask{.job = "0123456789abcdef"};

HoldReply AnswerHold(const std::string& body,
                     const HoldCall& call = {.incarnation = kIncarnation}) {
  ScriptedServer server({{.body = body}});
  TaskEndpointClient client(server.address());
  return client.Hold(call, 5s);
}

CommandReply AnswerStart(const std::string& status, const std::string& body) {
  ScriptedServer server({{.body = body, .status = status}});
  TaskEndpointClient client(server.address());
  return client.Start({.incarnation = kIncarnation, .task = kTask}, 5s);
}

// A ledger that has the task on the worker, started by an earlier process of
// the agent.
Ledger LedgerWithRun(Time now) {
  Ledger ledger;
  ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "old"});
  ledger.Apply(
      now, WorkerReported{
               .agent = "agent", .incarnation = kIncarnation, .service = "s"});
  ledger.Apply(now, PlannerElected{.entry = "e", .epoch = 1});
  ledger.Apply(now, JobSubmitted{.request = {.id = kTask.job, .steps = {{}}}});
  ledger.Apply(now, RunStarted{.epoch = 1,
                               .first = kTask,
                               .members = {{.incarnation = kIncarnation}}});
  ledger.Apply(now, AgentHeartbeat{.agent = "agent", .process = "new"});
  return ledger;
}

std::vector<LedgerRecord> RecordsAfterListing(const std::string& body) {
  const Time now = 100s;
  Supervisor supervisor({.agent = "agent", .process = "new"});
  supervisor.OnHeartbeat(now, {.incarnation = kIncarnation, .clock_ms = 500});
  supervisor.OnAgentHeartbeatStored(now);
  supervisor.OnLedger(now, LedgerWithRun(now - 20s), /*current=*/true);
  const std::optional<HoldCall> call = supervisor.NextHold(now);
  REQUIRE(call.has_value());
  supervisor.OnHoldReply(now + 10s, *call, AnswerHold(body, *call));
  return supervisor.TakeRecords(now + 10s);
}

bool HasRefusal(const std::vector<LedgerRecord>& records) {
  return std::any_of(records.begin(), records.end(), [](const auto& r) {
    return std::holds_alternative<StartRefused>(r);
  });
}

// Guards against: a task runs twice, because a listing that could not be read
// is taken for one that does not have the task.
TEST_CASE("a listing that cannot be read", "[platform][odd]") {
  SECTION("is no answer") {
    for (const char* body :
         {"", "{", "[]", "null", "7", "\xff\xfe",
          R"({"running":{},"ended":[]})", R"({"running":[],"ended":7})",
          R"({"running":[],"ended":[],"other":99999999999999999999})",
          R"({"running":[],"ended":[],"other":1e999})",
          R"({"running":[],"ended":[],"born":1e18})",
          R"({"running":[],"ended":[],"born":"1000"})"}) {
      INFO(body);
      CHECK(AnswerHold(body).kind == HoldReply::Kind::kNoAnswer);
      CHECK_FALSE(HasRefusal(RecordsAfterListing(body)));
    }
  }
  SECTION("a row that cannot be read may be the task") {
    CHECK_FALSE(HasRefusal(RecordsAfterListing(
        R"({"running":[["0123456789abcdef.0.0.0",1e18,"",3]],"ended":[]})")));
    CHECK_FALSE(HasRefusal(RecordsAfterListing(
        R"({"running":[],"ended":[[4,"0123456789abcdef.0.0.0",1e18,"done"]]})")));
    CHECK_FALSE(HasRefusal(RecordsAfterListing(
        R"({"running":[],"ended":[[4,"0123456789abcdef.0.0.0",1,"odd",""]]})")));
  }
  // Guards against a worker that gets no task any more, as one row of another
  // writer stays in its lists.
  SECTION("a row that names no task does not keep the others in doubt") {
    CHECK(HasRefusal(
        RecordsAfterListing(R"({"running":[[[],1,"",3]],"ended":[]})")));
    CHECK(HasRefusal(
        RecordsAfterListing(R"({"running":["x",null],"ended":[{},[]]})")));
  }
  SECTION("a complete listing without the task shows that it does not run") {
    CHECK(HasRefusal(RecordsAfterListing(R"({"running":[],"ended":[]})")));
  }
}

// Guards against: the ends after one with a number that is too large are never
// recorded, so that their jobs do not complete.
TEST_CASE("rows with numbers out of range", "[platform][odd]") {
  SECTION("ends") {
    const HoldReply reply = AnswerHold(
        R"({"running":[],"ended":[)"
        R"([1000000000000000000,"0123456789abcdef.0.0.0",1,"done",""],)"
        R"([9007199254740993,"0123456789abcdef.0.0.0",1,"done",""],)"
        R"([-4,"0123456789abcdef.0.0.0",1,"done",""],)"
        R"([3,"0123456789abcdef.0.0.0",4294967297,"done",""],)"
        R"([4,"0123456789abcdef.0.0.7",1,"done",""]]})");
    CHECK(reply.kind == HoldReply::Kind::kOk);
    REQUIRE(reply.ended.size() == 1);
    CHECK(reply.ended[0].end_number == 4);
  }
  SECTION("running tasks") {
    const HoldReply reply =
        AnswerHold(R"({"running":[["0123456789abcdef.0.0.0",4294967297,"",3],)"
                   R"(["0123456789abcdef.0.0.1",-1,"",3],)"
                   R"(["0123456789abcdef.0.0.2",1,"",4294967299],)"
                   R"(["0123456789abcdef.0.0.3",1,"",3]],"ended":[]})");
    REQUIRE(reply.running.size() == 2);
    CHECK(reply.running[0].percent == 100);
    CHECK(reply.running[1].percent == 3);
  }
  SECTION("a checkpoint that no record can hold is none") {
    const std::string checkpoint(300'000, 'x');
    const HoldReply reply =
        AnswerHold(R"({"running":[["0123456789abcdef.0.0.3",1,")" + checkpoint +
                   R"(",3]],"ended":[[4,"0123456789abcdef.0.0.7",1,"done",")" +
                   checkpoint + R"("]]})");
    REQUIRE(reply.running.size() == 1);
    CHECK(reply.running[0].checkpoint.empty());
    REQUIRE(reply.ended.size() == 1);
    CHECK(reply.ended[0].checkpoint.empty());
  }
  SECTION("the worker's clock") {
    for (const char* clock :
         {"9223372036854775807", "1e18", "-1", R"("5")", "[]"}) {
      INFO(clock);
      const std::string body =
          R"({"running":[],"ended":[],"clockMs":)" + std::string(clock) + "}";
      CHECK_FALSE(AnswerHold(body).clock_ms.has_value());
      CHECK_FALSE(AnswerStart("200 OK", body).clock_ms.has_value());
    }
  }
}

// Guards against: a start that was carried out is recorded as refused.
TEST_CASE("a rejection that cannot be read leaves the start in doubt",
          "[platform][odd]") {
  CHECK(AnswerStart("409 Conflict", R"({"reason":"room"})").kind ==
        CommandReply::Kind::kRefused);
  CHECK(AnswerStart("409 Conflict", R"({"reason":"old"})").kind ==
        CommandReply::Kind::kAlreadyRan);
  for (const char* body :
       {"", "{", "[]", R"({"reason":7})", R"({"reason":"old","x":1e999})"}) {
    INFO(body);
    CHECK(AnswerStart("409 Conflict", body).kind ==
          CommandReply::Kind::kNoAnswer);
  }
  const CommandReply reply = AnswerStart(
      "409 Conflict", R"({"reason":")" + std::string(300'000, 'x') + R"("})");
  CHECK(reply.reason.size() < 1'000);
}

}  // namespace
}  // namespace marjoramplank::platform
