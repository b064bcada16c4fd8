#pragma once

#include <urcu/urcu-memb.h>

#include <memory>
#include <utility>

namespace marjoramplank {

// Registers the calling thread with liburcu until the thread ends. Later calls
// have no effect.
inline void RegisterRcuThread() {
  struct Registration {
    Registration() { urcu_memb_register_thread(); }
    ~Registration() { urcu_memb_unregister_thread(); }
  };
  thread_local const Registration registration;
}

// A value protected by RCU: one thread replaces it from time to time, and any
// thread reads it without a lock.
template <typename T>
class RcuValue {
 public:
  RcuValue() = default;
  RcuValue(const RcuValue&) = delete;
  RcuValue& operator=(const RcuValue&) = delete;
  ~RcuValue() { delete value_; }

  // Replaces the value. Waits a few microseconds until no reader uses the old
  // one.
  void Set(T value) {
    RegisterRcuThread();
    T* const old = rcu_xchg_pointer(&value_, new T(std::move(value)));
    urcu_memb_synchronize_rcu();
    delete old;
  }

  // Returns a copy of the value. Default: T{}, if none was set.
  T Get() const {
    RegisterRcuThread();
    urcu_memb_read_lock();
    const T* const value = rcu_dereference(value_);
    T out = value == nullptr ? T{} : *value;
    urcu_memb_read_unlock();
    return out;
  }

 private:
  T* value_ = nullptr;
};

}  // namespace marjoramplank
