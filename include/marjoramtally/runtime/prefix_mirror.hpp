/// All records under one prefix of the store, which a relay keeps for its
/// peers.
#pragma once

#include "marjoramtally/runtime/change_source.hpp"

#include <map>
#include <set>
#include <string_view>

namespace marjoramtally {

/// The latest state of each record, in the order of revisions. A peer reads all
/// records as the changes after revision 0, in parts that leave its processor
/// and its link to other work in between, and a peer that fell behind gets each
/// record once, however often it changed. After a gap in the watch of the
/// relay, the difference between the records before and after it becomes
/// changes, so that no peer has to read all records again.
class PrefixMirror final : public ChangeSource
{
public:
  /// Size of one answer, in bytes of keys and values.
  static constexpr std::size_t kMaxAnswerBytes = 256UL * 1024UL;
  /// Maximum number of removals remembered.
  static constexpr std::size_t kMaxRemovals = 4096;

  /// Takes over a complete read; records that it lacks were removed.
  void Load(const StoreRange& aRange, TimePoint aNow);
  void Append(const StoreWatchBatch& aBatch, TimePoint aNow);
  /// The store does not answer any more.
  void Unconfirm() noexcept { confirmed_ = kNever; }

  [[nodiscard]] bool Confirmed(TimePoint aNow) const noexcept override
  {
    return confirmed_ != kNever && aNow - confirmed_ <= kConfirmationLifetime;
  }
  [[nodiscard]] Duration Age(TimePoint aNow) const noexcept override
  {
    return aNow - confirmed_;
  }
  [[nodiscard]] std::uint64_t Known() const noexcept override { return known_; }
  [[nodiscard]] bool Covers(
    const WatchPosition& aPosition) const noexcept override;
  [[nodiscard]] bool HasAfter(std::uint64_t aAfter) const noexcept override;
  [[nodiscard]] StoreWatchBatch After(std::uint64_t aAfter) const override;

private:
  /// Revision and key; the key is that of the element of `records_`.
  using Place = std::pair<std::uint64_t, std::string_view>;
  using Records = std::map<std::string, StoreEvent, std::less<>>;

  void Put(const StoreEvent& aEvent);
  void Forget(Records::iterator aRecord);

  /// The records, and the removals not yet forgotten.
  Records records_;
  std::set<Place> byRevision_;
  std::set<Place> removals_;
  /// All removals after this revision are held.
  std::uint64_t removalsFrom_ = 0;
  /// Latest revision of a record larger than `kMaxChangeBytes`.
  std::uint64_t largest_ = 0;
  std::uint64_t known_ = 0;
  TimePoint confirmed_ = kNever;
};

} // namespace marjoramtally
