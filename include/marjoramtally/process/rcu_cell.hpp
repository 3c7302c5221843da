/// Read-copy-update by liburcu: readers of shared state take no lock.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace marjoramtally {

/// A read-side critical section of this thread. Short, never nested with a
/// publication.
class RcuReadGuard
{
public:
  RcuReadGuard() noexcept;
  ~RcuReadGuard();
  RcuReadGuard(const RcuReadGuard&) = delete;
  RcuReadGuard& operator=(const RcuReadGuard&) = delete;
};

/// Waits until all read-side sections that run now have ended.
void
WaitForRcuReaders();

/// A pointer to immutable state; writers replace the state as a whole.
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

  /// @returns the present state; valid while the guard lives
  [[nodiscard]] const T& Read(const RcuReadGuard& /*aGuard*/) const noexcept
  {
    return *current_.load(std::memory_order_acquire);
  }

  /// Replaces the state. Writers take turns; old states are freed together,
  /// after their readers are gone.
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
