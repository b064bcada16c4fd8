// Stand-in for the platform's store, in its form as a log: log-append,
// log-read and log-newest as PROTOCOL.md has them.
//   store --address IP:PORT [--control FILE]
// It answers after 4 ms. The control file may hold a line
// "lost SHARE": that share of the appends is done and not answered;
// "late SHARE": they are done 1 to 6 s later instead;
// "silent 1": no call is done or answered.

#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>
#include <tuple>
#include <vector>

#include <Poco/Base64Encoder.h>

#include "common.hpp"

namespace review {
namespace {

constexpr std::chrono::milliseconds kAnswerTime{4};
constexpr std::chrono::milliseconds kControlPoll{10};
constexpr std::size_t kMaxReadBytes = 1024 * 1024;
constexpr std::size_t kRepeats = 5;
constexpr std::size_t kMaxRecordBytes = 262'144;
constexpr std::size_t kMaxCallBytes = 2'097'152;

struct Append {
  std::int64_t sequence = 0;
  Answer answer;
};

struct Producer {
  std::int64_t epoch = -1;
  std::int64_t next_sequence = 0;
  bool any_sequence = true;
  std::deque<Append> last;
};

struct Partition {
  std::vector<std::string> records;
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
  explicit Store(std::string control) : control_(std::move(control)) {}

  Answer Handle(const Call& call) {
    if (Control().first == "silent") {
      while (Control().first == "silent") {
        std::this_thread::sleep_for(kControlPoll);
      }
      return {.lost = true};
    }
    const std::string name = Query(call, "topic") + "/" + Query(call, "part");
    if (call.path == "/v1/log-append") {
      std::string how;
      if (IsLost(how)) {
        if (how == "late") {
          std::thread([this, call, name, wait = LateWait()] {
            std::this_thread::sleep_for(wait);
            DoAppend(name, call);
            Note("store", "a late append is done: " + name);
          }).detach();
        } else {
          DoAppend(name, call);
        }
        Note("store", "an append is not answered (" + how + "): " + name);
        return {.lost = true};
      }
      std::this_thread::sleep_for(kAnswerTime);
      return DoAppend(name, call);
    }
    std::this_thread::sleep_for(kAnswerTime);
    if (call.path == "/v1/log-read") {
      return DoRead(name, call);
    }
    if (call.path == "/v1/log-newest") {
      return DoNewest(name, call);
    }
    return {.status = 404};
  }

 private:
  static std::string Query(const Call& call, const std::string& name) {
    const auto it = call.query.find(name);
    return it == call.query.end() ? "" : it->second;
  }

  std::pair<std::string, double> Control() const {
    std::pair<std::string, double> out;
    std::ifstream in(control_);
    if (control_.empty() || !(in >> out.first >> out.second)) {
      return {};
    }
    return out;
  }

  bool IsLost(std::string& how) {
    double share = 0;
    std::tie(how, share) = Control();
    const std::lock_guard lock(mutex_);
    return (how == "lost" || how == "late") &&
           std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  std::chrono::milliseconds LateWait() {
    const std::lock_guard lock(mutex_);
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(1000, 6000)(random_));
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
      for (const Append& done : producer->last) {
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
    body.set("endOffset", static_cast<std::int64_t>(p.records.size()));
    const Answer answer{.body = ToText(body)};
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
    Answer out{.body = "", .type = "application/octet-stream"};
    PutBigEndian(out.body, p.records.size(), 8);
    PutBigEndian(out.body, 0, 8);
    for (std::size_t n = from;
         n < p.records.size() && out.body.size() < kMaxReadBytes; ++n) {
      PutBigEndian(out.body, p.records[n].size(), 4);
      out.body += p.records[n];
    }
    return out;
  }

  // All keys in one page: the topics of a case are small.
  Answer DoNewest(const std::string& name, const Call&) {
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
    for (const auto& [key, record] : newest) {
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
    body.set("hasMore", false);
    body.set("endOffset", static_cast<std::int64_t>(p.records.size()));
    return {.body = ToText(body)};
  }

  const std::string control_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Partition> partitions_;
  std::mt19937 random_{std::random_device{}()};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::Options options(argc, argv);
  review::Store store(options.Text("control"));
  const review::Server server(
      options.Text("address"), 300,
      [&](const review::Call& call) { return store.Handle(call); });
  for (;;) {
    pause();
  }
}
