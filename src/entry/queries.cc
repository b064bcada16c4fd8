#include "src/entry/queries.h"

#include <algorithm>
#include <utility>

#include "src/codec/inventory_codec.h"
#include "src/codec/job_codec.h"
#include "src/entry/gangs.h"

namespace marjoramplank {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr ReportToJson(const PlannerReport& report,
                         const std::string& region,
                         const std::string& owner) {
  Object::Ptr out = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  out->set("region", region);
  out->set("planned_by", owner);
  out->set("queued", report.queued_jobs);
  out->set("running", report.running_jobs);
  Array::Ptr data_centres = new Array;
  for (const DataCentreReport& dc : report.data_centres) {
    Object::Ptr o = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    o->set("name", dc.name);
    o->set("out_of_service", dc.out_of_service);
    o->set("workers", dc.workers);
    o->set("workers_up", dc.workers_up);
    o->set("quarantined", dc.quarantined_workers);
    o->set("accelerators", dc.accelerators);
    o->set("used", dc.used);
    o->set("fragmentation", dc.fragmentation);
    data_centres->add(o);
  }
  out->set("data_centres", data_centres);
  Array::Ptr accounts = new Array;
  for (const AccountReport& a : report.accounts) {
    Object::Ptr o = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    o->set("account", a.account);
    o->set("guaranteed", a.guaranteed);
    o->set("reserved", a.reserved);
    o->set("used_guaranteed", a.used_guaranteed);
    o->set("used_shared", a.used_shared);
    o->set("used_borrowed", a.used_borrowed);
    o->set("queued", a.queued_jobs);
    o->set("running", a.running_jobs);
    accounts->add(o);
  }
  out->set("accounts", accounts);
  Array::Ptr unmet = new Array;
  for (const std::string& text : report.unmet_guarantees) {
    unmet->add(text);
  }
  out->set("unmet_guarantees", unmet);
  return out;
}

Object::Ptr StatusToJson(EntryState& s, Time now) {
  Object::Ptr out = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  Object::Ptr self = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  self->set("name", s.options.membership.self.name);
  self->set("log_visible", IsLogReadable(s, now));
  self->set("fresh", HasFreshConfig(s, now));
  self->set("config_version", s.config.version);
  self->set("log_position", s.log.position());
  self->set("leaving", s.is_leaving);
  Array::Ptr behind = new Array;
  std::size_t agents = 0;
  for (const auto& [worker, agent] : s.agents) {
    if (now - agent.last_report_at > s.options.agent_timeout) {
      continue;
    }
    ++agents;
    if (agent.report.config_version < s.config.version) {
      behind->add(worker);
    }
  }
  self->set("agents", agents);
  self->set("agents_behind", behind);
  Array::Ptr entries = new Array;
  entries->add(self);
  out->set("entries", entries);
  Array::Ptr regions = new Array;
  for (const auto& [name, region] : s.regions) {
    if (region.planner != nullptr) {
      regions->add(ReportToJson(region.planner->Report(), name,
                                s.options.membership.self.name));
    }
  }
  out->set("regions", regions);
  return out;
}

Object::Ptr ExplanationToJson(EntryState& s, Time now, const std::string& job) {
  Object::Ptr out = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  const LoggedJob* const logged = s.log.FindJob(job);
  Planner* const planner =
      logged == nullptr ? nullptr : FindPlanner(s, logged->region);
  if (planner == nullptr || !logged->IsLive()) {
    return out;
  }
  out->set("job", job);
  out->set("planned_by", s.options.membership.self.name);
  if (const auto it = s.gangs.find(job); it != s.gangs.end()) {
    out->set("phase", std::string(ToString(it->second.phase)));
    out->set("attempt", it->second.attempt);
    Array::Ptr members = new Array;
    for (const auto& [worker, member] : it->second.members) {
      members->add(worker);
    }
    out->set("workers", members);
  } else {
    const WaitReason reason = planner->Explain(now, job);
    out->set("phase", std::string("waiting"));
    out->set("reason",
             reason.summary.empty()
                 ? std::string("the planner is taking the region over")
                 : reason.summary);
    out->set("remedy", reason.remedy);
  }
  return out;
}

Object::Ptr SpansToJson(const EntryState& s, const std::string& job) {
  const LoggedJob* const logged = s.log.FindJob(job);
  const std::string trace =
      ParseTraceparent(logged == nullptr ? "" : logged->traceparent, job)
          .trace_id;
  Array::Ptr spans = new Array;
  for (const Span& span : s.spans) {
    if (span.trace_id == trace) {
      spans->add(ToJsonLine(span));
    }
  }
  Object::Ptr out = new Object;
  out->set("spans", spans);
  return out;
}

}  // namespace

std::string AnswerQuery(EntryState& s,
                        Time now,
                        QueryKind kind,
                        const std::string& subject) {
  switch (kind) {
    case QueryKind::kExplain:
      return ToText(ExplanationToJson(s, now, subject));
    case QueryKind::kStatus:
      return ToText(StatusToJson(s, now));
    case QueryKind::kSpans:
      break;
  }
  return ToText(SpansToJson(s, subject));
}

std::string MergeQueryAnswers(const std::vector<std::string>& bodies) {
  Object::Ptr out = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const std::string& body : bodies) {
    const Result<Object::Ptr> parsed = ParseObject(body);
    const Object::Ptr* const object = std::get_if<Object::Ptr>(&parsed);
    if (object == nullptr) {
      continue;
    }
    for (const std::string& key : (*object)->getNames()) {
      const Poco::Dynamic::Var value = (*object)->get(key);
      if (!out->has(key)) {
        out->set(key, value);
      } else if (value.type() == typeid(Array::Ptr)) {
        Array::Ptr all = out->getArray(key);
        for (const Poco::Dynamic::Var& item : *value.extract<Array::Ptr>()) {
          all->add(item);
        }
      }
    }
  }
  return ToText(out);
}

}  // namespace marjoramplank
