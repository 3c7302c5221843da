#include "marjoramtally/process/rcu_cell.hpp"

#include <urcu/urcu-memb.h>

namespace marjoramtally {

namespace {

/// Registers a thread with liburcu for its lifetime.
struct ThreadRegistration
{
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

void
EnsureRegistered()
{
  static thread_local const ThreadRegistration registration;
  static_cast<void>(registration);
}

} // namespace

RcuReadGuard::RcuReadGuard() noexcept
{
  EnsureRegistered();
  urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
  urcu_memb_read_unlock();
}

void
WaitForRcuReaders()
{
  urcu_memb_synchronize_rcu();
}

} // namespace marjoramtally
