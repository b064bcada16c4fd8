#pragma once

#include <kj/async-io.h>

#include <functional>
#include <thread>

namespace marjoramplank {

// A thread that runs a KJ event loop. State machines and connections are used
// only on this thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs a function on the loop's thread, waits and returns its result. Must
  // not be called from that thread.
  template <typename F>
  auto RunSync(F f) const {
    return executor_->executeSync(std::move(f));
  }

  // Runs `cleanup` on the loop's thread, then ends and joins the thread. Later
  // calls have no effect.
  void Stop(std::function<void()> cleanup);

  kj::AsyncIoContext& io() { return *io_; }  // For use on the loop's thread.

 private:
  kj::AsyncIoContext* io_ = nullptr;
  kj::Own<const kj::Executor> executor_;
  kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
  std::function<void()> cleanup_;
  std::thread thread_;
};

}  // namespace marjoramplank
