#include "src/wire/peer_hub.h"

#include <arpa/inet.h>
#include <kj/debug.h>
#include <netinet/in.h>

#include <algorithm>
#include <utility>

namespace marjoramplank {

namespace {

kj::Duration ToKj(Duration d) {
  return d.count() * kj::MILLISECONDS;
}

// Parses "IP:port". Host names are not supported, so there is no lookup to wait
// for.
kj::Own<kj::NetworkAddress> ParseAddress(kj::AsyncIoContext& io,
                                         const std::string& text) {
  const std::size_t colon = text.rfind(':');
  KJ_REQUIRE(colon != std::string::npos,
             "an address must have the form IP:port", text);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  KJ_REQUIRE(
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1,
      "not an IPv4 address", text);
  return io.provider->getNetwork().getSockaddr(&address, sizeof address);
}

}  // namespace

PeerHub::PeerHub(kj::AsyncIoContext& io,
                 Options options,
                 Callbacks callbacks,
                 Metrics& metrics)
    : io_(io),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      jitter_state_(options_.self.incarnation),
      tasks_(*this) {
  tasks_.add(DisconnectStalledPeers());
}

PeerHub::~PeerHub() noexcept(false) = default;

void PeerHub::taskFailed(kj::Exception&& exception) {
  callbacks_.on_log_line(std::string("connection error: ") +
                         exception.getDescription().cStr());
}

unsigned PeerHub::Listen() {
  if (options_.listen.empty()) {
    return 0;
  }
  listener_ = ParseAddress(io_, options_.listen)->listen();
  Accept();
  return listener_->getPort();
}

void PeerHub::Accept() {
  tasks_.add(
      listener_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        auto session = std::make_shared<PeerSession>(
            kj::mv(stream), options_.self, options_.is_entry,
            MakeSessionCallbacks());
        session->Serve();
        WatchSession(std::move(session), kj::READY_NOW, "");
        Accept();
      }));
}

SessionCallbacks PeerHub::MakeSessionCallbacks() {
  return {.on_attached =
              [this](const std::shared_ptr<PeerSession>& s) { OnAttached(s); },
          .on_message =
              [this](const std::shared_ptr<PeerSession>& s, Message m) {
                callbacks_.on_message(s->peer().name, std::move(m));
              },
          .on_undecodable =
              [this](const std::string& reason) {
                callbacks_.on_log_line("rejected an undecodable message: " +
                                       reason);
              }};
}

void PeerHub::WatchSession(std::shared_ptr<PeerSession> session,
                           kj::Promise<void> handshake,
                           const std::string& address) {
  auto until_disconnected =
      handshake.then([session] { return session->OnDisconnect(); });
  auto closed = [this, session, address] {
    OnClosed(session);
    if (!address.empty()) {
      ScheduleReconnect(address);
    }
  };
  auto session_closed = until_disconnected.then(
      kj::cp(closed), [closed](kj::Exception&&) { closed(); });
  tasks_.add(session_closed.attach(kj::mv(session)));
}

void PeerHub::Dial(const std::string& address) {
  const auto [it, added] = targets_.emplace(address, Target{});
  const bool resumed = !added && !it->second.keep_connected;
  it->second.keep_connected = true;
  if (added || resumed) {
    TryDial(address);
  }
}

void PeerHub::StopDiallingExcept(const std::set<std::string>& addresses) {
  for (auto& [address, target] : targets_) {
    target.keep_connected = addresses.contains(address);
  }
}

void PeerHub::TryDial(const std::string& address) {
  kj::Own<kj::NetworkAddress> parsed = ParseAddress(io_, address);
  auto connected = parsed->connect();
  tasks_.add(
      connected.attach(kj::mv(parsed))
          .then(
              [this, address](kj::Own<kj::AsyncIoStream>&& stream) {
                auto session = std::make_shared<PeerSession>(
                    kj::mv(stream), options_.self, options_.is_entry,
                    MakeSessionCallbacks());
                auto handshake = session->SendHello().then([this, address] {
                  targets_[address].backoff = Duration{0};
                });
                WatchSession(std::move(session), kj::mv(handshake), address);
              },
              [this, address](kj::Exception&&) {
                ScheduleReconnect(address);
              }));
}

void PeerHub::ScheduleReconnect(const std::string& address) {
  Target& target = targets_[address];
  if (!target.keep_connected) {
    targets_.erase(address);
    return;
  }
  target.backoff = std::clamp(target.backoff * 2, options_.reconnect_min_delay,
                              options_.reconnect_max_delay);
  // A linear congruential generator is random enough to keep the processes from
  // reconnecting in step. The delay is 50% to 150% of the backoff.
  jitter_state_ =
      jitter_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
  const Duration delay =
      target.backoff / 2 +
      Duration{static_cast<std::int64_t>(jitter_state_ >> 33) %
               target.backoff.count()};
  tasks_.add(
      io_.provider->getTimer().afterDelay(ToKj(delay)).then([this, address] {
        const auto it = targets_.find(address);
        if (it != targets_.end() && it->second.keep_connected) {
          TryDial(address);
        } else if (it != targets_.end()) {
          targets_.erase(it);
        }
      }));
}

void PeerHub::OnAttached(const std::shared_ptr<PeerSession>& session) {
  if (session->peer().name == options_.self.name &&
      session->peer_is_entry() == options_.is_entry) {
    return;  // A connection to this process itself.
  }
  sessions_[session->peer().name].push_back(session);
  callbacks_.on_connected(session->peer(), session->peer_is_entry());
}

void PeerHub::OnClosed(const std::shared_ptr<PeerSession>& session) {
  last_completed_calls_.erase(session.get());
  const auto it = sessions_.find(session->peer().name);
  if (it == sessions_.end()) {
    return;
  }
  std::erase(it->second, session);
  if (it->second.empty()) {
    sessions_.erase(it);
    callbacks_.on_disconnected(session->peer().name);
  }
}

kj::Promise<void> PeerHub::DisconnectStalledPeers() {
  return io_.provider->getTimer()
      .afterDelay(ToKj(options_.stall_timeout))
      .then([this] {
        std::vector<std::shared_ptr<PeerSession>> stalled;
        for (auto& [name, sessions] : sessions_) {
          for (const std::shared_ptr<PeerSession>& session : sessions) {
            const auto [it, added] = last_completed_calls_.emplace(
                session.get(), session->completed_calls());
            if (!added && session->IsStalledSince(it->second)) {
              stalled.push_back(session);
            }
            it->second = session->completed_calls();
          }
        }
        for (const std::shared_ptr<PeerSession>& session : stalled) {
          callbacks_.on_log_line(
              "disconnecting the stalled peer " + ToString(session->peer()) +
              ": it has answered no call since the last check");
          session->Close();
          OnClosed(session);
        }
        return DisconnectStalledPeers();
      });
}

void PeerHub::Send(const std::string& peer, const Message& message) {
  const auto it = sessions_.find(peer);
  if (it == sessions_.end() || !it->second.back()->Send(message)) {
    metrics_.Add(Counter::kMessagesDropped);
    return;
  }
  metrics_.Add(Counter::kMessagesOut);
}

void PeerHub::SendToEntries(const Message& message) {
  for (auto& [name, sessions] : sessions_) {
    if (sessions.back()->peer_is_entry()) {
      Send(name, message);
    }
  }
}

}  // namespace marjoramplank
