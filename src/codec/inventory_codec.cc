#include "src/codec/inventory_codec.h"

#include <utility>

namespace marjoramplank {

namespace {

using Need = ObjectReader::Need;
using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr NewObject() {
  return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Array::Ptr ToArray(const std::vector<std::string>& all) {
  Array::Ptr out = new Array;
  for (const std::string& s : all) {
    out->add(s);
  }
  return out;
}

DataCentreSpec ReadDataCentre(ObjectReader& reader) {
  DataCentreSpec out;
  reader.Read("name", out.name, Need::kRequired);
  reader.Read("region", out.region, Need::kRequired);
  reader.Read("out_of_service", out.out_of_service);
  reader.Read("grace_ms", out.grace_period);
  return out;
}

WorkerSpec ReadWorker(ObjectReader& reader) {
  WorkerSpec out;
  reader.Read("name", out.name, Need::kRequired);
  reader.Read("rack", out.rack, Need::kRequired);
  reader.Read("data_centre", out.data_centre, Need::kRequired);
  reader.Read("cores", out.cores, Need::kRequired);
  reader.Read("memory_mb", out.memory_mb, Need::kRequired);
  reader.Read("accelerators", out.accelerators);
  reader.Read("slots", out.slots);
  reader.Read("cordoned", out.cordoned);
  return out;
}

AccountSpec ReadAccount(ObjectReader& reader) {
  AccountSpec out;
  reader.Read("name", out.name, Need::kRequired);
  reader.ReadObjects("guarantees", [&](ObjectReader& r) {
    Guarantee g;
    r.Read("accelerators", g.accelerators, Need::kRequired);
    r.Read("workers", g.workers);
    r.Read("count", g.count);
    r.Read("data_centres", g.data_centres);
    out.guarantees.push_back(std::move(g));
  });
  reader.Read("max_queued", out.max_queued);
  reader.Read("max_accelerators_per_job", out.max_accelerators_per_job);
  reader.Read("may_borrow", out.may_borrow);
  return out;
}

Object::Ptr ToJson(const DataCentreSpec& dc) {
  Object::Ptr out = NewObject();
  out->set("name", dc.name);
  out->set("region", dc.region);
  out->set("out_of_service", dc.out_of_service);
  out->set("grace_ms", dc.grace_period.count());
  return out;
}

Object::Ptr ToJson(const WorkerSpec& w) {
  Object::Ptr out = NewObject();
  out->set("name", w.name);
  out->set("rack", w.rack);
  out->set("data_centre", w.data_centre);
  out->set("cores", w.cores);
  out->set("memory_mb", w.memory_mb);
  out->set("accelerators", w.accelerators);
  out->set("slots", w.slots);
  out->set("cordoned", w.cordoned);
  return out;
}

Object::Ptr ToJson(const AccountSpec& a) {
  Object::Ptr out = NewObject();
  out->set("name", a.name);
  Array::Ptr guarantees = new Array;
  for (const Guarantee& g : a.guarantees) {
    Object::Ptr o = NewObject();
    o->set("accelerators", g.accelerators);
    o->set("workers", g.workers);
    o->set("count", g.count);
    o->set("data_centres", ToArray(g.data_centres));
    guarantees->add(o);
  }
  out->set("guarantees", guarantees);
  out->set("max_queued", a.max_queued);
  out->set("max_accelerators_per_job", a.max_accelerators_per_job);
  out->set("may_borrow", a.may_borrow);
  return out;
}

}  // namespace

std::variant<Inventory, std::vector<FieldError>> ParseInventory(
    const std::string& text) {
  const Result<Object::Ptr> parsed = ParseObject(text);
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return std::vector<FieldError>{{"", e->message}};
  }
  std::vector<FieldError> errors;
  Inventory out;
  ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
  reader.ReadObjects(
      "data_centres",
      [&](ObjectReader& r) { out.data_centres.push_back(ReadDataCentre(r)); },
      Need::kRequired);
  reader.ReadObjects(
      "workers", [&](ObjectReader& r) { out.workers.push_back(ReadWorker(r)); },
      Need::kRequired);
  reader.ReadObjects(
      "accounts",
      [&](ObjectReader& r) { out.accounts.push_back(ReadAccount(r)); },
      Need::kRequired);
  reader.Read("max_queued", out.max_queued);
  reader.ReportUnknownKeys();
  if (errors.empty()) {
    errors = CheckInventory(out);
  }
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

Object::Ptr ToJson(const Inventory& inventory) {
  Object::Ptr out = NewObject();
  const auto add = [&](const char* key, const auto& list) {
    Array::Ptr array = new Array;
    for (const auto& item : list) {
      array->add(ToJson(item));
    }
    out->set(key, array);
  };
  add("data_centres", inventory.data_centres);
  add("workers", inventory.workers);
  add("accounts", inventory.accounts);
  out->set("max_queued", inventory.max_queued);
  return out;
}

}  // namespace marjoramplank
