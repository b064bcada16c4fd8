#pragma once

#include <cstddef>
#include <vector>

#include "marjoramplank/error.h"
#include "src/wire/generated/protocol.capnp.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// Encodes a message in its Cap'n Proto form.
void ToWire(const Message& message, rpc::Message::Builder out);

// Decodes a message. An unknown kind or an out-of-range enumerator gives an
// error, never a crash.
Result<Message> FromWire(rpc::Message::Reader in);

// The same conversions to and from a byte string, for tests.
std::vector<std::byte> ToBytes(const Message& message);
Result<Message> FromBytes(const std::vector<std::byte>& bytes);

}  // namespace marjoramplank
