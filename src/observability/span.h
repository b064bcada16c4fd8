#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace marjoramplank {

// One span of a distributed trace: an operation that a process performed for a
// request. Times are in wall-clock milliseconds, for display only.
struct Span {
  std::string trace_id;   // 32 hexadecimal digits.
  std::string span_id;    // 16 hexadecimal digits.
  std::string parent_id;  // Empty: root span, the caller sent no context.
  std::string name;       // For example "gang.prepare".
  std::string process;    // Process that performed it.
  std::int64_t start_ms = 0;
  std::int64_t end_ms = 0;
  std::map<std::string, std::string> attributes;

  friend bool operator==(const Span&, const Span&) = default;
};

// Returns the span as a JSON object on one line.
std::string ToJsonLine(const Span& span);

// The W3C trace context of a request: "00-<trace id>-<parent span id>-<flags>".
struct TraceContext {
  std::string trace_id;
  std::string parent_id;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

// Parses a traceparent header. If it is missing or malformed, the trace id is
// `fallback` and the parent id is empty.
TraceContext ParseTraceparent(const std::string& header,
                              const std::string& fallback);

// Formats a traceparent header. Without a parent id, the id of the trace's root
// span takes its place, since the header must have one.
std::string ToTraceparent(const TraceContext& context);

// Derives a span id: the same trace and operation always give the same 16
// hexadecimal digits.
std::string SpanIdFor(const std::string& trace_id,
                      const std::string& operation);

}  // namespace marjoramplank
