/// The latest changes under one prefix of the store, which a relay keeps for
/// its peers.
#pragma once

#include "marjoramtally/runtime/change_source.hpp"

#include <deque>
#include <optional>

namespace marjoramtally {

/// Bounded history of one prefix.
class WatchHistory final : public ChangeSource
{
public:
  /// Maximum number of changes kept.
  static constexpr std::size_t kMaxChanges = 2048;
  /// Maximum bytes of keys and values kept. What a relay sends to 72 peers
  /// in one burst is then below 38 MB; each process reads a larger change from
  /// the store, which has the faster link.
  static constexpr std::size_t kMaxBytes = 512UL * 1024UL;

  /// Starts with a watch that reports all changes after this revision.
  void Start(std::uint64_t aAfter, TimePoint aNow);
  void Append(const StoreWatchBatch& aBatch, TimePoint aNow);
  /// Marks the history as unconfirmed after the watch ended or was interrupted.
  void Invalidate() { known_.reset(); }

  [[nodiscard]] bool Confirmed(TimePoint aNow) const noexcept override;
  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept override
  {
    return aNow - confirmed_;
  }
  [[nodiscard]] std::uint64_t Known() const noexcept override
  {
    return known_.value_or(0);
  }
  /// @returns whether all changes after the revision are held
  [[nodiscard]] bool Covers(std::uint64_t aAfter) const noexcept;
  [[nodiscard]] bool Covers(
    const WatchPosition& aPosition) const noexcept override
  {
    return Covers(aPosition.after_);
  }
  [[nodiscard]] bool HasAfter(std::uint64_t aAfter) const noexcept override;
  /// @returns the changes after the revision, up to the latest known one
  [[nodiscard]] StoreWatchBatch After(std::uint64_t aAfter) const override;

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
