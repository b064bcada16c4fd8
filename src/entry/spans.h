#pragma once

#include "src/entry/entry_state.h"

namespace marjoramplank {

// Adds a completed span of a job's trace.
void AddSpan(EntryState& s,
             const std::string& traceparent,
             const std::string& job,
             const std::string& name,
             const std::string& parent_hop,
             Time start,
             Time end,
             std::map<std::string, std::string> attributes);

// Stores a span, which may come from another process, and emits it.
void StoreSpan(EntryState& s, Span span);

}  // namespace marjoramplank
