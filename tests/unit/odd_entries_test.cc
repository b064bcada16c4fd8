// Entries of a keyed topic that another writer left: the others hold.

#include <catch2/catch.hpp>
#include <string>

#include "platform/log_store_client.h"
#include "platform/rules_decoder.h"
#include "tests/support/scripted_server.h"

namespace marjoramplank::platform {
namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

LatestResult ReadPages(const std::vector<std::string>& pages) {
  std::vector<ScriptedServer::Answer> answers;
  answers.reserve(pages.size());
  for (const std::string& page : pages) {
    answers.push_back({.body = page});
  }
  ScriptedServer server(answers);
  LogStoreClient client(server.address());
  return client.ReadLatest({.topic = "keyed.x"}, 2s);
}

std::vector<std::string> KeysOf(const LatestResult& result) {
  std::vector<std::string> out;
  for (const KeyedRecord& r : result.records) {
    out.push_back(r.key);
  }
  return out;
}

const std::string kGoodA = R"({"key":"a","value":"eA==","offset":1})";
const std::string kGoodB = R"({"key":"b","value":"eA==","offset":2})";

std::string Page(const std::vector<std::string>& items, bool has_more) {
  std::string out = R"({"items":[)";
  for (const std::string& item : items) {
    out += (&item == &items.front() ? "" : ",") + item;
  }
  return out + R"(],"endOffset":4,"hasMore":)" +
         (has_more ? "true}" : "false}");
}

std::vector<std::string> OddItems() {
  return {"7",
          "null",
          "[]",
          "{}",
          "1e999",
          R"({"key":7,"value":"eA==","offset":3})",
          R"({"key":"","value":"eA==","offset":3})",
          R"({"key":"odd","value":"eA==","offset":99999999999999999999})",
          R"({"key":"odd","value":"eA==","offset":1e18})",
          R"({"key":"odd","value":"eA==","offset":-1})",
          R"({"key":"odd","value":7,"offset":3})",
          R"({"key":"odd","value":[],"offset":3})",
          "{\"key\":\"\xff\xc3\",\"value\":\"eA==\",\"offset\":-1}",
          R"({"key":"odd","value":)" + Nested(200) + "}",
          R"({"key":"odd","value":)" + Nested(100'000) + "}"};
}

// Guards against: a follower that takes an unreadable page for an empty list,
// or that reads no page again because of one odd entry.
TEST_CASE("odd entries of a keyed topic", "[platform][odd]") {
  SECTION("hide no others of their page") {
    for (const std::string& odd : OddItems()) {
      INFO(odd.substr(0, 80));
      const LatestResult result =
          ReadPages({Page({kGoodA, odd, kGoodB}, false)});
      CHECK(result.ok);
      CHECK(result.end_offset == 4);
      CHECK(KeysOf(result) == std::vector<std::string>{"a", "b"});
    }
  }
  SECTION("the next page is read after one whose last entry is odd") {
    for (const std::string& odd : OddItems()) {
      INFO(odd.substr(0, 80));
      const LatestResult result =
          ReadPages({Page({kGoodA, odd}, true), Page({kGoodB}, false)});
      CHECK(result.ok);
      CHECK(KeysOf(result) == std::vector<std::string>{"a", "b"});
    }
  }
  SECTION("a page that cannot be read is a failure, not an empty list") {
    for (const std::string body :
         {"", "{", "[]", "null", R"({"items":[],"hasMore":false})",
          R"({"items":{},"endOffset":4})", R"({"items":[],"endOffset":"4"})",
          R"({"items":[],"endOffset":-1})", R"({"items":[],"endOffset":1e18})",
          R"({"items":[],"endOffset":4,"hasMore":7})",
          R"({"items":[],"endOffset":4,"hasMore":true})"}) {
      INFO(body);
      CHECK_FALSE(ReadPages({body}).ok);
    }
  }
  SECTION("pages without an end are a failure") {
    const std::string page = Page({kGoodA}, true);
    CHECK_FALSE(ReadPages({page, page, page}).ok);
  }
}

TEST_CASE("a read whose offsets are odd fails", "[platform][odd]") {
  SECTION("the end") {
    ScriptedServer server({{.body = std::string(16, '\xff')}});
    LogStoreClient client(server.address());
    CHECK(client.Read({.topic = "t"}, 0, 0ms, 2s).kind ==
          ReadResult::Kind::kFailed);
  }
  SECTION("the first retained offset") {
    for (const char* body : {"", "{}", R"({"firstOffset":1e18})"}) {
      ScriptedServer server(
          {ScriptedServer::Answer{.body = body, .status = "410 Gone"}});
      LogStoreClient client(server.address());
      CHECK(client.Read({.topic = "t"}, 0, 0ms, 2s).kind ==
            ReadResult::Kind::kFailed);
    }
  }
}

std::optional<Rules> DecodeConfig(const std::string& text) {
  const std::optional<RuleChange> change =
      DecodeRuleChange({.key = "config", .value = text, .offset = 1});
  return change ? std::optional(std::get<Rules>(*change)) : std::nullopt;
}

std::string Config(const std::string& routes, const std::string& tenants) {
  return R"({"version":3,"routes":[)" + routes + R"(],"tenants":[)" + tenants +
         R"(],"services":[{"name":"s"}]})";
}

std::string Route(const std::string& name, const std::string& more = "") {
  return R"({"name":")" + name + R"(","host":")" + name +
         R"(","pathPrefix":"/","service":"s")" + more + "}";
}

std::string Tenant(const std::string& name, const std::string& more = "") {
  return R"({"name":")" + name + R"(","apiKeys":["k-)" + name + R"("])" + more +
         "}";
}

// Guards against: one odd route or client account makes a process drop the
// whole configuration, or a number that wraps takes effect.
TEST_CASE("odd parts of a configuration", "[platform][odd]") {
  SECTION("an odd route hides no others") {
    std::vector<std::string> odd = {"7", "[]", "null", R"({"name":"odd"})"};
    for (const char* more :
         {R"(,"priority":4294967296)", R"(,"priority":"0")",
          R"(,"priority":1e999)", R"(,"maxAttempts":4294967297)",
          R"(,"maxAttempts":-1)", R"(,"targetLatencyMs":1e18)",
          R"(,"targetLatencyMs":-5)", R"(,"stretch":1e300)", R"(,"stretch":-1)",
          R"(,"stretch":"2")", R"(,"anonymous":1)",
          R"(,"priority":99999999999999999999)"}) {
      odd.push_back(Route("odd", more));
    }
    odd.push_back(Route("odd", R"(,"host":)" + Nested(200)));
    odd.push_back(Route("odd", R"(,"host":)" + Nested(100'000)));
    for (const std::string& route : odd) {
      INFO(route.substr(0, 120));
      const std::optional<Rules> rules = DecodeConfig(
          Config(Route("q1") + "," + route + "," + Route("q2"), Tenant("a")));
      REQUIRE(rules.has_value());
      CHECK(rules->queues.size() == 2);
      CHECK(rules->FindQueue("q1", "/x") != nullptr);
      CHECK(rules->FindQueue("q2", "/x") != nullptr);
      CHECK(rules->FindAccountByKey("k-a") != nullptr);
    }
  }
  SECTION("an odd client account hides no others") {
    std::vector<std::string> odd = {"7", "[]", R"({"apiKeys":["k"]})"};
    for (const char* more :
         {R"(,"guaranteed":{"gpu":-1})", R"(,"guaranteed":{"gpu":1e18})",
          R"(,"guaranteed":{"gpu":"4"})", R"(,"guaranteed":7)",
          R"(,"guaranteed":{"gpu":99999999999999999999})"}) {
      odd.push_back(Tenant("odd", more));
    }
    for (const std::string& tenant : odd) {
      INFO(tenant);
      const std::optional<Rules> rules = DecodeConfig(
          Config(Route("q1"), Tenant("a") + "," + tenant + "," + Tenant("b")));
      REQUIRE(rules.has_value());
      CHECK(rules->accounts.size() == 2);
      CHECK(rules->FindAccountByKey("k-b") != nullptr);
    }
  }
  SECTION("a version out of range is no configuration") {
    for (const char* version : {"0", "-1", "1e18", "9223372036854775807",
                                "99999999999999999999", R"("3")", "[]"}) {
      INFO(version);
      CHECK_FALSE(DecodeConfig(R"({"version":)" + std::string(version) + "}"));
    }
  }
  SECTION("a limit out of range is not applied") {
    for (const char* limit : {"-1", "0", "1e18", R"("9")", "1e999"}) {
      INFO(limit);
      const std::optional<Rules> rules =
          DecodeConfig(R"({"version":3,"limits":{"maxBodyBytes":)" +
                       std::string(limit) + "}}");
      REQUIRE(rules.has_value());
      CHECK(rules->max_body_bytes == Rules().max_body_bytes);
    }
  }
  SECTION("a closed data centre with an odd value is closed") {
    for (const std::string value : {"x", "{", "\xff", "1e999"}) {
      const std::optional<RuleChange> change =
          DecodeRuleChange({.key = "evacuate/z", .value = value});
      REQUIRE(change.has_value());
      CHECK(std::get<DataCentreChange>(*change).closed);
    }
  }
}

}  // namespace
}  // namespace marjoramplank::platform
