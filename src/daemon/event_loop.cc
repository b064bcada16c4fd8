#include "src/daemon/event_loop.h"

#include <future>
#include <utility>

namespace marjoramplank {

EventLoop::EventLoop() {
  std::promise<void> ready;
  thread_ = std::thread([this, &ready] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    io_ = &io;
    executor_ = kj::getCurrentThreadExecutor().addRef();
    auto stop = kj::newPromiseAndFulfiller<void>();
    stop_fulfiller_ = kj::mv(stop.fulfiller);
    ready.set_value();
    stop.promise.wait(io.waitScope);
    if (cleanup_) {
      cleanup_();
    }
  });
  ready.get_future().wait();
}

EventLoop::~EventLoop() {
  Stop({});
}

void EventLoop::Stop(std::function<void()> cleanup) {
  if (!thread_.joinable()) {
    return;
  }
  RunSync([this, &cleanup] {
    cleanup_ = std::move(cleanup);
    stop_fulfiller_->fulfill();
  });
  thread_.join();
}

}  // namespace marjoramplank
