#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Requests of callers and operators. Each gets exactly one reply, at its
// deadline at the latest.
void OnSubmit(EntryState& s, Time now, const SubmitRequest& r);
void OnWait(EntryState& s, Time now, const WaitRequest& r);
void OnCancel(EntryState& s, Time now, const CancelRequest& r);
void OnList(EntryState& s, const ListRequest& r);
void OnChangeConfig(EntryState& s, Time now, const ChangeConfigRequest& r);
void OnShowConfig(EntryState& s, const ShowConfigRequest& r);
void OnQueryRequest(EntryState& s, Time now, const QueryRequest& r);
void OnQuery(EntryState& s, Time now, const Query& q);
void OnQueryReply(EntryState& s, const QueryReply& r);
void OnRecordFetched(EntryState& s, const RecordFetched& r);

// Replies to the callers of a submission whose record was read from the log.
void SettleSubmission(EntryState& s, Time now, const std::string& job);

// Replies to the callers that wait for the outcome of a job.
void ReplyToWaits(EntryState& s,
                  const std::string& job,
                  const JobOutcome& outcome);

// Replies to the author of a configuration change that was read from the log.
void SettleConfigChange(EntryState& s,
                        const ConfigRecord& record,
                        Verdict verdict);

// Replies to submissions that are past their deadline. One whose record was
// not sent yet is withdrawn and rejected; for the others the result is unknown.
void ExpireSubmissions(EntryState& s, Time now);

// Replies to all requests that are past their deadline.
void ExpireRequests(EntryState& s, Time now);

// Makes all open waits expire, so that their callers retry at another entry.
void ExpireAllWaits(EntryState& s);

bool HasOpenRequests(const EntryState& s);

}  // namespace marjoramplank
