#include "marjoramtally/process/gossip_items.hpp"

namespace marjoramtally {

bool
GossipItems::Merge(const GossipItem& aItem, TimePoint aNow)
{
  if (aItem.age_ >= aItem.ttl_ || aItem.key_.size() > kMaxItemKeyBytes ||
      aItem.payload_.size() > kMaxItemPayloadBytes) {
    return false;
  }
  const Key key{ aItem.kind_, aItem.key_ };
  const auto it = items_.find(key);
  if (it == items_.end()) {
    if (items_.size() >= maxItems_) {
      RemoveExpired(aNow);
    }
    if (items_.size() >= maxItems_) {
      return false;
    }
  } else if (it->second.item_.version_ >= aItem.version_ &&
             aNow - it->second.createdAt_ < it->second.item_.ttl_) {
    return false;
  }
  items_[key] = Entry{ aItem, aNow - aItem.age_ };
  return true;
}

std::optional<GossipItem>
GossipItems::Find(GossipItemKind aKind,
                  const std::string& aKey,
                  TimePoint aNow) const
{
  const auto it = items_.find({ aKind, aKey });
  if (it == items_.end()) {
    return std::nullopt;
  }
  GossipItem item = WithCurrentAge(it->second, aNow);
  if (item.age_ >= item.ttl_) {
    return std::nullopt;
  }
  return item;
}

std::vector<GossipItem>
GossipItems::OfKind(GossipItemKind aKind, TimePoint aNow) const
{
  std::vector<GossipItem> found;
  for (auto it = items_.lower_bound({ aKind, {} });
       it != items_.end() && it->first.first == aKind;
       ++it) {
    GossipItem item = WithCurrentAge(it->second, aNow);
    if (item.age_ < item.ttl_) {
      found.push_back(std::move(item));
    }
  }
  return found;
}

void
GossipItems::RemoveExpired(TimePoint aNow)
{
  std::erase_if(items_, [&](const auto& aItem) {
    return aNow - aItem.second.createdAt_ >= aItem.second.item_.ttl_;
  });
}

GossipItem
GossipItems::WithCurrentAge(const Entry& aEntry, TimePoint aNow)
{
  GossipItem item = aEntry.item_;
  item.age_ = aNow - aEntry.createdAt_;
  return item;
}

} // namespace marjoramtally
