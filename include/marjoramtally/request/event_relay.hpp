/// Relays an event stream across retries. Complete events are passed to the
/// caller unchanged, each once and in order.
#pragma once

#include "marjoramtally/request/event_stream.hpp"

namespace marjoramtally {

/// State of one relayed event stream. Event ids are consecutive numbers. The
/// first id may be any number, unless the caller already received events.
class EventRelay
{
public:
  EventRelay() = default;
  /// @param aHeld id of the last event that the caller received earlier
  explicit EventRelay(std::uint64_t aHeld) noexcept
    : last_(aHeld)
  {
  }

  /// Starts an attempt; drops an incomplete event of the previous attempt.
  void StartAttempt() noexcept;
  /// Processes the next bytes of the attempt; drops them after a fault.
  /// @returns the events that these bytes complete, unchanged
  [[nodiscard]] std::string Feed(std::string_view aBytes);
  /// @returns the error that ends the attempt: an event is too long or out of
  /// sequence; empty if there is none
  [[nodiscard]] const std::string& Fault() const noexcept { return fault_; }
  /// @returns id of the last event passed to the caller, if any
  [[nodiscard]] std::optional<std::uint64_t> Last() const noexcept
  {
    return last_;
  }
  /// @returns whether a retry can resume after the last event: every event so
  /// far had a numeric id
  [[nodiscard]] bool CanResume() const noexcept { return allNumbered_; }
  /// @returns whether an incomplete event is buffered
  [[nodiscard]] bool Partial() const noexcept { return !event_.empty(); }

private:
  [[nodiscard]] bool EventEnds() noexcept;
  /// Checks the id of a complete event; sets the fault if it is out of
  /// sequence.
  void CheckEvent();

  std::optional<std::uint64_t> last_;
  bool allNumbered_ = true;
  std::string fault_;
  /// Bytes of the incomplete event, and the offset of its current line.
  std::string event_;
  std::size_t lineStart_ = 0;
};

} // namespace marjoramtally
