/// The latest changes under one prefix of the store, which a relay keeps for
/// its peers.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/store.hpp"

#include <deque>
#include <optional>

namespace marjoramtally {

/// Bounded history of one prefix.
class WatchHistory
{
public:
  /// Maximum number of changes kept.
  static constexpr std::size_t kMaxChanges = 2048;
  /// Maximum bytes of keys and values kept. What a relay sends to 72 peers
  /// in one burst is then below 38 MB; each process reads a larger change from
  /// the store, which has the faster link.
  static constexpr std::size_t kMaxBytes = 512UL * 1024UL;
  /// Largest change kept, in bytes: 72 peers get it together, which is 4.7 MB
  /// or 0.6 s of a 60 Mbit/s link; a relay that needs more than a second counts
  /// as unresponsive.
  static constexpr std::size_t kMaxChangeBytes = 64UL * 1024UL;
  /// How long a response of the store confirms the changes. A watch is renewed
  /// every 1.4 s, and a change must be known after two seconds.
  static constexpr Duration kConfirmationLifetime =
    std::chrono::milliseconds(1700);

  /// Starts with a watch that reports all changes after this revision.
  void Start(std::uint64_t aAfter, TimePoint aNow);
  void Append(const StoreWatchBatch& aBatch, TimePoint aNow);
  /// Marks the history as unconfirmed after the watch ended or was interrupted.
  void Invalidate() { known_.reset(); }

  /// @returns whether the history is known to be complete as of
  /// `kConfirmationLifetime` ago
  [[nodiscard]] bool Confirmed(TimePoint aNow) const noexcept;
  /// @returns the time since the store confirmed the history
  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept
  {
    return aNow - confirmed_;
  }
  /// @returns the latest known revision; 0 if none is known
  [[nodiscard]] std::uint64_t Known() const noexcept
  {
    return known_.value_or(0);
  }
  /// @returns whether all changes after the revision are held
  [[nodiscard]] bool Covers(std::uint64_t aAfter) const noexcept;
  /// @returns whether there are changes after the revision
  [[nodiscard]] bool HasAfter(std::uint64_t aAfter) const noexcept;
  /// @returns the changes after the revision, up to the latest known one
  [[nodiscard]] StoreWatchBatch After(std::uint64_t aAfter) const;

private:
  /// @returns the first change after a revision
  [[nodiscard]] std::deque<StoreEvent>::const_iterator FirstAfter(
    std::uint64_t aAfter) const;
  /// Drops all changes up to a revision.
  void DropUpTo(std::uint64_t aRevision);
  [[nodiscard]] static std::size_t BytesOf(const StoreEvent& aEvent) noexcept;

  std::deque<StoreEvent> events_;
  std::size_t bytes_ = 0;
  /// All changes after this revision are held.
  std::uint64_t start_ = 0;
  std::optional<std::uint64_t> known_;
  TimePoint confirmed_;
};

} // namespace marjoramtally
