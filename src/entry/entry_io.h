#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "marjoramplank/inventory.h"
#include "src/log/records.h"
#include "src/observability/span.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// Inputs and outputs of the entry's state machine (entry_core.h).

// Identifies an open call of a client within this process.
using CallToken = std::uint64_t;

// ---- Inputs from callers and operators. Each gets exactly one Reply, at its
// deadline at the latest.

struct SubmitRequest {
  CallToken token = 0;
  JobSpec spec;  // Already validated against the published configuration.
  TraceContext trace;
  Time deadline{0};
};
// Waits for a job to end. Gets the job's current state at the deadline.
struct WaitRequest {
  CallToken token = 0;
  std::string job;
  Time deadline{0};
};
struct CancelRequest {
  CallToken token = 0;
  std::string job;
  Time deadline{0};
};
struct ListRequest {
  CallToken token = 0;
  std::string account;
};
// Replaces the operators' document. Already validated.
struct ChangeConfigRequest {
  CallToken token = 0;
  Offset base = kNoOffset;  // Version from which the document was made.
  std::string author;
  std::string document;
  Time deadline{0};
};
struct ShowConfigRequest {
  CallToken token = 0;
  bool history = false;  // False: the current version and its document.
};
// A query that all entries answer, each for what it plans.
struct QueryRequest {
  CallToken token = 0;
  QueryKind kind = QueryKind::kStatus;
  std::string subject;
  Time deadline{0};
};

// ---- Inputs from the log

struct LogLine {
  Offset offset = 0;
  std::string text;
};
// Result of a read of the log's tail.
struct LogRead {
  bool ok = false;
  // When the read was requested. It contains all records stored before that.
  Time requested_at{0};
  Offset first = 0;  // First offset that is retained.
  Offset end = 0;    // Offset of the next record to be appended.
  std::vector<LogLine> lines;
};
// kUnknown: the answer was lost; the append may still take effect.
enum class AppendOutcome { kStored, kRefused, kUnknown };
struct AppendDone {
  std::uint64_t batch = 0;
  AppendOutcome outcome = AppendOutcome::kStored;
  Duration duration{0};
};
// Result of FetchRecord.
struct RecordFetched {
  std::uint64_t id = 0;
  bool ok = false;
  std::string text;
};

// ---- Inputs from other processes

struct PeerMessage {
  std::string peer;  // Instance name.
  Message message;
};
struct PeerConnected {
  ProcessId peer;
  bool is_entry = false;
};
struct PeerDisconnected {
  std::string peer;
};
struct BeginShutdown {};
struct EntryTick {};

using EntryInput = std::variant<SubmitRequest,
                                WaitRequest,
                                CancelRequest,
                                ListRequest,
                                ChangeConfigRequest,
                                ShowConfigRequest,
                                QueryRequest,
                                LogRead,
                                AppendDone,
                                RecordFetched,
                                PeerMessage,
                                PeerConnected,
                                PeerDisconnected,
                                BeginShutdown,
                                EntryTick>;

// ---- Outputs

struct Reply {
  CallToken token = 0;
  int status = 200;       // HTTP status.
  std::string body;       // JSON text.
  int retry_after_s = 0;  // Retry-After header, when above 0.
};
struct AppendBatch {
  std::uint64_t batch = 0;
  std::vector<std::string> lines;
};
struct FetchRecord {
  std::uint64_t id = 0;
  Offset offset = 0;
};
struct SendToPeer {
  std::string peer;
  Message message;
};
// The configuration against which requests are validated.
struct ConfigSnapshot {
  Offset version = kNoOffset;
  std::shared_ptr<const Inventory> inventory;
};
struct PublishConfig {
  ConfigSnapshot snapshot;
};
struct EmitSpan {
  Span span;
};
// Connects to an entry whose address was read from the log.
struct DialEntry {
  std::string name;
  std::string address;
};

using EntryOutput = std::variant<Reply,
                                 AppendBatch,
                                 FetchRecord,
                                 SendToPeer,
                                 PublishConfig,
                                 EmitSpan,
                                 DialEntry>;

}  // namespace marjoramplank
