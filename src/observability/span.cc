#include "src/observability/span.h"

#include <Poco/JSON/Object.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace marjoramplank {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// "00-" + 32 digits + "-" + 16 digits + "-01".
constexpr std::size_t kTraceparentBytes = 55;

// Returns true for lower-case hexadecimal digits that are not all zero: W3C
// Trace Context defines an all-zero id as invalid.
bool IsNonZeroHex(const std::string& s) {
  const bool all_hex = std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  return all_hex && s.find_first_not_of('0') != std::string::npos;
}

}  // namespace

std::string ToJsonLine(const Span& span) {
  Poco::JSON::Object out(Poco::JSON_PRESERVE_KEY_ORDER);
  out.set("trace_id", span.trace_id);
  out.set("span_id", span.span_id);
  out.set("parent_id", span.parent_id);
  out.set("name", span.name);
  out.set("process", span.process);
  out.set("start_ms", span.start_ms);
  out.set("end_ms", span.end_ms);
  Poco::JSON::Object::Ptr attributes = new Poco::JSON::Object;
  for (const auto& [key, value] : span.attributes) {
    attributes->set(key, value);
  }
  out.set("attributes", attributes);
  std::ostringstream text;
  out.stringify(text);
  return text.str();
}

TraceContext ParseTraceparent(const std::string& header,
                              const std::string& fallback) {
  constexpr std::size_t kTraceIdOffset = 3;
  constexpr std::size_t kParentIdOffset = kTraceIdOffset + kTraceIdDigits + 1;
  if (header.size() == kTraceparentBytes && header[2] == '-' &&
      header[kParentIdOffset - 1] == '-') {
    TraceContext out{
        .trace_id = header.substr(kTraceIdOffset, kTraceIdDigits),
        .parent_id = header.substr(kParentIdOffset, kSpanIdDigits)};
    if (IsNonZeroHex(out.trace_id) && IsNonZeroHex(out.parent_id)) {
      return out;
    }
  }
  return {.trace_id = fallback, .parent_id = {}};
}

std::string ToTraceparent(const TraceContext& context) {
  const std::string parent = context.parent_id.empty()
                                 ? SpanIdFor(context.trace_id, "root")
                                 : context.parent_id;
  return "00-" + context.trace_id + "-" + parent + "-01";
}

std::string SpanIdFor(const std::string& trace_id,
                      const std::string& operation) {
  const std::string key = trace_id + "/" + operation;
  char out[kSpanIdDigits + 1];
  std::snprintf(
      out, sizeof out, "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(key.data(), key.size()) | 1));
  return out;
}

}  // namespace marjoramplank
