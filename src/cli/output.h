#pragma once

#include <optional>
#include <string>

#include "src/cli/commands.h"
#include "src/codec/object_reader.h"

namespace marjoramplank {

// Input and output helpers shared by the commands.

// Reads a file, or standard input for "-". Prints an error and returns nullopt
// if the file cannot be read.
std::optional<std::string> ReadInput(const std::string& file);

// Prints the error of a failed call and returns kCliUnavailable.
int ReportCallError(const Error& error);

// Returns the exit code for a response. Prints the message of a refusal; in
// JSON mode, prints the body of any response unchanged.
int ReportReply(const CliOptions& options, const ClientReply& reply);

// Parses the body of a response. Returns an empty object if it is not a JSON
// object.
Poco::JSON::Object::Ptr ParseReply(const ClientReply& reply);

// Returns the value of a field as text, or "" if it is missing or null.
std::string FieldText(const Poco::JSON::Object::Ptr& object, const char* key);

}  // namespace marjoramplank
