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
};

[[nodiscard]] std::string
EncodeWatchAsk(const WatchAsk& aAsk);
[[nodiscard]] Result<WatchAsk>
DecodeWatchAsk(std::string_view aBytes);
/// Deflates what is larger than a kilobyte: a relay sends it to dozens of
/// peers, and its link is what changes of many records fill first.
[[nodiscard]] std::string
EncodeWatchBatch(const StoreWatchBatch& aBatch);
[[nodiscard]] Result<StoreWatchBatch>
DecodeWatchBatch(std::string_view aBytes);

} // namespace marjoramtally
