/// Read-copy-update (RCU) on top of liburcu: readers of shared state take no
/// lock.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace marjoramtally {

/// Read-side critical section of the current thread. Must be short, and must
/// not enclose a call of `RcuCell::Publish`, which would deadlock.
class RcuReadGuard
{
public:
  RcuReadGuard() noexcept;
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/// Waits until all current read-side critical sections have ended.
void
WaitForRcuReaders();

/// Pointer to immutable state that writers replace.
template<typename T>
class RcuCell
{
public:
  explicit RcuCell(std::unique_ptr<const T> aInitial)
    : current_(aInitial.release())
  {
  }
  ~RcuCell() { delete current_.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// @returns the current state; valid for the lifetime of the guard
  [[nodiscard]] const T& Read(const RcuReadGuard& /*aGuard*/) const noexcept
  {
    return *current_.load(std::memory_order_acquire);
  }

  /// Replaces the state. Writers are serialized; replaced states are freed in
  /// batches, after their readers have ended.
  void Publish(std::unique_ptr<const T> aNext)
  {
    const std::lock_guard lock(mutex_);
    retired_.emplace_back(
      current_.exchange(aNext.release(), std::memory_order_acq_rel));
    if (retired_.size() >= kMaxRetired) {
      WaitForRcuReaders();
      retired_.clear();
    }
  }

private:
  static constexpr std::size_t kMaxRetired = 8;

  std::atomic<const T*> current_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<const T>> retired_;
};

} // namespace marjoramtally
