#pragma once

#include <string>

#include "src/codec/object_reader.h"
#include "src/entry/entry_state.h"

namespace marjoramplank {

// HTTP status codes and Retry-After delays, in seconds.
inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kUnavailable = 503;
inline constexpr int kRetrySoonS = 1;
inline constexpr int kRetryLaterS = 5;

// Returns an empty object that keeps the order of its keys.
Poco::JSON::Object::Ptr NewObject();

// Replies to a call.
void SendReply(EntryState& s,
               CallToken token,
               int status,
               const Poco::JSON::Object::Ptr& body,
               int retry_after_s = 0);

// Replies with an error: its code, step, peer and message.
void SendErrorReply(EntryState& s,
                    CallToken token,
                    int status,
                    const Error& error,
                    const std::string& state = "",
                    int retry_after_s = 0);

// Rejects a submission of which nothing was recorded or run.
void RejectSubmission(EntryState& s,
                      CallToken token,
                      int status,
                      ErrorCode code,
                      const std::string& message,
                      int retry_after_s);

// Returns the state of a job according to the log and the gangs.
Poco::JSON::Object::Ptr DescribeJob(const EntryState& s,
                                    const std::string& id,
                                    const LoggedJob& job);

// Returns the complete answer of an ended job as JSON text.
std::string OutcomeBody(const EntryState& s,
                        const std::string& id,
                        const LoggedJob& job,
                        const JobOutcome& outcome);

// Caches the answer of an ended job and evicts the oldest ones over the limit.
void CacheAnswer(EntryState& s, const std::string& id, std::string body);

// Replies with the outcome of an ended job, from the cache or from the log.
void ReplyWithOutcome(EntryState& s,
                      CallToken token,
                      const std::string& id,
                      const LoggedJob& job);

// Replies with the current state of a job that is on the log.
void ReplyWithState(EntryState& s,
                    CallToken token,
                    int status,
                    const std::string& id);

}  // namespace marjoramplank
