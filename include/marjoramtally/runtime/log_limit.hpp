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
  static constexpr double kBurstLines = 1000;

  /// @returns whether a line may be written now
  [[nodiscard]] bool Admit(TimePoint aNow) noexcept
  {
    const double seconds = std::chrono::duration<double>(aNow - last_).count();
    last_ = aNow;
    tokens_ = std::min(kBurstLines, tokens_ + seconds * kLinesPerSecond);
    if (tokens_ < 1.0) {
      CountDropped();
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

  /// A line was not written.
  void CountDropped() noexcept { ++dropped_; }

  /// @returns how many lines were left out since this was last told; 0 while
  /// still more are
  [[nodiscard]] std::uint64_t TakeDroppedCount(TimePoint aNow) noexcept
  {
    const double seconds = std::chrono::duration<double>(aNow - last_).count();
    if (dropped_ == 0 || tokens_ + seconds * kLinesPerSecond < 2.0) {
      return 0;
    }
    const std::uint64_t count = dropped_;
    dropped_ = 0;
    return count;
  }

private:
  double tokens_ = kBurstLines;
  TimePoint last_;
  std::uint64_t dropped_ = 0;
};

/// Lines that the reader has not taken yet.
class LogBuffer
{
public:
  /// Most bytes held.
  static constexpr std::size_t kMaxBytes = 256U * 1024U;

  /// @returns whether there was room; else nothing is held of the line
  [[nodiscard]] bool Put(std::string_view aLine)
  {
    if (bytes_.size() - written_ + aLine.size() > kMaxBytes) {
      return false;
    }
    bytes_ += aLine;
    return true;
  }
  [[nodiscard]] bool empty() const noexcept
  {
    return written_ == bytes_.size();
  }
  /// @returns what is to be written next
  [[nodiscard]] std::string_view Front() const noexcept
  {
    return std::string_view(bytes_).substr(written_);
  }
  /// The first bytes were written.
  void Consume(std::size_t aBytes)
  {
    written_ += std::min(aBytes, bytes_.size() - written_);
    if (empty()) {
      bytes_.clear();
      written_ = 0;
    }
  }

private:
  std::string bytes_;
  std::size_t written_ = 0;
};

} // namespace marjoramtally
