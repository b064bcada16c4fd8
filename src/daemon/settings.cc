#include "src/daemon/settings.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <sstream>

#include "src/codec/object_reader.h"

namespace marjoramplank {

namespace {

using Need = ObjectReader::Need;
using Poco::JSON::Object;

void CheckAddress(ObjectReader& reader,
                  const char* key,
                  const std::string& value) {
  const std::size_t colon = value.rfind(':');
  Poco::Net::IPAddress ip;
  const bool is_valid_host =
      colon != std::string::npos &&
      Poco::Net::IPAddress::tryParse(value.substr(0, colon), ip) &&
      ip.family() == Poco::Net::IPAddress::IPv4;
  const std::string port = is_valid_host ? value.substr(colon + 1) : "";
  const bool is_port_numeric =
      !port.empty() && port.size() <= 5 &&
      std::all_of(port.begin(), port.end(),
                  [](char c) { return c >= '0' && c <= '9'; });
  constexpr int kMaxPort = 65535;
  if (!is_port_numeric || std::stoi(port) > kMaxPort) {
    reader.ReportError(key, "must have the form IP:port, is \"" + value + "\"");
  }
}

void ReadAddress(ObjectReader& reader,
                 const char* key,
                 std::string& out,
                 Need need = Need::kOptional) {
  if (reader.Read(key, out, need)) {
    CheckAddress(reader, key, out);
  }
}

void ReadAddresses(ObjectReader& reader,
                   const char* key,
                   std::vector<std::string>& out,
                   Need need = Need::kOptional) {
  reader.Read(key, out, need);
  for (const std::string& address : out) {
    CheckAddress(reader, key, address);
  }
}

template <typename T>
void ReadRange(ObjectReader& reader,
               const char* key,
               T& out,
               T low,
               T high,
               Need need = Need::kOptional) {
  if (!reader.Read(key, out, need)) {
    return;
  }
  if (out < low || out > high) {
    std::ostringstream text;
    if constexpr (std::is_same_v<T, Duration>) {
      text << "must be between " << low.count() << " and " << high.count()
           << ", is " << out.count();
    } else {
      text << "must be between " << low << " and " << high << ", is " << out;
    }
    reader.ReportError(key, text.str());
  }
}

void ReadName(ObjectReader& reader, const char* key, std::string& out) {
  if (reader.Read(key, out, Need::kRequired) && out.empty()) {
    reader.ReportError(key, "must not be empty");
  }
}

void ReadLogging(ObjectReader& reader, LogSettings& out) {
  reader.ReadObject("logging", [&](ObjectReader& r) {
    r.Read("json", out.json);
    r.Read("level", out.level);
    const std::vector<std::string> levels = {"trace", "debug", "info",
                                             "warning", "error"};
    if (std::find(levels.begin(), levels.end(), out.level) == levels.end()) {
      r.ReportError("level",
                    "must be one of: trace, debug, info, warning, error");
    }
  });
}

template <typename T, typename F>
std::variant<T, std::vector<FieldError>> ParseSettings(const std::string& text,
                                                       F read) {
  const Result<Object::Ptr> parsed = ParseObject(text);
  if (const Error* e = std::get_if<Error>(&parsed)) {
    return std::vector<FieldError>{{"", e->message}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(std::get<Object::Ptr>(parsed), "", errors);
  T out;
  read(reader, out);
  ReadLogging(reader, out.logging);
  reader.ReportUnknownKeys();
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

Poco::JSON::Array::Ptr ToArray(const std::vector<std::string>& strings) {
  Poco::JSON::Array::Ptr out = new Poco::JSON::Array;
  for (const std::string& s : strings) {
    out->add(s);
  }
  return out;
}

std::string AddLoggingAndRender(Object& object, const LogSettings& logging) {
  Object::Ptr log = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  log->set("level", logging.level);
  log->set("json", logging.json);
  object.set("logging", log);
  std::ostringstream out;
  object.stringify(out, 2);
  return out.str();
}

}  // namespace

std::variant<EntrySettings, std::vector<FieldError>> ParseEntrySettings(
    const std::string& text) {
  return ParseSettings<EntrySettings>(
      text, [](ObjectReader& r, EntrySettings& s) {
        ReadName(r, "name", s.name);
        ReadAddress(r, "http", s.http_address);
        ReadAddress(r, "rpc", s.rpc_address);
        ReadAddress(r, "platform_log", s.platform_log_address, Need::kRequired);
        ReadAddresses(r, "peers", s.peer_addresses);
        ReadRange(r, "http_threads", s.http_threads, 4, 4096);
        ReadRange(r, "append_timeout_ms", s.append_timeout, Duration{50},
                  Duration{60s});
        ReadRange(r, "submit_timeout_ms", s.submit_timeout, Duration{100},
                  Duration{60s});
        ReadRange(r, "shutdown_timeout_ms", s.shutdown_timeout, Duration{0},
                  Duration{1h});
        ReadRange(r, "snapshot_interval_ms", s.snapshot_interval, Duration{1s},
                  Duration{24h * 30});
        ReadRange(r, "snapshot_records", s.snapshot_records, std::int64_t{10},
                  std::int64_t{1'000'000'000});
      });
}

std::variant<AgentSettings, std::vector<FieldError>> ParseAgentSettings(
    const std::string& text) {
  return ParseSettings<AgentSettings>(
      text, [](ObjectReader& r, AgentSettings& s) {
        ReadName(r, "worker", s.worker);
        ReadName(r, "data_centre", s.data_centre);
        ReadAddress(r, "endpoint", s.endpoint_address, Need::kRequired);
        ReadAddresses(r, "entries", s.entry_addresses, Need::kRequired);
        ReadAddress(r, "http", s.http_address);
        ReadRange(r, "cores", s.cores, 1, 1 << 16, Need::kRequired);
        ReadRange(r, "memory_mb", s.memory_mb, 1, 1 << 28, Need::kRequired);
        ReadRange(r, "accelerators", s.accelerators, 0, 16);
        ReadRange(r, "slots", s.slots, 1, 1024);
        ReadRange(r, "lease_ms", s.lease, Duration{1s}, Duration{10min});
        ReadRange(r, "shutdown_timeout_ms", s.shutdown_timeout, Duration{0},
                  Duration{24h * 30});
      });
}

std::string ToJsonText(const EntrySettings& s) {
  Object out(Poco::JSON_PRESERVE_KEY_ORDER);
  out.set("name", s.name);
  out.set("http", s.http_address);
  out.set("rpc", s.rpc_address);
  out.set("platform_log", s.platform_log_address);
  out.set("peers", ToArray(s.peer_addresses));
  out.set("http_threads", s.http_threads);
  out.set("append_timeout_ms", s.append_timeout.count());
  out.set("submit_timeout_ms", s.submit_timeout.count());
  out.set("shutdown_timeout_ms", s.shutdown_timeout.count());
  out.set("snapshot_interval_ms", s.snapshot_interval.count());
  out.set("snapshot_records", s.snapshot_records);
  return AddLoggingAndRender(out, s.logging);
}

std::string ToJsonText(const AgentSettings& s) {
  Object out(Poco::JSON_PRESERVE_KEY_ORDER);
  out.set("worker", s.worker);
  out.set("data_centre", s.data_centre);
  out.set("endpoint", s.endpoint_address);
  out.set("entries", ToArray(s.entry_addresses));
  out.set("http", s.http_address);
  out.set("cores", s.cores);
  out.set("memory_mb", s.memory_mb);
  out.set("accelerators", s.accelerators);
  out.set("slots", s.slots);
  out.set("lease_ms", s.lease.count());
  out.set("shutdown_timeout_ms", s.shutdown_timeout.count());
  return AddLoggingAndRender(out, s.logging);
}

HostPort SplitAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {.host = address.substr(0, colon),
          .port = static_cast<std::uint16_t>(
              std::stoul(address.substr(colon + 1)))};
}

}  // namespace marjoramplank
