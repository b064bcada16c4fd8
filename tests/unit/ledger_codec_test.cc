#include "src/jobs/ledger_codec.h"

#include <catch2/catch.hpp>

namespace marjoramplank {
namespace {

TEST_CASE("a step's limit of stops is kept by the log", "[ledger_codec]") {
  using Limit = std::optional<std::int32_t>;
  const Limit limit = GENERATE(Limit(), Limit(0), Limit(2));
  const JobSubmitted submitted{
      .request = {.id = "j",
                  .steps = {{.long_running = true, .max_unavailable = limit}}}};
  CHECK((DecodeRecord(EncodeRecord(submitted)) == LedgerRecord(submitted)));
}

}  // namespace
}  // namespace marjoramplank
