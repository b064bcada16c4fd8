#pragma once

#include <compare>
#include <string>
#include <utility>
#include <variant>

namespace marjoramplank {

// Category of an error. Determines the exit code and the HTTP status that the
// caller gets.
enum class ErrorCode {
  // The request is malformed or violates a rule. Retrying it unchanged fails
  // again.
  kInvalidArgument,
  // No such job, worker or data centre.
  kNotFound,
  // A concurrent or earlier record takes precedence: a reused request id, or a
  // configuration change that lost a race.
  kConflict,
  // A limit is reached. Nothing ran; retry after the given delay.
  kResourceExhausted,
  // A peer cannot be reached, or is shutting down.
  kUnavailable,
  // No reply in time. The operation may still have taken effect.
  kDeadlineExceeded,
  // The state of the peer does not allow the operation, for example because the
  // grant is unknown or has expired.
  kFailedPrecondition,
  // A bug in this program.
  kInternal,
};

// Returns the lower-case name used in JSON and logs, for example
// "invalid_argument".
const char* ToString(ErrorCode code);

// An error with the operation and the peer that it came from. Not modified once
// created.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;     // Operation that failed, for example "log.append".
  std::string peer;     // Remote side of the operation. Empty: this process.
  std::string message;  // One human-readable sentence.

  friend bool operator==(const Error&, const Error&) = default;
};

// Returns "step (peer): message [code]".
std::string ToString(const Error& error);

// Result of an operation that can fail.
template <typename T>
using Result = std::variant<T, Error>;

// Value of a Result without a payload.
struct Ok {
  friend bool operator==(Ok, Ok) = default;
};

// Returns true if the result holds a value.
template <typename T>
bool IsOk(const Result<T>& r) {
  return std::holds_alternative<T>(r);
}

// Combines lambdas into one visitor for std::visit.
template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace marjoramplank
