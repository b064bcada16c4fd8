#include "src/entry/spans.h"

namespace marjoramplank {

void StoreSpan(EntryState& s, Span span) {
  s.outputs.emplace_back(EmitSpan{.span = span});
  s.spans.push_back(std::move(span));
  if (s.spans.size() > s.options.max_spans) {
    s.spans.pop_front();
  }
}

void AddSpan(EntryState& s,
             const std::string& traceparent,
             const std::string& job,
             const std::string& name,
             const std::string& parent_hop,
             Time start,
             Time end,
             std::map<std::string, std::string> attributes) {
  const TraceContext context = ParseTraceparent(traceparent, job);
  attributes["job"] = job;
  StoreSpan(s, {.trace_id = context.trace_id,
                .span_id = SpanIdFor(context.trace_id, job + "/" + name),
                .parent_id =
                    parent_hop.empty()
                        ? context.parent_id
                        : SpanIdFor(context.trace_id, job + "/" + parent_hop),
                .name = name,
                .process = s.options.membership.self.name,
                .start_ms = start.count() + s.options.wall_offset_ms,
                .end_ms = end.count() + s.options.wall_offset_ms,
                .attributes = std::move(attributes)});
}

}  // namespace marjoramplank
