#pragma once

#include <optional>
#include <string>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// Encodes a record for the log as a packed Cap'n Proto message.
std::string EncodeRecord(const LedgerRecord& record);

// Empty if the bytes are malformed, a record of an unknown type, or one with a
// number out of range; readers log such records and skip them.
std::optional<LedgerRecord> DecodeRecord(const std::string& bytes);

}  // namespace marjoramplank
