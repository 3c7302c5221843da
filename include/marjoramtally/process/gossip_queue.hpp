/// What still has to be spread: picks the least sent subjects for a message,
/// within its budget of bytes.
#pragma once

#include "marjoramtally/connection/gossip_messages.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace marjoramtally {

/// Names a member or an item.
struct GossipSubject
{
  /// 0 for a member, else the item's kind.
  std::uint16_t kind_ = 0;
  std::string key_;
  auto operator<=>(const GossipSubject&) const = default;

  [[nodiscard]] static GossipSubject Of(const InstanceId& aId);
  [[nodiscard]] static GossipSubject Of(const GossipItem& aItem);
};

/// A message with less room than this is full.
inline constexpr std::size_t kMinSubjectBytes = 70;

/// Subjects by how often each was sent.
class GossipQueue
{
public:
  /// @param aMaxSubjects subjects kept; beyond it the most sent are dropped
  explicit GossipQueue(std::size_t aMaxSubjects = 512) noexcept
    : maxSubjects_(aMaxSubjects)
  {
  }

  /// Spreads a subject anew, as if never sent.
  void Add(const GossipSubject& aSubject);
  void Remove(const GossipSubject& aSubject);
  [[nodiscard]] std::size_t Size() const noexcept { return sent_.size(); }

  /// Calls `aTake(subject)` in order of times sent. It returns the bytes
  /// that the subject adds to the message, 0 to pass it over, and is stopped
  /// once `aBudget` bytes are used; `aTake` is told what is left. A subject
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
