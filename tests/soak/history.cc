#include "tests/soak/history.h"

#include <fstream>
#include <sstream>

namespace marjoramplank::soak {

std::vector<Line> RecordReader::TakeLines() {
  std::vector<Line> out;
  std::ifstream in(path_);
  in.seekg(position_);
  for (std::string text; std::getline(in, text);) {
    if (in.eof()) {
      break;  // The line is not complete yet.
    }
    position_ += static_cast<std::int64_t>(text.size()) + 1;
    Line line{.text = text};
    std::istringstream words(text);
    words >> line.ms >> line.source;
    for (std::string word; words >> word;) {
      line.words.push_back(word);
    }
    out.push_back(std::move(line));
  }
  return out;
}

}  // namespace marjoramplank::soak
