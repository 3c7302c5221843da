/// Messages between a relay of the store's changes and those that ask it.
#pragma once

#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Asks for the changes under a prefix.
struct WatchAsk
{
  std::string prefix_;
  /// The last revision that is known.
  std::uint64_t after_ = 0;
  /// How long the answer may be held back while there is no change.
  Duration wait_{ 0 };
  /// The sender understands deflated answers. A process that does not would
  /// take one for an answer without changes.
  bool inflates_ = true;
};

[[nodiscard]] std::string
EncodeWatchAsk(const WatchAsk& aAsk);
[[nodiscard]] Result<WatchAsk>
DecodeWatchAsk(std::string_view aBytes);
/// Deflates what is larger than a kilobyte: a relay sends it to dozens of
/// peers, and its link is what changes of many records fill first.
/// @param aDeflated whether that may be done
[[nodiscard]] std::string
EncodeWatchBatch(const StoreWatchBatch& aBatch, bool aDeflated = true);
[[nodiscard]] Result<StoreWatchBatch>
DecodeWatchBatch(std::string_view aBytes);

} // namespace marjoramtally
