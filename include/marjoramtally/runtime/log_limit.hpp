/// Limits on what a process logs, so that logging neither blocks on a slow
/// reader nor grows without bound under load.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marjoramtally {

/// A token bucket that is full at first.
class LineAllowance
{
public:
  constexpr LineAllowance(double aPerSecond, double aBurst) noexcept
    : perSecond_(aPerSecond)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /// @returns tokens available at a time that is not before the last one taken
  [[nodiscard]] double Available(TimePoint aNow) const noexcept
  {
    const double seconds = std::chrono::duration<double>(aNow - last_).count();
    return std::min(burst_, tokens_ + seconds * perSecond_);
  }
  /// Takes a token, if there is one.
  bool Take(TimePoint aNow) noexcept
  {
    tokens_ = Available(aNow);
    last_ = aNow;
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

private:
  double perSecond_;
  double burst_;
  double tokens_;
  TimePoint last_;
};

/// Limits the rate of lines and counts those dropped. Events that are seldom
/// logged have a reserve, so that a flood of one event hides no other.
class LogLimit
{
public:
  /// 40 KB/s at 200 bytes per line, a tenth of the link bandwidth of the
  /// smallest instances.
  static constexpr double kLinesPerSecond = 200;
  /// Lines admitted in a burst: enough for a restart or a failover of a large
  /// job.
  static constexpr double kBurstLines = 1000;
  /// Lines in reserve, for all events together.
  static constexpr double kReservePerSecond = 50;
  static constexpr double kReserveBurst = 200;
  /// Lines of one event that may use the reserve.
  static constexpr double kEventPerSecond = 5;
  static constexpr double kEventBurst = 20;

  /// @returns whether a line may be written now
  [[nodiscard]] bool Admit(TimePoint aNow, std::string_view aEvent = {})
  {
    auto event = events_.find(aEvent);
    if (event == events_.end()) {
      event = events_
                .emplace(std::string(aEvent),
                         LineAllowance(kEventPerSecond, kEventBurst))
                .first;
    }
    const bool seldom = event->second.Take(aNow);
    if (lines_.Take(aNow) || (seldom && reserve_.Take(aNow))) {
      return true;
    }
    CountDropped();
    return false;
  }

  /// Counts a line that was not written.
  void CountDropped() noexcept { ++dropped_; }

  /// @returns the number of lines dropped since the last call that returned
  /// one; 0 while lines are still being dropped
  [[nodiscard]] std::uint64_t TakeDroppedCount(TimePoint aNow) noexcept
  {
    if (dropped_ == 0 || lines_.Available(aNow) < 2.0) {
      return 0;
    }
    const std::uint64_t count = dropped_;
    dropped_ = 0;
    return count;
  }

private:
  LineAllowance lines_{ kLinesPerSecond, kBurstLines };
  LineAllowance reserve_{ kReservePerSecond, kReserveBurst };
  std::map<std::string, LineAllowance, std::less<>> events_;
  std::uint64_t dropped_ = 0;
};

/// Buffer of lines that the reader has not yet accepted.
class LogBuffer
{
public:
  /// Capacity in bytes.
  static constexpr std::size_t kMaxBytes = 256U * 1024U;

  /// Appends a line.
  /// @returns false if there is no room; the line is then dropped completely
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
  /// @returns the bytes to be written next
  [[nodiscard]] std::string_view Front() const noexcept
  {
    return std::string_view(bytes_).substr(written_);
  }
  /// Removes the first bytes after they were written.
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
