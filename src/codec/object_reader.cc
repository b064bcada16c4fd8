#include "src/codec/object_reader.h"

#include <Poco/JSON/Parser.h>

#include <limits>
#include <sstream>
#include <utility>

namespace marjoramplank {

namespace {

// Deeper nesting is rejected before it can exhaust the stack.
constexpr std::size_t kMaxNestingDepth = 32;

}  // namespace

ObjectReader::ObjectReader(Poco::JSON::Object::Ptr object,
                           std::string path,
                           std::vector<FieldError>& errors)
    : object_(std::move(object)), path_(std::move(path)), errors_(errors) {}

std::string ObjectReader::FieldPath(const char* key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void ObjectReader::ReportError(const char* key, const std::string& message) {
  errors_.push_back({FieldPath(key), message});
}

bool ObjectReader::FindField(const char* key,
                             Need need,
                             Poco::Dynamic::Var& out) {
  read_keys_.insert(key);
  if (!object_->has(key) || object_->get(key).isEmpty()) {
    if (need == Need::kRequired) {
      ReportError(key, "is required");
    }
    return false;
  }
  out = object_->get(key);
  return true;
}

bool ObjectReader::Read(const char* key, std::string& out, Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return false;
  }
  if (!v.isString()) {
    ReportError(key, "must be a string");
    return false;
  }
  out = v.extract<std::string>();
  return true;
}

bool ObjectReader::Read(const char* key, std::int64_t& out, Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return false;
  }
  if (!v.isInteger() || v.isBoolean()) {
    ReportError(key, "must be a whole number");
    return false;
  }
  try {
    out = v.convert<std::int64_t>();
  } catch (const Poco::Exception&) {
    ReportError(key, "is too large a number");
    return false;
  }
  return true;
}

bool ObjectReader::Read(const char* key, std::int32_t& out, Need need) {
  std::int64_t wide_value = out;
  if (!Read(key, wide_value, need)) {
    return false;
  }
  if (wide_value < std::numeric_limits<std::int32_t>::min() ||
      wide_value > std::numeric_limits<std::int32_t>::max()) {
    ReportError(key, "is too large a number");
    return false;
  }
  out = static_cast<std::int32_t>(wide_value);
  return true;
}

bool ObjectReader::Read(const char* key, bool& out, Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return false;
  }
  if (!v.isBoolean()) {
    ReportError(key, "must be true or false");
    return false;
  }
  out = v.extract<bool>();
  return true;
}

bool ObjectReader::Read(const char* key, Duration& out, Need need) {
  std::int64_t ms = out.count();
  if (!Read(key, ms, need)) {
    return false;
  }
  out = Duration{ms};
  return true;
}

bool ObjectReader::Read(const char* key,
                        std::vector<std::string>& out,
                        Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return false;
  }
  if (v.type() != typeid(Poco::JSON::Array::Ptr)) {
    ReportError(key, "must be an array of strings");
    return false;
  }
  std::vector<std::string> read;
  for (const Poco::Dynamic::Var& item : *v.extract<Poco::JSON::Array::Ptr>()) {
    if (!item.isString()) {
      ReportError(key, "must be an array of strings");
      return false;
    }
    read.push_back(item.extract<std::string>());
  }
  out = std::move(read);
  return true;
}

bool ObjectReader::Read(const char* key,
                        std::vector<std::int32_t>& out,
                        Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return false;
  }
  if (v.type() != typeid(Poco::JSON::Array::Ptr)) {
    ReportError(key, "must be an array of whole numbers");
    return false;
  }
  std::vector<std::int32_t> read;
  for (const Poco::Dynamic::Var& item : *v.extract<Poco::JSON::Array::Ptr>()) {
    if (!item.isInteger() || item.isBoolean()) {
      ReportError(key, "must be an array of whole numbers");
      return false;
    }
    try {
      read.push_back(item.convert<std::int32_t>());
    } catch (const Poco::Exception&) {
      ReportError(key, "has too large a number");
      return false;
    }
  }
  out = std::move(read);
  return true;
}

void ObjectReader::ReadObject(const char* key,
                              const std::function<void(ObjectReader&)>& read,
                              Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return;
  }
  if (v.type() != typeid(Poco::JSON::Object::Ptr)) {
    ReportError(key, "must be an object");
    return;
  }
  ObjectReader child(v.extract<Poco::JSON::Object::Ptr>(), FieldPath(key),
                     errors_);
  read(child);
  child.ReportUnknownKeys();
}

void ObjectReader::ReadObjects(const char* key,
                               const std::function<void(ObjectReader&)>& read,
                               Need need) {
  Poco::Dynamic::Var v;
  if (!FindField(key, need, v)) {
    return;
  }
  if (v.type() != typeid(Poco::JSON::Array::Ptr)) {
    ReportError(key, "must be an array of objects");
    return;
  }
  std::size_t i = 0;
  for (const Poco::Dynamic::Var& item : *v.extract<Poco::JSON::Array::Ptr>()) {
    const std::string path = FieldPath(key) + "[" + std::to_string(i++) + "]";
    if (item.type() != typeid(Poco::JSON::Object::Ptr)) {
      errors_.push_back({path, "must be an object"});
      continue;
    }
    ObjectReader child(item.extract<Poco::JSON::Object::Ptr>(), path, errors_);
    read(child);
    child.ReportUnknownKeys();
  }
}

void ObjectReader::ReportUnknownKeys() {
  for (const std::string& key : object_->getNames()) {
    if (!read_keys_.contains(key)) {
      ReportError(key.c_str(), "is not a known key");
    }
  }
}

// Rejects an object with a duplicate key, because it is ambiguous which of the
// values is meant.
class UniqueKeyHandler final : public Poco::JSON::ParseHandler {
 public:
  void startObject() override {
    keys_by_depth_.emplace_back();
    ParseHandler::startObject();
  }
  void endObject() override {
    keys_by_depth_.pop_back();
    ParseHandler::endObject();
  }
  void key(const std::string& k) override {
    if (!keys_by_depth_.back().insert(k).second) {
      throw Poco::JSON::JSONException("the key \"" + k + "\" stands twice");
    }
    ParseHandler::key(k);
  }

 private:
  std::vector<std::set<std::string>> keys_by_depth_;
};

Result<Poco::JSON::Object::Ptr> ParseObject(const std::string& text) {
  const auto parse_error = [](const std::string& message) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "json.parse",
                 .message = message};
  };
  try {
    Poco::JSON::Parser parser(new UniqueKeyHandler);
    parser.setDepth(kMaxNestingDepth);
    const Poco::Dynamic::Var v = parser.parse(text);
    if (v.type() != typeid(Poco::JSON::Object::Ptr)) {
      return parse_error("the text is not a JSON object");
    }
    return v.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& e) {
    return parse_error("the text is not valid JSON: " + e.displayText());
  } catch (const std::exception& e) {
    return parse_error(std::string("the text is not valid JSON: ") + e.what());
  }
}

std::string ToText(const Poco::JSON::Object::Ptr& object) {
  std::ostringstream out;
  object->stringify(out);
  return out.str();
}

std::string FormatFieldErrors(const std::vector<FieldError>& errors) {
  std::string out;
  for (const FieldError& e : errors) {
    out += (out.empty() ? "" : "; ") + e.path + ": " + e.message;
  }
  return out;
}

}  // namespace marjoramplank
