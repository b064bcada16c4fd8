// Stand-in for the platform's store, in its form as a log: log-append,
// log-read and log-newest as PROTOCOL.md has them.
//   store --address IP:PORT [--control FILE] [--seed N] [--page KEYS]
// It answers after 4 ms. The control file may hold lines of a word and a
// figure:
//   lost SHARE    that share of the appends is done and not answered
//   late SHARE    these are done 1 to 6 s later instead
//   silent 1      no call is done or answered
//   slow MS       each call takes so much longer
//   refuse SHARE, busy SHARE  these calls get a 503 or a 429
//   reset SHARE   the connections of these calls are reset, nothing is done
//   half SHARE    these answers are cut in the middle
//   stall SHARE   these calls are done, and their connections go silent
//   forget S      records older than so many seconds expire

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <Poco/Base64Encoder.h>

#include "tests/standins/standin.h"

namespace marjoramplank::standins {
namespace {

constexpr std::chrono::milliseconds kAnswerTime{4};
constexpr std::chrono::milliseconds kControlPoll{10};
constexpr std::size_t kMaxReadBytes = 1024 * 1024;
constexpr std::size_t kRepeats = 5;
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxCallBytes = 2'097'152;

constexpr std::size_t kPageKeys = 500;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

struct DoneAppend {
  std::int64_t sequence = 0;
  Answer answer;
};

struct Producer {
  std::int64_t epoch = -1;
  std::int64_t next_sequence = 0;
  bool any_sequence = true;
  std::deque<DoneAppend> last;
};

struct Partition {
  std::vector<std::string> records;
  std::vector<std::int64_t> appended_ms;  // Of each record.
  std::size_t first = 0;                  // Records before it have expired.
  std::map<std::string, Producer> producers;
};

std::uint64_t ReadBigEndian(const std::string& in, std::size_t at, int bytes) {
  std::uint64_t out = 0;
  for (int n = 0; n < bytes; ++n) {
    out = out << 8 | static_cast<unsigned char>(in[at + n]);
  }
  return out;
}

void PutBigEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> shift & 0xff));
  }
}

class Store {
 public:
  explicit Store(const Options& o)
      : control_(o.Text("control")),
        page_(static_cast<std::size_t>(o.Int("page", kPageKeys))),
        random_(static_cast<std::mt19937::result_type>(o.Int("seed"))) {}

  Answer Handle(const Call& call) {
    if (Control().contains("silent")) {
      while (Control().contains("silent")) {
        std::this_thread::sleep_for(kControlPoll);
      }
      return {.delivery = Answer::Delivery::kLost};
    }
    const Faults faults = Control();
    if (const auto it = faults.find("slow"); it != faults.end()) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(static_cast<int>(it->second)));
    }
    if (Hits(faults, "reset")) {
      return {.delivery = Answer::Delivery::kReset};
    }
    if (Hits(faults, "refuse")) {
      return {.status = kUnavailable};
    }
    if (Hits(faults, "busy")) {
      return {.status = kTooManyRequests};
    }
    if (const auto it = faults.find("forget"); it != faults.end()) {
      Forget(it->second);
    }
    std::this_thread::sleep_for(kAnswerTime);
    Answer out =
        call.path == "/v1/log-append" ? Append(faults, call) : Read(call);
    if (Hits(faults, "half")) {
      out.delivery = Answer::Delivery::kHalf;
    } else if (Hits(faults, "stall")) {
      out.delivery = Answer::Delivery::kStall;
    }
    return out;
  }

 private:
  // Figures of the control file by word.
  using Faults = std::map<std::string, double>;

  static std::string Query(const Call& call, const std::string& name) {
    const auto it = call.query.find(name);
    return it == call.query.end() ? "" : it->second;
  }

  static std::string PartitionName(const Call& call) {
    return Query(call, "topic") + "/" + Query(call, "part");
  }

  Faults Control() const {
    Faults out;
    std::ifstream in(control_);
    std::string word;
    for (double figure = 0; in >> word >> figure;) {
      out[word] = figure;
    }
    return out;
  }

  bool Hits(const Faults& faults, const std::string& word) {
    const auto it = faults.find(word);
    if (it == faults.end()) {
      return false;
    }
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_) < it->second;
  }

  std::chrono::milliseconds LateWait() {
    const std::lock_guard lock(mutex_);
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(1000, 6000)(random_));
  }

  void Forget(double keep_s) {
    const std::int64_t before =
        SteadyMs() - static_cast<std::int64_t>(keep_s * 1000);
    const std::lock_guard lock(mutex_);
    for (auto& [name, p] : partitions_) {
      while (p.first < p.records.size() && p.appended_ms[p.first] < before) {
        ++p.first;
      }
    }
  }

  Answer Append(const Faults& faults, const Call& call) {
    const std::string name = PartitionName(call);
    if (Hits(faults, "late")) {
      std::thread([this, call, name, wait = LateWait()] {
        std::this_thread::sleep_for(wait);
        DoAppend(name, call);
        Note("store", "a late append is done: " + name);
      }).detach();
      Note("store", "an append is not answered (late): " + name);
      return {.delivery = Answer::Delivery::kLost};
    }
    Answer out = DoAppend(name, call);
    if (Hits(faults, "lost")) {
      Note("store", "an append is not answered (lost): " + name);
      out.delivery = Answer::Delivery::kLost;
    }
    return out;
  }

  Answer Read(const Call& call) {
    if (call.path == "/v1/log-read") {
      return DoRead(PartitionName(call), call);
    }
    if (call.path == "/v1/log-newest") {
      return DoNewest(PartitionName(call), call);
    }
    return {.status = kNotFound};
  }

  Answer DoAppend(const std::string& name, const Call& call) {
    std::vector<std::string> records;
    std::size_t at = 0;
    while (at + 4 <= call.body.size()) {
      const std::size_t length = ReadBigEndian(call.body, at, 4);
      records.push_back(call.body.substr(at + 4, length));
      at += 4 + length;
      if (length > kMaxRecordBytes || at > kMaxCallBytes) {
        Note("store", "refuses an append of " +
                          std::to_string(call.body.size()) + " bytes");
        return {.status = 413};
      }
    }
    Poco::JSON::Object body;
    const std::lock_guard lock(mutex_);
    Partition& p = partitions_[name];
    Producer* producer = nullptr;
    std::int64_t sequence = 0;
    if (const std::string id = Query(call, "producerId"); !id.empty()) {
      producer = &p.producers[id];
      const std::int64_t epoch = std::stoll(Query(call, "epoch"));
      sequence = std::stoll(Query(call, "sequence"));
      if (epoch < producer->epoch) {
        return {.status = 409, .body = R"({"reason":"fenced"})"};
      }
      if (epoch > producer->epoch) {
        *producer = {.epoch = epoch};
      }
      for (const DoneAppend& done : producer->last) {
        if (done.sequence == sequence && !records.empty()) {
          return done.answer;
        }
      }
      if (!records.empty() && !producer->any_sequence &&
          sequence != producer->next_sequence) {
        body.set("reason", "seq");
        body.set("sequence", producer->next_sequence);
        return {.status = 409, .body = ToText(body)};
      }
    }
    body.set("offset", static_cast<std::int64_t>(p.records.size()));
    p.records.insert(p.records.end(), records.begin(), records.end());
    p.appended_ms.resize(p.records.size(), SteadyMs());
    body.set("endOffset", static_cast<std::int64_t>(p.records.size()));
    Answer answer{.body = ToText(body)};
    if (producer != nullptr && !records.empty()) {
      producer->any_sequence = false;
      producer->next_sequence = sequence + 1;
      producer->last.push_back({.sequence = sequence, .answer = answer});
      if (producer->last.size() > kRepeats) {
        producer->last.pop_front();
      }
    }
    changed_.notify_all();
    return answer;
  }

  Answer DoRead(const std::string& name, const Call& call) {
    const std::size_t from = std::stoull(Query(call, "from"));
    const std::string wait = Query(call, "waitMs");
    std::unique_lock lock(mutex_);
    changed_.wait_for(
        lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait)),
        [&] { return partitions_[name].records.size() > from; });
    const Partition& p = partitions_[name];
    if (from < p.first) {
      return {.status = kGone,
              .body = R"({"firstOffset":)" + std::to_string(p.first) + "}"};
    }
    Answer out{.body = "", .type = "application/octet-stream"};
    PutBigEndian(out.body, p.records.size(), 8);
    PutBigEndian(out.body, p.first, 8);
    for (std::size_t n = from;
         n < p.records.size() && out.body.size() < kMaxReadBytes; ++n) {
      PutBigEndian(out.body, p.records[n].size(), 4);
      out.body += p.records[n];
    }
    return out;
  }

  Answer DoNewest(const std::string& name, const Call& call) {
    const std::lock_guard lock(mutex_);
    const Partition& p = partitions_[name];
    std::map<std::string, std::pair<std::string, std::int64_t>> newest;
    for (std::size_t n = 0; n < p.records.size(); ++n) {
      const std::string& r = p.records[n];
      const auto length = static_cast<unsigned char>(r[0]);
      const std::string key = r.substr(1, length);
      const std::string value = r.substr(1 + length);
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = {value, static_cast<std::int64_t>(n)};
      }
    }
    Poco::JSON::Array items;
    auto it = newest.upper_bound(Query(call, "dependsOn"));
    for (; it != newest.end() && items.size() < page_; ++it) {
      const auto& [key, record] = *it;
      std::ostringstream text;
      Poco::Base64Encoder encoder(text);
      encoder.rdbuf()->setLineLength(0);
      encoder << record.first;
      encoder.close();
      Poco::JSON::Object item;
      item.set("key", key);
      item.set("value", text.str());
      item.set("offset", record.second);
      items.add(item);
    }
    Poco::JSON::Object body;
    body.set("items", items);
    body.set("hasMore", it != newest.end());
    body.set("endOffset", static_cast<std::int64_t>(p.records.size()));
    return {.body = ToText(body)};
  }

  const std::string control_;
  const std::size_t page_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Partition> partitions_;
  std::mt19937 random_;
};

}  // namespace
}  // namespace marjoramplank::standins

int main(int argc, char** argv) {
  const marjoramplank::standins::Options options(argc, argv);
  marjoramplank::standins::Store store(options);
  const marjoramplank::standins::Server server(
      options.Text("address"), 300,
      [&](const marjoramplank::standins::Call& call) {
        return store.Handle(call);
      });
  for (;;) {
    pause();
  }
}
