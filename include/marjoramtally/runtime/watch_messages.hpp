/// Messages between a relay of the store's changes and its peers.
#pragma once

#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Requests the changes under a prefix.
struct WatchAsk
{
  std::string prefix_;
  /// The last revision that the sender knows; 0: it reads all records.
  std::uint64_t after_ = 0;
  /// How long the response may be held back while there is no change.
  Duration wait_{ 0 };
  /// The sender accepts deflated responses. A process that does not support
  /// them would read one as a response without changes.
  bool inflates_ = true;
  /// The sender may hold records removed after this revision; 0: as `after_`.
  std::uint64_t removalsAfter_ = 0;
};

[[nodiscard]] std::string
EncodeWatchAsk(const WatchAsk& aAsk);
[[nodiscard]] Result<WatchAsk>
DecodeWatchAsk(std::string_view aBytes);
/// Encodes a batch. Messages larger than a kilobyte are deflated: a relay sends
/// them to dozens of peers, and its link is the first bottleneck when many
/// records change.
/// @param aDeflated whether the message may be deflated
[[nodiscard]] std::string
EncodeWatchBatch(const StoreWatchBatch& aBatch, bool aDeflated = true);
[[nodiscard]] Result<StoreWatchBatch>
DecodeWatchBatch(std::string_view aBytes);

} // namespace marjoramtally
