#include "src/cli/output.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace marjoramplank {

std::optional<std::string> ReadInput(const std::string& file) {
  if (file == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream in(file);
  if (!in) {
    std::cerr << "marjoramplank: cannot read " << file << "\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

int ReportCallError(const Error& error) {
  std::cerr << "marjoramplank: " << ToString(error) << "\n";
  return kCliUnavailable;
}

Poco::JSON::Object::Ptr ParseReply(const ClientReply& reply) {
  const Result<Poco::JSON::Object::Ptr> parsed = ParseObject(reply.body);
  const auto* object = std::get_if<Poco::JSON::Object::Ptr>(&parsed);
  return object == nullptr ? Poco::JSON::Object::Ptr(new Poco::JSON::Object)
                           : *object;
}

std::string FieldText(const Poco::JSON::Object::Ptr& object, const char* key) {
  return object->has(key) && !object->get(key).isEmpty()
             ? object->get(key).toString()
             : std::string{};
}

int ReportReply(const CliOptions& options, const ClientReply& reply) {
  constexpr int kHttpAccepted = 202;
  constexpr int kHttpConflict = 409;
  constexpr int kHttpBadRequest = 400;
  constexpr int kHttpUnavailable = 503;
  const Poco::JSON::Object::Ptr body = ParseReply(reply);
  if (options.print_json) {
    std::cout << reply.body << "\n";
  }
  if (reply.status < 300) {
    return reply.status == kHttpAccepted &&
                   FieldText(body, "state") == "unsettled"
               ? kCliOutcomeUnknown
               : kCliOk;
  }
  if (!options.print_json) {
    const Poco::JSON::Object::Ptr error = body->getObject("error");
    const std::string state = FieldText(body, "state");
    std::cerr << "refused" << (state.empty() ? "" : " (" + state + ")") << ": "
              << (error.isNull() ? "status " + std::to_string(reply.status)
                                 : FieldText(error, "message"))
              << "\n";
  }
  switch (reply.status) {
    case kHttpBadRequest:
      return kCliUsage;
    case kHttpConflict:
      return kCliConflict;
    case kHttpUnavailable:
      return kCliUnavailable;
    default:
      return kCliFailed;
  }
}

}  // namespace marjoramplank
