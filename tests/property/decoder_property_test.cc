#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "src/codec/inventory_codec.h"
#include "src/codec/job_codec.h"
#include "src/daemon/settings.h"
#include "src/log/log_state.h"
#include "src/wire/codec.h"

namespace marjoramplank {
namespace {

const char* const kAttemptRecord =
    R"({"kind":"attempt","job":"j","attempt":1,"entry":"e#1","members":[{"worker":"w","incarnation":"7","tasks":[{"task":0,"mask":3}]}]})";

// Overwrites some bytes of a text and may truncate it.
std::string Corrupt(std::string text) {
  const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
  const auto changes =
      *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
          rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(),
                        rc::gen::arbitrary<char>()));
  for (const auto& [at, c] : changes) {
    text[at % text.size()] = c;
  }
  return *rc::gen::arbitrary<bool>() ? text.substr(0, cut) : text;
}

TEST_CASE("No input crashes a decoder", "[property][decoder]") {
  rc::prop("log records", [] {
    (void)DecodeLogRecord(Corrupt(kAttemptRecord));
    LogState state;
    (void)state.Restore(
        {{.id = "s",
          .as_of = 1,
          .body = Corrupt(
              R"({"config":{"version":1,"change_id":"c"},"jobs":[{"job":"j","digest":"d"}]})")}});
  });
  rc::prop("operators' documents and settings", [] {
    (void)ParseInventory(Corrupt(
        R"({"data_centres":[{"name":"d","region":"r"}],"workers":[{"name":"w","rack":"k","data_centre":"d","cores":1,"memory_mb":1}],"accounts":[]})"));
    (void)ParseEntrySettings(Corrupt(
        R"({"name":"e","platform_log":"127.0.0.1:1","http_threads":8})"));
    (void)ParseAgentSettings(Corrupt(
        R"({"worker":"w","data_centre":"d","endpoint":"127.0.0.1:1","entries":["127.0.0.1:2"],"cores":1,"memory_mb":1})"));
  });
  rc::prop("messages between processes", [] {
    const Message message =
        AgentReport{.agent = {.name = "w", .incarnation = 7},
                    .data_centre = "d",
                    .tasks = {{.job = "j", .state = TaskState::kRunning}}};
    std::vector<std::byte> bytes = ToBytes(message);
    RC_ASSERT(std::get<Message>(FromBytes(bytes)) == message);
    const auto changes = *rc::gen::container<
        std::vector<std::pair<std::uint16_t, std::uint8_t>>>(
        rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(),
                      rc::gen::arbitrary<std::uint8_t>()));
    for (const auto& [at, c] : changes) {
      bytes[at % bytes.size()] = std::byte{c};
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    (void)FromBytes(bytes);
  });
  rc::prop("an accepted record round-trips through the log codec", [] {
    JobSpec spec{.request_id = *rc::gen::string<std::string>(),
                 .account = "a",
                 .tasks = *rc::gen::inRange(1, 64)};
    // The API rejects request ids that are not valid JSON text, so the test
    // uses ASCII only.
    for (char& c : spec.request_id) {
      c = static_cast<char>(c & 0x7F);
    }
    const AcceptedRecord record{.job = "j", .spec = spec, .region = "r"};
    const Result<LogRecord> decoded = DecodeLogRecord(Encode(record));
    RC_ASSERT(IsOk(decoded));
    RC_ASSERT(std::get<AcceptedRecord>(std::get<LogRecord>(decoded)) == record);
  });
}

}  // namespace
}  // namespace marjoramplank
