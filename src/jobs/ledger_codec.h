#pragma once

#include <optional>
#include <string>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Bytes of a record on the log: a packed Cap'n Proto message.
std::string EncodeRecord(const LedgerRecord& record);

// Empty for bytes that are no record of a kind known here; the reader logs
// and passes over them.
std::optional<LedgerRecord> DecodeRecord(const std::string& bytes);

}  // namespace marjoramplank
