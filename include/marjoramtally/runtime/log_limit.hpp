/// Bounds on what a process logs, so that logging neither waits for a slow
/// reader nor grows without end under load.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramtally {

/// Admits lines at a bounded rate and counts what was left out.
class LogLimit
{
public:
  /// Lines a second: 40 KB at 200 bytes a line, a tenth of what the smallest
  /// instances' links carry in that time.
  static constexpr double kLinesPerSecond = 200;
  /// Lines at once: a restart or a failover of a large job.
  static constexpr double kBurst = 1000;

  /// @returns whether a line may be written now
  [[nodiscard]] bool Admit(TimePoint aNow) noexcept
  {
    const double seconds = std::chrono::duration<double>(aNow - last_).count();
    last_ = aNow;
    tokens_ = std::min(kBurst, tokens_ + seconds * kLinesPerSecond);
    if (tokens_ < 1.0) {
      LeaveOut();
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// A line was not written.
  void LeaveOut() noexcept { ++leftOut_; }

  /// @returns how many lines were left out since this was last told; 0 while
  /// still more are
  [[nodiscard]] std::uint64_t TakeLeftOut(TimePoint aNow) noexcept
  {
    const double seconds = std::chrono::duration<double>(aNow - last_).count();
    if (leftOut_ == 0 || tokens_ + seconds * kLinesPerSecond < 2.0) {
      return 0;
    }
    const std::uint64_t count = leftOut_;
    leftOut_ = 0;
    return count;
  }

private:
  double tokens_ = kBurst;
  TimePoint last_;
  std::uint64_t leftOut_ = 0;
};

/// Lines that the reader has not taken yet.
class LogBuffer
{
public:
  /// Most bytes held.
  static constexpr std::size_t kMostBytes = 256U * 1024U;

  /// @returns whether there was room; else nothing is held of the line
  [[nodiscard]] bool Put(std::string_view aLine)
  {
    if (bytes_.size() - taken_ + aLine.size() > kMostBytes) {
      return false;
    }
    bytes_ += aLine;
    return true;
  }
  [[nodiscard]] bool empty() const noexcept { return taken_ == bytes_.size(); }
  /// @returns what is to be written next
  [[nodiscard]] std::string_view Front() const noexcept
  {
    return std::string_view(bytes_).substr(taken_);
  }
  /// The first bytes were written.
  void Drop(std::size_t aBytes)
  {
    taken_ += std::min(aBytes, bytes_.size() - taken_);
    if (empty()) {
      bytes_.clear();
      taken_ = 0;
    }
  }

private:
  std::string bytes_;
  std::size_t taken_ = 0;
};

} // namespace marjoramtally
