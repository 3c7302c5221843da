#include "programs/gatewayd/partial_texts.hpp"

namespace marjoramtally {

void
PartialTexts::Put(const ItemId& aItem, PartialText aText)
{
  if (texts_.insert_or_assign(aItem, std::move(aText)).second) {
    order_.push_back(aItem);
  }
  while (order_.size() > kMaxTexts) {
    texts_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<PartialText>
PartialTexts::Take(const ItemId& aItem)
{
  auto node = texts_.extract(aItem);
  if (node.empty()) {
    return std::nullopt;
  }
  std::erase(order_, aItem);
  return std::move(node.mapped());
}

} // namespace marjoramtally
