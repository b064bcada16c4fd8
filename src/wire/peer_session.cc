#include "src/wire/peer_session.h"

#include <kj/debug.h>

#include <utility>

#include "src/wire/codec.h"

namespace marjoramplank {

namespace {

// Unanswered calls per session. Messages beyond the limit are dropped: the
// state machines resend what matters.
constexpr std::uint32_t kMaxOutstandingCalls = 512;

void WriteHello(rpc::Hello::Builder out, const ProcessId& self, bool is_entry) {
  out.getProcess().setName(self.name);
  out.getProcess().setIncarnation(self.incarnation);
  out.setIsEntry(is_entry);
}

}  // namespace

// Serves the calls of the peer.
class PeerSession::NodeServer final : public rpc::Node::Server {
 public:
  explicit NodeServer(std::weak_ptr<PeerSession> session)
      : session_(std::move(session)) {}

  kj::Promise<void> attach(AttachContext context) override {
    const std::shared_ptr<PeerSession> session = session_.lock();
    KJ_REQUIRE(session != nullptr, "the session is closed");
    const auto params = context.getParams();
    WriteHello(context.getResults().initHello(), session->self_,
               session->self_is_entry_);
    session->Attach(params.getHello(), params.getNode());
    return kj::READY_NOW;
  }

  kj::Promise<void> deliver(DeliverContext context) override {
    const std::shared_ptr<PeerSession> session = session_.lock();
    KJ_REQUIRE(session != nullptr && session->IsAttached(),
               "the session is closed or not introduced");
    Result<Message> message = FromWire(context.getParams().getMessage());
    if (Message* const m = std::get_if<Message>(&message)) {
      session->callbacks_.on_message(session, std::move(*m));
    } else {
      session->callbacks_.on_undecodable(std::get<Error>(message).message);
    }
    return kj::READY_NOW;
  }

 private:
  std::weak_ptr<PeerSession> session_;
};

PeerSession::PeerSession(kj::Own<kj::AsyncIoStream> stream,
                         ProcessId self,
                         bool self_is_entry,
                         SessionCallbacks callbacks)
    : stream_(kj::mv(stream)),
      self_(std::move(self)),
      self_is_entry_(self_is_entry),
      callbacks_(std::move(callbacks)) {}

void PeerSession::Serve() {
  rpc_client_ = kj::heap<capnp::TwoPartyClient>(
      *stream_, kj::heap<NodeServer>(weak_from_this()),
      capnp::rpc::twoparty::Side::SERVER);
}

kj::Promise<void> PeerSession::SendHello() {
  rpc_client_ = kj::heap<capnp::TwoPartyClient>(*stream_);
  rpc::Node::Client node = rpc_client_->bootstrap().castAs<rpc::Node>();
  auto request = node.attachRequest();
  WriteHello(request.initHello(), self_, self_is_entry_);
  request.setNode(kj::heap<NodeServer>(weak_from_this()));
  return request.send().then(
      [self = shared_from_this(), node](auto&& response) mutable {
        self->Attach(response.getHello(), kj::mv(node));
      });
}

kj::Promise<void> PeerSession::OnDisconnect() {
  return rpc_client_->onDisconnect();
}

void PeerSession::Close() {
  stream_->shutdownWrite();
  stream_->abortRead();
}

void PeerSession::Attach(rpc::Hello::Reader hello, rpc::Node::Client node) {
  peer_ = {.name = hello.getProcess().getName().cStr(),
           .incarnation = hello.getProcess().getIncarnation()};
  peer_is_entry_ = hello.getIsEntry();
  remote_node_ = kj::mv(node);
  callbacks_.on_attached(shared_from_this());
}

bool PeerSession::Send(const Message& message) {
  KJ_IF_MAYBE (remote, remote_node_) {
    if (outstanding_calls_ >= kMaxOutstandingCalls) {
      return false;
    }
    auto request = remote->deliverRequest();
    ToWire(message, request.initMessage());
    ++outstanding_calls_;
    auto on_reply = [self = shared_from_this()] {
      --self->outstanding_calls_;
      ++self->completed_calls_;
    };
    auto on_failure = [self = shared_from_this()](kj::Exception&&) {
      --self->outstanding_calls_;
    };
    request.send()
        .ignoreResult()
        .then(kj::mv(on_reply), kj::mv(on_failure))
        .detach([](kj::Exception&&) {});
    return true;
  }
  return false;
}

}  // namespace marjoramplank
