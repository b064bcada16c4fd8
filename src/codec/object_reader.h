#pragma once

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/inventory.h"
#include "marjoramplank/time.h"

namespace marjoramplank {

// Reads the fields of a JSON object into typed variables and collects every
// error with the path of its field: a missing required field, a wrong type, a
// number out of range, an unknown key.
class ObjectReader {
 public:
  ObjectReader(Poco::JSON::Object::Ptr object,
               std::string path,
               std::vector<FieldError>& errors);

  enum class Need { kOptional, kRequired };

  // Read one field. Return true if the field is present and valid; otherwise
  // `out` keeps its value, so that it can hold the default.
  bool Read(const char* key, std::string& out, Need need = Need::kOptional);
  bool Read(const char* key, std::int32_t& out, Need need = Need::kOptional);
  bool Read(const char* key, std::int64_t& out, Need need = Need::kOptional);
  bool Read(const char* key, bool& out, Need need = Need::kOptional);
  // Reads whole milliseconds.
  bool Read(const char* key, Duration& out, Need need = Need::kOptional);
  bool Read(const char* key,
            std::vector<std::string>& out,
            Need need = Need::kOptional);
  bool Read(const char* key,
            std::vector<std::int32_t>& out,
            Need need = Need::kOptional);

  // Call `read` for the object under the key or, in ReadObjects(), for each
  // object of the array under the key. Report the keys that `read` leaves
  // unread.
  void ReadObject(const char* key,
                  const std::function<void(ObjectReader&)>& read,
                  Need need = Need::kOptional);
  void ReadObjects(const char* key,
                   const std::function<void(ObjectReader&)>& read,
                   Need need = Need::kOptional);

  // Reports an error that the caller has found in a field.
  void ReportError(const char* key, const std::string& message);

  // Reports every key that has not been read as unknown. Must be called last.
  void ReportUnknownKeys();

 private:
  bool FindField(const char* key, Need need, Poco::Dynamic::Var& out);
  std::string FieldPath(const char* key) const;

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  std::vector<FieldError>& errors_;
  std::set<std::string> read_keys_;
};

// Parses a text that must be a single JSON object without duplicate keys. The
// message of a syntax error includes its position.
Result<Poco::JSON::Object::Ptr> ParseObject(const std::string& text);

// Returns the JSON text of an object, on one line.
std::string ToText(const Poco::JSON::Object::Ptr& object);

// Returns "path: message; path: message".
std::string FormatFieldErrors(const std::vector<FieldError>& errors);

}  // namespace marjoramplank
