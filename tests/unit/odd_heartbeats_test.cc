// Heartbeats that another writer sent: they name no worker to use.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "platform/worker_api.h"

namespace marjoramplank::platform {
namespace {

constexpr int kBadRequest = 400;
constexpr int kOk = 200;

class EmptyStore final : public LogStore {
 public:
  AppendResult Append(const LogPartition&,
                      const std::vector<std::string>&,
                      const ProducerStamp&,
                      Duration) override {
    std::this_thread::sleep_for(5ms);
    return {.kind = AppendResult::Kind::kStored};
  }
  ReadResult Read(const LogPartition&,
                  std::int64_t offset,
                  Duration,
                  Duration) override {
    std::this_thread::sleep_for(5ms);
    return {.kind = ReadResult::Kind::kOk, .end_offset = offset};
  }
  LatestResult ReadLatest(const LogPartition&, Duration) override {
    return {.ok = true};
  }
};

class SilentEndpoint final : public TaskEndpoint {
 public:
  CommandReply Start(const StartCall&, Duration) override { return {}; }
  CommandReply Stop(const StopCall&, Duration) override { return {}; }
  HoldReply Hold(const HoldCall&, Duration) override { return {}; }
};

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Nested(int depth) {
  const auto n = static_cast<std::size_t>(depth);
  return std::string(n, '[') + std::string(n, ']');
}

// A heartbeat as workers send it, with one field replaced or, if `value` is
// empty, left out.
std::string Body(const std::string& field = "", const std::string& value = "") {
  std::map<std::string, std::string> fields = {
      {"service", R"("s")"},
      {"address", R"("10.128.0.9:8080")"},
      {"zone", R"("z")"},
      {"state", R"("ready")"},
      {"capacity", R"({"cpu":16000,"memMb":32768,"gpu":0})"},
      {"labels", R"(["a","r1-3"])"},
      {"clockMs", "482113"},
      {"born", "1796443163298"},
      {"sequence", "4"}};
  fields[field] = value;
  std::string out = "{";
  for (const auto& [name, text] : fields) {
    if (!text.empty()) {
      out += (out.size() > 1 ? "," : "") + Quoted(name) + ":" + text;
    }
  }
  return out + "}";
}

struct OddField {
  std::string name;
  std::vector<std::string> values;
};

std::vector<OddField> OddFields() {
  const std::string long_text = Quoted(std::string(300'000, 'x'));
  const std::vector<std::string> numbers = {"-1",
                                            "1e18",
                                            "1e300",
                                            "1e999",
                                            "9223372036854775807",
                                            "99999999999999999999",
                                            R"("5")",
                                            "true",
                                            "[]",
                                            "{}"};
  std::vector<OddField> out = {
      {"service", {"", "7", "[]", "{}", "null", R"("")", long_text}},
      {"zone", {"", "7", "[]", R"("")", long_text}},
      {"state", {"", "7", R"("gone")", R"("")"}},
      {"address",
       {"", "7", "[]", R"("")", R"("10.0.0.9")", R"(":8080")", R"("10.0.0.9:")",
        R"("10.0.0.9:0")", R"("10.0.0.9:65536")", R"("10.0.0.9:-1")",
        R"("10.0.0.9:http")", R"("10.0.0.9:8080x")",
        R"("10.0.0.9:99999999999999999999")", long_text}},
      {"labels", {"7", "{}", R"("a")", "[7]", "[[]]", "[" + long_text + "]"}},
      {"capacity",
       {"", "7", "[]", R"("8")", R"({"cpu":-1})", R"({"cpu":1e18})",
        R"({"cpu":"8"})", R"({"memMb":9223372036854775807})",
        R"({"gpu":99999999999999999999})", R"({"gpu":[]})"}},
      {"other", {Nested(200), Nested(100'000), "1e999"}}};
  for (const char* name : {"sequence", "born", "clockMs"}) {
    out.push_back({name, numbers});
  }
  out.push_back({"sequence", {""}});
  out.push_back({"remainingMs", {numbers.begin() + 1, numbers.end()}});
  return out;
}

// Guards against: an odd heartbeat is acknowledged and taken for the worker. A
// number that is too large then hides the later heartbeats, and a text that is
// too long makes a record that the log never takes.
TEST_CASE("an odd heartbeat names no worker", "[platform][odd]") {
  AgentNode node(
      {.name = "a", .records = {.topic = "t"}, .snapshots = {.topic = "k"}},
      [] { return std::make_unique<EmptyStore>(); },
      [] { return std::make_unique<SilentEndpoint>(); });
  const auto status_of = [&](const std::string& id, const std::string& body) {
    return HandleWorkerRequest(node, {.method = "POST",
                                      .path = "/v1/Instances.Heartbeat/" + id,
                                      .body = body})
        .status;
  };
  CHECK(status_of("i-1", Body()) == kOk);
  CHECK(status_of("i-1", Body("born")) == kOk);
  CHECK(status_of("i-1", Body("labels")) == kOk);
  CHECK(status_of("i-1", Body("state", R"("draining")")) == kOk);
  CHECK(status_of("i-1", Body("remainingMs", "-1")) == kOk);  // Overdue.
  CHECK(status_of("i-1", Body("other", "[1e18,{}]")) == kOk);

  for (const auto& [name, values] : OddFields()) {
    for (const std::string& value : values) {
      INFO(name << ": " << value.substr(0, 40));
      CHECK(status_of("i-1", Body(name, value)) == kBadRequest);
    }
  }
  for (const char* body : {"", "{", "[]", "7", "null", "\xff\xfe", "{\"a\":"}) {
    CHECK(status_of("i-1", body) == kBadRequest);
  }
  CHECK(status_of("", Body()) == kBadRequest);
  CHECK(status_of(std::string(10'000, 'i'), Body()) == kBadRequest);
  CHECK(status_of("\xff\xfe", "{") == kBadRequest);
  CHECK(status_of("i-1", Body("sequence", "5")) == kOk);
}

}  // namespace
}  // namespace marjoramplank::platform
