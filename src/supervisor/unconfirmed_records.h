#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <vector>

#include "src/jobs/ledger.h"

namespace marjoramplank {

// The records of an agent that are not seen in the ledger yet. Stored is not
// seen: the ledger ignores a record that does not fit its state, such as a
// statement from before the agent's heartbeat, and the log may lose one. Such a
// record is stated again until the ledger shows what it says, or something
// newer about the same run or worker.
class UnconfirmedRecords {
 public:
  // Between two statements of a record that the ledger does not show.
  static constexpr Duration kRetryInterval{1000};

  void Add(LedgerRecord record) {
    entries_.push_back({.record = std::move(record)});
  }
  // Drops the statement that the incarnation has ended: it lives.
  void DropEndOf(const WorkerIncarnation& incarnation);

  // The record was stored by then, or the log has refused it.
  void OnStored(const LedgerRecord& record, Time stored_by);
  // The ledger has all records that were stored before `as_of`.
  void OnLedger(Time now, const Ledger& ledger, Time as_of);
  // Records to append now, in their order; each statement about the worker gets
  // a new number.
  std::vector<LedgerRecord> TakeDue(
      const std::function<AgentStatement()>& next_statement);
  // Records that were stated again.
  std::int64_t repeated_count() const { return repeated_count_; }

 private:
  struct Entry {
    LedgerRecord record;
    bool is_due = true;    // It has to be appended.
    bool was_due = false;  // It has been before.
    Time stored_by{0};     // 0: not known to be stored.
  };

  std::list<Entry> entries_;
  std::int64_t repeated_count_ = 0;
};

// True if the ledger shows what the record states of a worker and its runs, or
// something newer. Records about anything else count as shown.
bool IsShownBy(const Ledger& ledger, const LedgerRecord& record);

}  // namespace marjoramplank
