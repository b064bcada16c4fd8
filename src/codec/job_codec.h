#pragma once

#include <string>

#include "marjoramplank/job_spec.h"
#include "marjoramplank/job_state.h"
#include "src/codec/object_reader.h"

namespace marjoramplank {

// Convert requests and outcomes to the JSON that the API and the log use.
Poco::JSON::Object::Ptr ToJson(const JobSpec& spec);
Poco::JSON::Object::Ptr ToJson(const JobOutcome& outcome);

// Read a request or an outcome. The reader collects the errors.
JobSpec ReadJobSpec(ObjectReader& reader);
JobOutcome ReadJobOutcome(ObjectReader& reader);

// Returns a digest of all fields of a request, 32 hexadecimal digits. A request
// id that is reused with another digest is a conflict.
std::string ComputeJobDigest(const JobSpec& spec);

}  // namespace marjoramplank
