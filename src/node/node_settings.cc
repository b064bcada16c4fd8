#include "src/node/node_settings.h"

#include "src/codec/object_reader.h"

namespace marjoramplank {

NodeSettings ParseNodeSettings(const std::string& text,
                               std::vector<FieldError>& errors) {
  using Need = ObjectReader::Need;
  NodeSettings out;
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(text);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    errors.push_back({.path = "", .message = error->message});
    return out;
  }
  ObjectReader in(std::get<Poco::JSON::Object::Ptr>(parsed), "", errors);
  in.Read("name", out.name, Need::kRequired);
  in.Read("data_centre", out.data_centre, Need::kRequired);
  in.Read("store", out.store_address, Need::kRequired);
  in.Read("client_address", out.client_address);
  in.Read("readiness_address", out.readiness_address);
  in.Read("relay_address", out.relay_address);
  in.Read("metrics_address", out.metrics_address);
  in.Read("worker_address", out.worker_address);
  in.Read("endpoint", out.endpoint_address);
  in.ReadObject("bounds", [&](ObjectReader& b) {
    b.Read("revoke_ms", out.bounds.key_revocation);
    b.Read("max_lease_ms", out.bounds.max_lease);
    b.Read("gang_timeout_ms", out.bounds.gang_timeout);
    b.Read("grace_ms", out.bounds.grace);
    b.Read("reclaim_ms", out.bounds.reclaim);
    b.Read("ends_per_listing", out.bounds.ends_per_listing);
  });
  in.ReportUnknownKeys();
  return out;
}

}  // namespace marjoramplank
