#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/observability/metrics.h"
#include "src/wire/peer_session.h"

namespace marjoramplank {

// Manages the connections to the other processes: listens, dials, reconnects
// with backoff, and sends and delivers messages. Used on the event loop's
// thread only.
class PeerHub : private kj::TaskSet::ErrorHandler {
 public:
  struct Options {
    ProcessId self;
    bool is_entry = false;
    std::string listen;  // "IP:port"; port 0: any free one. Empty: no listener.
    // Delay before a reconnection attempt: doubles after each failure, between
    // these limits. Jitter makes it 50% to 150% of that.
    Duration reconnect_min_delay = 100ms;
    Duration reconnect_max_delay = 2s;
    // Interval of the check for stalled peers: a peer with outstanding calls
    // that has completed none since the last check is disconnected.
    Duration stall_timeout = 10s;
  };
  struct Callbacks {
    // A connection to the peer is open.
    std::function<void(const ProcessId&, bool is_entry)> on_connected;
    // The last connection to the peer has closed.
    std::function<void(const std::string& peer)> on_disconnected;
    // The peer has sent a message.
    std::function<void(const std::string& peer, Message)> on_message;
    // A line for the process's log.
    std::function<void(const std::string& line)> on_log_line;
  };

  PeerHub(kj::AsyncIoContext& io,
          Options options,
          Callbacks callbacks,
          Metrics& metrics);
  ~PeerHub() noexcept(false);

  // Starts to listen. Returns the port, or 0 if no address is configured.
  unsigned Listen();

  // Connects to the address and reconnects after each disconnection. Repeated
  // calls have no effect.
  void Dial(const std::string& address);

  // Stops dialling the addresses that were passed to Dial() and are not in the
  // set. Open connections stay.
  void StopDiallingExcept(const std::set<std::string>& addresses);

  // Send without waiting. A message to a peer that is slow or not connected is
  // dropped.
  void Send(const std::string& peer, const Message& message);
  void SendToEntries(const Message& message);

 private:
  // An address that was passed to Dial().
  struct Target {
    Duration backoff{0};         // Latest reconnection delay, before jitter.
    bool keep_connected = true;  // False: do not reconnect.
  };

  void taskFailed(kj::Exception&& exception) override;
  void Accept();
  void WatchSession(std::shared_ptr<PeerSession> session,
                    kj::Promise<void> handshake,
                    const std::string& address);
  void TryDial(const std::string& address);
  void ScheduleReconnect(const std::string& address);
  void OnAttached(const std::shared_ptr<PeerSession>& session);
  void OnClosed(const std::shared_ptr<PeerSession>& session);
  kj::Promise<void> DisconnectStalledPeers();
  SessionCallbacks MakeSessionCallbacks();

  kj::AsyncIoContext& io_;
  Options options_;
  Callbacks callbacks_;
  Metrics& metrics_;
  kj::Own<kj::ConnectionReceiver> listener_;
  std::map<std::string, Target> targets_;
  // By peer name. The latest session of a peer is used for sending.
  std::map<std::string, std::vector<std::shared_ptr<PeerSession>>> sessions_;
  // Calls completed at the previous check for stalled sessions.
  std::map<PeerSession*, std::uint64_t> last_completed_calls_;
  std::uint64_t jitter_state_ = 0;
  kj::TaskSet tasks_;
};

}  // namespace marjoramplank
