#include "src/relay/relay_order.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramplank {

namespace {

std::uint64_t Score(const std::string& a, const std::string& b) {
  const std::string key = a + "/" + b;
  return XXH3_64bits(key.data(), key.size());
}

using EntryIterator = std::vector<EntryStarted>::iterator;

void SortByScore(const std::string& key,
                 EntryIterator first,
                 EntryIterator last) {
  std::sort(first, last, [&](const EntryStarted& a, const EntryStarted& b) {
    return Score(key, a.entry) > Score(key, b.entry);
  });
}

}  // namespace

std::vector<std::string> OrderRelays(const RelayOrderInput& in) {
  std::vector<EntryStarted> entries;
  for (const EntryStarted& entry : in.entries) {
    if (!entry.relay_address.empty()) {
      entries.push_back(entry);
    }
  }
  const auto others = std::stable_partition(
      entries.begin(), entries.end(), [&](const EntryStarted& entry) {
        return entry.data_centre == in.data_centre;
      });
  // All processes of the data centre agree on the shared relays, and each
  // starts with another one.
  SortByScore(in.data_centre, entries.begin(), others);
  const std::int64_t wanted =
      (in.agents + kAgentsPerRelay - 1) / kAgentsPerRelay;
  const auto shared =
      entries.begin() +
      std::clamp<std::int64_t>(wanted, 0, others - entries.begin());
  if (!in.is_append) {
    SortByScore(in.process_name, entries.begin(), shared);
  }
  SortByScore(in.process_name, others, entries.end());
  std::vector<std::string> out;
  out.reserve(entries.size());
  for (const EntryStarted& entry : entries) {
    out.push_back(entry.relay_address);
  }
  return out;
}

}  // namespace marjoramplank
