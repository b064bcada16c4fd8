#include "tests/soak/client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <thread>

#include "tests/soak/random.h"
#include "tests/soak/site.h"
#include "tests/standins/standin.h"

namespace marjoramplank::soak {
namespace {

using standins::Note;
using standins::SteadyMs;

constexpr std::int64_t kPollMs = 700;
constexpr std::int64_t kRetryMs = 300;
constexpr int kOk = 200;
constexpr int kGone = 410;

void Pause(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool IsSuccess(int status) {
  return status >= kOk && status < 300;
}

bool IsRejection(int status) {
  return status == 429 || status == 503 || status == 404;
}

Reply Exchange(Poco::Net::HTTPClientSession& session, const Request& in) {
  session.setTimeout(Poco::Timespan(in.limit_ms * 1000));
  Poco::Net::HTTPRequest request(in.method, in.target, "HTTP/1.1");
  request.set("Host", kHost);
  request.set("Authorization", std::string("Bearer ") + kApiKey);
  request.set("Timeout-Remaining-Ms", std::to_string(in.limit_ms));
  request.setKeepAlive(true);
  if (in.method == "POST") {
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(in.body.size()));
  }
  session.sendRequest(request) << in.body;
  Poco::Net::HTTPResponse response;
  Reply out;
  std::istream& body = session.receiveResponse(response);
  Poco::StreamCopier::copyToString(body, out.body);
  const bool whole =
      !response.hasContentLength() ||
      out.body.size() == static_cast<std::size_t>(response.getContentLength());
  out.status = whole ? response.getStatus() : 0;
  return out;
}

class JobClient {
 public:
  JobClient(const Job& job,
            const std::vector<std::string>& entries,
            std::uint64_t seed,
            const std::atomic<bool>& closed,
            const std::atomic<bool>& stopped)
      : job_(job),
        entries_(entries),
        closed_(closed),
        stopped_(stopped),
        random_(seed) {}

  void Run() {
    const std::int64_t begin = SteadyMs();
    if (!HandIn()) {
      return;
    }
    bool cancelled = job_.cancel_after_ms == 0;
    while (!stopped_) {
      if (!cancelled && SteadyMs() - begin >= job_.cancel_after_ms) {
        cancelled = Cancel();
      }
      if (HasEnded()) {
        return;
      }
      Pause(kPollMs);
    }
  }

 private:
  Reply Call(const std::string& method, const std::string& body = "") {
    entry_ = random_.Between(1, static_cast<std::int64_t>(entries_.size()));
    return Send({.method = method,
                 .address = entries_.at(static_cast<std::size_t>(entry_ - 1)),
                 .target = job_.prefix + job_.id,
                 .body = body});
  }

  void Say(const std::string& what) const {
    Note("client", job_.id + " " + what + " entry-" + std::to_string(entry_));
  }

  // True once the job is accepted.
  bool HandIn() {
    bool in_doubt = false;
    while (!stopped_) {
      const Reply reply = Call("POST", job_.body);
      if (IsSuccess(reply.status)) {
        Say("accepted");
        return true;
      }
      in_doubt = in_doubt || !IsRejection(reply.status);
      const bool gives_up =
          IsRejection(reply.status) && (!job_.persistent || closed_);
      if (gives_up) {
        Say(in_doubt ? "unknown" : "refused");
        return false;
      }
      Pause(kRetryMs);
    }
    Say("unknown");
    return false;
  }

  bool Cancel() {
    Say("cancelling");
    const Reply reply = Call("DELETE");
    const bool done = IsSuccess(reply.status);
    if (done) {
      Say("cancelled");
    }
    return done || reply.status == kGone;
  }

  bool HasEnded() {
    const std::int64_t asked = standins::UnixMs();
    const Reply reply = Call("GET");
    if (reply.status == kGone) {
      Say("gone");
      return false;
    }
    if (!IsSuccess(reply.status)) {
      return false;
    }
    std::string state = "unreadable";
    try {
      state = standins::ParseObject(reply.body)
                  ->optValue<std::string>("state", state);
    } catch (const Poco::Exception&) {
      state = "unreadable";
    }
    if (state != state_) {
      Say("state-" + state + " asked " + std::to_string(asked) +
          (state == "unreadable" ? " " + reply.body : ""));
    }
    state_ = state;
    return state == "completed" || state == "failed" || state == "cancelled";
  }

  const Job& job_;
  const std::vector<std::string>& entries_;
  const std::atomic<bool>& closed_;
  const std::atomic<bool>& stopped_;
  Random random_;
  std::int64_t entry_ = 0;
  std::string state_;
};

}  // namespace

Reply Send(const Request& request) {
  try {
    Poco::Net::HTTPClientSession session{
        Poco::Net::SocketAddress(request.address)};
    return Exchange(session, request);
  } catch (const Poco::Exception&) {
    return {};
  }
}

bool PutEntry(const std::string& store,
              const std::string& key,
              const std::string& value) {
  std::string record;
  const std::size_t size = 1 + key.size() + value.size();
  for (int shift = 24; shift >= 0; shift -= 8) {
    record.push_back(static_cast<char>(size >> shift & 0xff));
  }
  record.push_back(static_cast<char>(key.size()));
  record += key + value;
  return Send({.method = "POST",
               .address = store,
               .target = "/v1/log-append?topic=keyed.op&part=0",
               .body = record})
             .status == kOk;
}

void FollowJob(const Job& job,
               const std::vector<std::string>& entries,
               std::uint64_t seed,
               const std::atomic<bool>& closed,
               const std::atomic<bool>& stopped) {
  JobClient(job, entries, seed, closed, stopped).Run();
}

void UseConnection(const std::string& name,
                   const std::string& address,
                   const std::atomic<bool>& stopped) {
  constexpr std::int64_t kIntervalMs = 40;
  std::int64_t sent = SteadyMs();
  bool awaits = false;
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    while (!stopped) {
      sent = SteadyMs();
      awaits = true;
      Exchange(session, {.method = "GET",
                         .address = address,
                         .target = "/pule252/00000000000000ff"});
      awaits = false;
      if (!session.connected()) {  // The entry closes it with its answer.
        return;
      }
      Pause(kIntervalMs);
    }
  } catch (const Poco::Exception& e) {
    if (awaits) {
      Note("client", "connection " + name + " ends without an answer after " +
                         std::to_string(SteadyMs() - sent) + " ms");
    }
  }
}

}  // namespace marjoramplank::soak
