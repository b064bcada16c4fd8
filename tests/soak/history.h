#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramplank::soak {

// One line of the record, which the stand-ins and the soak write together.
struct Line {
  std::int64_t ms = 0;
  std::string source;
  std::vector<std::string> words;
  std::string text;  // The whole line.
};

// Reads the record while it grows.
class RecordReader {
 public:
  explicit RecordReader(std::string path) : path_(std::move(path)) {}
  std::vector<Line> TakeLines();

 private:
  std::string path_;
  std::int64_t position_ = 0;
};

}  // namespace marjoramplank::soak
