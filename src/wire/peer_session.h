#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/wire/generated/protocol.capnp.h"
#include "src/wire/messages.h"

namespace marjoramplank {

class PeerSession;

// Callbacks from a session to its owner.
struct SessionCallbacks {
  // The peer has identified itself.
  std::function<void(const std::shared_ptr<PeerSession>&)> on_attached;
  // The peer has sent a message.
  std::function<void(const std::shared_ptr<PeerSession>&, Message)> on_message;
  // A message could not be decoded, for the given reason.
  std::function<void(const std::string&)> on_undecodable;
};

// One connection to a peer. Stays alive while one of its calls is outstanding.
// Used on the event loop's thread only.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(kj::Own<kj::AsyncIoStream> stream,
              ProcessId self,
              bool self_is_entry,
              SessionCallbacks callbacks);

  // Accepts calls on a connection that the peer has opened.
  void Serve();

  // Identifies this process on a connection that it has opened. Resolves once
  // the peer has identified itself.
  kj::Promise<void> SendHello();

  // Resolves when the connection has closed.
  kj::Promise<void> OnDisconnect();

  // Sends without waiting. Returns false if the message is dropped, because the
  // peer is too slow or has not identified itself.
  bool Send(const Message& message);

  // Closes the connection, so that the side that opened it reconnects.
  void Close();

  const ProcessId& peer() const { return peer_; }
  bool peer_is_entry() const { return peer_is_entry_; }
  bool IsAttached() const { return !peer_.name.empty(); }

  // Returns true if calls are outstanding and none has completed since
  // completed_calls() returned the given count.
  bool IsStalledSince(std::uint64_t completed_calls_before) const {
    return outstanding_calls_ > 0 && completed_calls_ == completed_calls_before;
  }
  std::uint64_t completed_calls() const { return completed_calls_; }

 private:
  class NodeServer;

  void Attach(rpc::Hello::Reader hello, rpc::Node::Client node);

  kj::Own<kj::AsyncIoStream> stream_;
  ProcessId self_;
  bool self_is_entry_;
  SessionCallbacks callbacks_;
  ProcessId peer_;
  bool peer_is_entry_ = false;
  kj::Maybe<rpc::Node::Client> remote_node_;
  kj::Own<capnp::TwoPartyClient> rpc_client_;
  std::uint32_t outstanding_calls_ = 0;  // Sent, not yet answered or failed.
  std::uint64_t completed_calls_ = 0;
};

}  // namespace marjoramplank
