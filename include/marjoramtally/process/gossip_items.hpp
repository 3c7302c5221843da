/// The items that members gossip: the newest version of each with its age, up
/// to a maximum number of items.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/connection/gossip_messages.hpp"

#include <map>
#include <optional>

namespace marjoramtally {

/// Items by kind and key.
class GossipItems
{
public:
  explicit GossipItems(std::size_t aMaxItems = 1024) noexcept
    : maxItems_(aMaxItems)
  {
  }

  /// @returns whether the item is newer than the known version and was stored
  bool Merge(const GossipItem& aItem, TimePoint aNow);
  /// @returns the item with its current age, if it has not expired
  [[nodiscard]] std::optional<GossipItem> Find(GossipItemKind aKind,
                                               const std::string& aKey,
                                               TimePoint aNow) const;
  /// @returns all items of a kind that have not expired, with current ages
  [[nodiscard]] std::vector<GossipItem> OfKind(GossipItemKind aKind,
                                               TimePoint aNow) const;
  /// Removes expired items.
  void RemoveExpired(TimePoint aNow);
  [[nodiscard]] std::size_t Size() const noexcept { return items_.size(); }

private:
  using Key = std::pair<GossipItemKind, std::string>;
  struct Entry
  {
    GossipItem item_;
    /// When the origin created the item, on this process's clock.
    TimePoint createdAt_;
  };

  [[nodiscard]] static GossipItem WithCurrentAge(const Entry& aEntry,
                                                 TimePoint aNow);

  std::size_t maxItems_;
  std::map<Key, Entry> items_;
};

} // namespace marjoramtally
