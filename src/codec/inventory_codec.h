#pragma once

#include <string>
#include <vector>

#include "marjoramplank/error.h"
#include "marjoramplank/inventory.h"
#include "src/codec/object_reader.h"

namespace marjoramplank {

// Parses the operators' configuration document from JSON. Returns every syntax
// error or, if there is none, every error that CheckInventory() finds.
std::variant<Inventory, std::vector<FieldError>> ParseInventory(
    const std::string& text);

Poco::JSON::Object::Ptr ToJson(const Inventory& inventory);

}  // namespace marjoramplank
