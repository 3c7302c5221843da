/// What a relay answers its peers from.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// What a peer of a relay knows of a prefix.
struct WatchPosition
{
  /// The last revision up to which it has seen all changes.
  std::uint64_t after_ = 0;
  /// The peer may hold records removed after this revision; 0: it holds none.
  std::uint64_t removalsAfter_ = 0;
};

/// Changes under one prefix of the store.
class ChangeSource
{
public:
  virtual ~ChangeSource() = default;

  /// @returns whether the changes are known to be complete as of
  /// `kConfirmationLifetime` ago
  [[nodiscard]] virtual bool Confirmed(TimePoint aNow) const noexcept = 0;
  /// @returns the time since the store confirmed the changes
  [[nodiscard]] virtual Duration Age(TimePoint aNow) const noexcept = 0;
  /// @returns the latest known revision; 0 if none is known
  [[nodiscard]] virtual std::uint64_t Known() const noexcept = 0;
  /// @returns whether all that the peer lacks is held and may be sent to many
  /// peers at once
  [[nodiscard]] virtual bool Covers(
    const WatchPosition& aPosition) const noexcept = 0;
  /// @returns whether there are changes after the revision
  [[nodiscard]] virtual bool HasAfter(std::uint64_t aAfter) const noexcept = 0;
  /// @returns the changes after the revision, or the first of them
  [[nodiscard]] virtual StoreWatchBatch After(std::uint64_t aAfter) const = 0;

  /// How long a response of the store confirms the changes. A watch is renewed
  /// every 1.4 s, and a change must be known after two seconds.
  static constexpr Duration kConfirmationLifetime =
    std::chrono::milliseconds(1700);
  /// Largest change sent to peers, in bytes: 72 peers get it together, which is
  /// 4.7 MB or 0.6 s of a 60 Mbit/s link; a relay that needs more than a second
  /// counts as unresponsive.
  static constexpr std::size_t kMaxChangeBytes = 64UL * 1024UL;
};

} // namespace marjoramtally
