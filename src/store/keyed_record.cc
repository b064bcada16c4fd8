#include "src/store/log_store.h"

namespace marjoramplank {

// Layout: length of the key in one byte, the key, the value.
std::string EncodeKeyed(const std::string& key, const std::string& value) {
  std::string out;
  out.reserve(1 + key.size() + value.size());
  out.push_back(static_cast<char>(static_cast<unsigned char>(key.size())));
  out += key;
  out += value;
  return out;
}

bool DecodeKeyed(const std::string& bytes,
                 std::string& key,
                 std::string& value) {
  if (bytes.empty()) {
    return false;
  }
  const std::size_t n = static_cast<unsigned char>(bytes[0]);
  if (bytes.size() < 1 + n) {
    return false;
  }
  key = bytes.substr(1, n);
  value = bytes.substr(1 + n);
  return true;
}

}  // namespace marjoramplank
