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

constexpr std::size_t kMinPartBytes = 12 * 1024;  // Records: up to 16 KiB.
constexpr std::size_t kMaxPartsPerCall = 8;       // Calls: up to 2 MiB.
// A key with a higher number is not a part that an entry has written.
constexpr std::size_t kMaxParts = 100'000;
// Of a larger snapshot; the next write to the slot deletes more.
constexpr std::size_t kMaxDeletedPartsPerCall = 200;
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

// Notes the parts that the topic holds.
void NoteParts(const std::map<std::string, std::string>& values,
               SnapshotParts& parts) {
  for (const char slot : {'a', 'b'}) {
    const std::string prefix = PartKey(slot, 0).substr(0, 2);
    std::size_t count = 0;
    for (auto it = values.lower_bound(prefix);
         it != values.end() && it->first.starts_with(prefix); ++it) {
      std::size_t n = 0;
      std::istringstream number(it->first.substr(prefix.size()));
      if (!it->second.empty() && number >> n && n < kMaxParts) {
        count = std::max(count, n + 1);
      }
    }
    parts.AddUpTo(slot, count);
  }
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

std::size_t SnapshotParts::CountOf(char slot) const {
  const std::lock_guard lock(mutex_);
  const auto it = counts_.find(slot);
  return it == counts_.end() ? 0 : it->second;
}

void SnapshotParts::AddUpTo(char slot, std::size_t count) {
  const std::lock_guard lock(mutex_);
  counts_[slot] = std::max(counts_[slot], count);
}

void SnapshotParts::Set(char slot, std::size_t count) {
  const std::lock_guard lock(mutex_);
  counts_[slot] = count;
}

std::size_t SnapshotParts::max_part_bytes() const {
  const std::lock_guard lock(mutex_);
  return max_part_bytes_;
}

bool SnapshotParts::HalveMaxPartBytes() {
  const std::lock_guard lock(mutex_);
  if (max_part_bytes_ <= kMinPartBytes) {
    return false;
  }
  max_part_bytes_ /= 2;
  return true;
}

namespace {

AppendResult WriteParts(LogStore& store,
                        const LogPartition& to,
                        char slot,
                        const std::string& bytes,
                        std::int64_t position,
                        SnapshotParts& known_parts) {
  const std::size_t part_bytes = known_parts.max_part_bytes();
  known_parts.AddUpTo(slot, (bytes.size() + part_bytes - 1) / part_bytes);
  std::vector<std::string> records;
  std::size_t parts = 0;
  for (std::size_t at = 0; at < bytes.size(); at += part_bytes) {
    records.push_back(
        EncodeKeyed(PartKey(slot, parts++), bytes.substr(at, part_bytes)));
    if (records.size() == kMaxPartsPerCall) {
      AppendResult result = store.Append(to, records, {}, kWriteTimeout);
      if (result.kind != AppendResult::Kind::kStored) {
        return result;
      }
      records.clear();
    }
  }
  const Manifest manifest{
      .position = position, .parts = parts, .checksum = Checksum(bytes)};
  records.push_back(
      EncodeKeyed(std::string(1, slot), FormatManifest(manifest)));
  // From the last one on, so that those that are left stay without a gap.
  std::size_t left = known_parts.CountOf(slot);
  for (std::size_t n = 0; n < kMaxDeletedPartsPerCall && left > parts; ++n) {
    records.push_back(EncodeKeyed(PartKey(slot, --left), ""));
  }
  AppendResult result = store.Append(to, records, {}, kWriteTimeout);
  if (result.kind == AppendResult::Kind::kStored) {
    known_parts.Set(slot, left);
  }
  return result;
}

}  // namespace

bool WriteSnapshot(LogStore& store,
                   const LogPartition& to,
                   const std::string& bytes,
                   std::int64_t position,
                   SnapshotParts& known_parts) {
  // Atomic: the planner thread and, after a gap, the follower's thread write.
  static std::atomic<unsigned> snapshots_written{0};
  const char slot = snapshots_written++ % 2 == 0 ? 'b' : 'a';
  AppendResult result;
  do {
    result = WriteParts(store, to, slot, bytes, position, known_parts);
  } while (result.is_too_large && known_parts.HalveMaxPartBytes());
  return result.kind == AppendResult::Kind::kStored;
}

SnapshotLookup ReadSnapshot(LogStore& store,
                            const LogPartition& from,
                            Time now,
                            SnapshotParts& parts) {
  const LatestResult newest = store.ReadLatest(from, kBulkReadTimeout);
  if (!newest.ok) {
    return {.reason = newest.reason};
  }
  std::map<std::string, std::string> values;
  for (const KeyedRecord& r : newest.records) {
    values[r.key] = r.value;
  }
  NoteParts(values, parts);
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
