/// Partial texts of items whose job ended before they were listed. A later job
/// of the same trainer may contain the incomplete groups again under the same
/// item ids and resume from these texts.
#pragma once

#include "marjoramtally/version/job_ledger.hpp"

#include <deque>

namespace marjoramtally {

/// Holds a bounded number of texts by item; evicts the oldest.
class PartialTexts
{
public:
  /// Enough for some steps of a large trainer.
  static constexpr std::size_t kMaxTexts = 2048;

  void Put(const ItemId& aItem, PartialText aText);
  /// Removes and returns the text of an item, if there is one.
  [[nodiscard]] std::optional<PartialText> Take(const ItemId& aItem);

private:
  std::map<ItemId, PartialText> texts_;
  std::deque<ItemId> order_;
};

} // namespace marjoramtally
