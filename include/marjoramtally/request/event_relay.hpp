/// One event stream over all attempts that make it: whole events go to the
/// caller byte by byte as the upstream wrote them, each once and in order.
#pragma once

#include "marjoramtally/request/event_stream.hpp"

namespace marjoramtally {

/// What a caller holds of its stream and what of an attempt is new to it.
/// Events are numbered without gaps; the first may bear any number unless
/// the caller already holds some.
class EventRelay
{
public:
  EventRelay() = default;
  /// @param aHeld number of the last event that the caller brought along
  explicit EventRelay(std::uint64_t aHeld) noexcept
    : last_(aHeld)
  {
  }

  /// Starts an attempt; an unfinished event of the one before is dropped.
  void StartAttempt() noexcept;
  /// Takes the next bytes of the attempt. After a fault they are dropped.
  /// @returns the whole events that they complete, unchanged
  [[nodiscard]] std::string Feed(std::string_view aBytes);
  /// @returns why the attempt is to be given up: an event is too long or not
  /// the next one; empty while it is sound
  [[nodiscard]] const std::string& Fault() const noexcept { return fault_; }
  /// @returns number of the last event held, if any
  [[nodiscard]] std::optional<std::uint64_t> Last() const noexcept
  {
    return last_;
  }
  /// @returns whether another attempt can go on where this one stopped: every
  /// event passed on bears its number
  [[nodiscard]] bool CanResume() const noexcept { return allNumbered_; }
  /// @returns whether bytes of an unfinished event are held
  [[nodiscard]] bool Partial() const noexcept { return !event_.empty(); }

private:
  [[nodiscard]] bool EventEnds() noexcept;
  /// Counts the event, or finds the fault.
  void CheckEvent();

  std::optional<std::uint64_t> last_;
  bool allNumbered_ = true;
  std::string fault_;
  /// Bytes of the event in progress, and where its present line begins.
  std::string event_;
  std::size_t lineStart_ = 0;
};

} // namespace marjoramtally
