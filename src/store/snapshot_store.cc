#include "src/store/snapshot_store.h"

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <sstream>
#include <vector>

#include "src/node/event_log.h"
#include "src/store/retry_backoff.h"

namespace marjoramplank {

namespace {

constexpr std::size_t kMaxPartBytes = 192 * 1024;  // Records: up to 256 KiB.
constexpr std::size_t kMaxPartsPerCall = 8;        // Calls: up to 2 MiB.
constexpr Duration kWriteTimeout = 2s;

struct Manifest {
  std::int64_t position = -1;
  std::size_t parts = 0;
  std::uint64_t checksum = 0;
};

std::string FormatManifest(const Manifest& m) {
  std::ostringstream out;
  out << m.position << ' ' << m.parts << ' ' << m.checksum;
  return out.str();
}

bool ParseManifest(const std::string& text, Manifest& out) {
  std::istringstream in(text);
  return static_cast<bool>(in >> out.position >> out.parts >> out.checksum);
}

std::string PartKey(char slot, std::size_t n) {
  return std::string(1, slot) + "." + std::to_string(n);
}

std::uint64_t Checksum(const std::string& bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

// Joins the parts of a slot. Returns an empty string if one is missing or the
// checksum does not match.
std::string JoinParts(const std::map<std::string, std::string>& values,
                      char slot,
                      const Manifest& manifest) {
  std::string bytes;
  for (std::size_t n = 0; n < manifest.parts; ++n) {
    const auto it = values.find(PartKey(slot, n));
    if (it == values.end()) {
      return "";
    }
    bytes += it->second;
  }
  return Checksum(bytes) == manifest.checksum ? bytes : "";
}

}  // namespace

bool WriteSnapshot(LogStore& store,
                   const LogPartition& to,
                   const std::string& bytes,
                   std::int64_t position) {
  // Atomic: the planner thread and, after a gap, the follower's thread write.
  static std::atomic<unsigned> snapshots_written{0};
  const char slot = snapshots_written++ % 2 == 0 ? 'b' : 'a';
  std::vector<std::string> records;
  std::size_t parts = 0;
  for (std::size_t at = 0; at < bytes.size(); at += kMaxPartBytes) {
    records.push_back(
        EncodeKeyed(PartKey(slot, parts++), bytes.substr(at, kMaxPartBytes)));
    if (records.size() == kMaxPartsPerCall) {
      if (store.Append(to, records, {}, kWriteTimeout).kind !=
          AppendResult::Kind::kStored) {
        return false;
      }
      records.clear();
    }
  }
  const Manifest manifest{
      .position = position, .parts = parts, .checksum = Checksum(bytes)};
  records.push_back(
      EncodeKeyed(std::string(1, slot), FormatManifest(manifest)));
  return store.Append(to, records, {}, kWriteTimeout).kind ==
         AppendResult::Kind::kStored;
}

SnapshotLookup ReadSnapshot(LogStore& store,
                            const LogPartition& from,
                            Time now) {
  const LatestResult newest = store.ReadLatest(from, kBulkReadTimeout);
  if (!newest.ok) {
    return {.reason = newest.reason};
  }
  std::map<std::string, std::string> values;
  for (const KeyedRecord& r : newest.records) {
    values[r.key] = r.value;
  }
  SnapshotLookup out{.store_answered = true};
  std::vector<std::pair<Manifest, char>> manifests;
  for (const char slot : {'a', 'b'}) {
    Manifest m;
    if (const auto it = values.find(std::string(1, slot));
        it != values.end() && ParseManifest(it->second, m)) {
      manifests.emplace_back(m, slot);
    }
  }
  std::sort(manifests.begin(), manifests.end(), [](auto& a, auto& b) {
    return a.first.position > b.first.position;
  });
  for (const auto& [manifest, slot] : manifests) {
    const std::string bytes = JoinParts(values, slot, manifest);
    if (bytes.empty()) {
      LogEvent("snapshot_unusable")
          .With("slot", std::string(1, slot))
          .With("position", manifest.position);
      continue;
    }
    out.snapshot = LedgerSnapshot::Load(now, bytes);
    if (out.snapshot) {
      return out;
    }
  }
  return out;
}

}  // namespace marjoramplank
