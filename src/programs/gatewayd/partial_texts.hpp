/// Texts of items whose job was ended before they were listed. Groups that
/// were not whole come again in a later job of the same trainer, under the
/// same ids, and go on from here.
#pragma once

#include "marjoramtally/version/job_ledger.hpp"

#include <deque>

namespace marjoramtally {

/// A bounded store of texts by item; the oldest yield.
class PartialTexts
{
public:
  /// Most texts kept: some steps of a large trainer.
  static constexpr std::size_t kMaxTexts = 2048;

  void Put(const ItemId& aItem, PartialText aText);
  /// Takes the text of an item out, if there is one.
  [[nodiscard]] std::optional<PartialText> Take(const ItemId& aItem);

private:
  std::map<ItemId, PartialText> texts_;
  std::deque<ItemId> order_;
};

} // namespace marjoramtally
