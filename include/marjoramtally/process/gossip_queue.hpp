/// Subjects that still have to be gossiped; those sent least often are picked
/// for a message first, within its byte budget.
#pragma once

#include "marjoramtally/connection/gossip_messages.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace marjoramtally {

/// Identifies a member or an item.
struct GossipSubject
{
  /// 0 for a member, else the item's kind.
  std::uint16_t kind_ = 0;
  std::string key_;
  auto operator<=>(const GossipSubject&) const = default;

  [[nodiscard]] static GossipSubject Of(const InstanceId& aId);
  [[nodiscard]] static GossipSubject Of(const GossipItem& aItem);
};

/// A message with less free space than this counts as full.
inline constexpr std::size_t kMinSubjectBytes = 70;

/// Subjects ordered by how often each was sent.
class GossipQueue
{
public:
  /// @param aMaxSubjects maximum number of subjects; beyond it the one sent
  /// most often is dropped
  explicit GossipQueue(std::size_t aMaxSubjects = 512) noexcept
    : maxSubjects_(aMaxSubjects)
  {
  }

  /// Adds a subject, or resets its send count.
  void Add(const GossipSubject& aSubject);
  void Remove(const GossipSubject& aSubject);
  [[nodiscard]] std::size_t Size() const noexcept { return sent_.size(); }

  /// Calls `aTake(subject, bytesLeft)` in order of send count, until fewer than
  /// `kMinSubjectBytes` of `aBudget` are left. `aTake` returns the bytes that
  /// the subject adds to the message, or 0 to skip it. A subject that has been
  /// sent `aLimit` times is dropped.
  template<typename Take>
  void Pick(std::size_t aBudget, std::uint32_t aLimit, Take aTake);

private:
  struct Order
  {
    std::uint32_t sent_ = 0;
    std::uint64_t added_ = 0;
    auto operator<=>(const Order&) const = default;
  };

  void CountSent(const GossipSubject& aSubject, std::uint32_t aLimit);

  std::size_t maxSubjects_;
  std::uint64_t next_ = 0;
  std::map<GossipSubject, Order> sent_;
  std::map<Order, GossipSubject> order_;
};

template<typename Take>
void
GossipQueue::Pick(std::size_t aBudget, std::uint32_t aLimit, Take aTake)
{
  std::vector<GossipSubject> taken;
  std::size_t left = aBudget;
  for (const auto& [order, subject] : order_) {
    const std::size_t bytes = aTake(subject, left);
    if (bytes == 0) {
      continue;
    }
    taken.push_back(subject);
    left -= std::min(left, bytes);
    if (left < kMinSubjectBytes) {
      break;
    }
  }
  for (const GossipSubject& subject : taken) {
    CountSent(subject, aLimit);
  }
}

} // namespace marjoramtally
