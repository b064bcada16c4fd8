#include "tests/soak/heartbeats.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <array>

#include "tests/standins/standin.h"

namespace marjoramplank::soak {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::int64_t kOtherBirthMs = 5000;
constexpr int kDeep = 20'000;

Object FullBody(const WorkerIdentity& worker) {
  Object capacity;
  capacity.set("cpu", 128000);
  capacity.set("memMb", 524288);
  capacity.set("gpu", 8);
  Array labels;
  labels.add(std::string("a"));
  labels.add(worker.rack);
  Object out;
  out.set("service", worker.service);
  out.set("address", worker.address);
  out.set("zone", worker.zone);
  out.set("version", std::string("v1"));
  out.set("slots", 8);
  out.set("state", std::string("ready"));
  out.set("coldRemainingMs", 0);
  out.set("capacity", capacity);
  out.set("labels", labels);
  out.set("clockMs", 1000);
  out.set("sequence", 1);
  out.set("born", worker.born);
  return out;
}

std::string WithNumber(const Object& object,
                       const std::string& name,
                       const std::string& number) {
  Object copy = object;
  copy.remove(name);
  const std::string text = standins::ToText(copy);
  return R"({")" + name + R"(":)" + number + "," + text.substr(1);
}

}  // namespace

Message ForeignHeartbeat(const WorkerIdentity& worker, int variant) {
  std::string id = worker.id;
  Object body = FullBody(worker);
  const auto other_id = [&] { id = "i-0099"; };
  std::string text;
  switch (variant) {
    case 0:  // Of a service that no configuration names.
      other_id();
      body.set("service", std::string("unknown77"));
      break;
    case 1:
      other_id();
      break;
    case 2:
      other_id();
      body.set("born", worker.born - kOtherBirthMs);
      break;
    case 3:  // An earlier life.
      body.set("born", worker.born - kOtherBirthMs);
      break;
    case 4:  // A later life that is not there.
      body.set("born", worker.born + kOtherBirthMs);
      break;
    case 5:  // Late: the first heartbeat once more.
      break;
    case 6:
      other_id();
      body.remove("born");
      break;
    case 7:
      body.remove("born");
      break;
    case 8:
      body.remove("address");
      body.remove("service");
      break;
    case 9:
      text = WithNumber(body, "born", "1e400");
      break;
    case 10:
      body.set("capacity", std::string("much"));
      break;
    case 11:
      body.set("state", std::string("sleeping"));
      break;
    case 12:
      body.set("state", std::string("draining"));
      body.set("service", std::string("unknown77"));
      break;
    case 13:
      other_id();
      body.set("address", std::string("127.0.0.1:99999"));
      break;
    case 14:
      text = WithNumber(body, "labels",
                        std::string(kDeep, '[') + std::string(kDeep, ']'));
      break;
    default:
      text = WithNumber(body, "sequence", "1e308");
      break;
  }
  return {.target = "/v1/Instances.Heartbeat/" + id,
          .body = text.empty() ? standins::ToText(body) : text};
}

Message OddEntry(int variant) {
  const std::array<Message, 6> entries{
      Message{"wave/x", R"({"wave":"x","machines":7})"},
      Message{"evacuate/nowhere", R"({"state":[]})"},
      Message{"other", std::string(kDeep, '[')},
      Message{"config.old", R"({"version":1e400,"routes":null})"},
      Message{std::string(200, 'k'), std::string("\x00\xff\xfe", 3)},
      Message{"", "{}"}};
  return entries.at(static_cast<std::size_t>(variant) % entries.size());
}

}  // namespace marjoramplank::soak
