/// Connects many membership cores by direct calls on a simulated clock. A
/// message is delivered at once, lost, or sent to an unknown address.
#pragma once

#include "marjoramtally/process/membership.hpp"

#include <functional>
#include <memory>

namespace marjoramtally {

/// Message traffic of one member.
struct GossipTraffic
{
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  /// Messages handled.
  std::uint64_t handled_ = 0;
};

/// A simulated cluster of numbered members with message loss and partitions.
class DirectGossip
{
public:
  explicit DirectGossip(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  /// Adds a member; it joins through randomly chosen earlier members.
  /// @returns its number
  std::size_t Add(const std::string& aName,
                  const std::string& aZone,
                  MembershipOptions aOptions = {});
  /// Replaces a member with a new process at the same address.
  void Restart(std::size_t aNumber);
  /// Advances the clock in steps and ticks all running members.
  void Run(Duration aTime);

  [[nodiscard]] Membership& At(std::size_t aNumber)
  {
    return *nodes_.at(aNumber).core_;
  }
  [[nodiscard]] std::size_t Count() const noexcept { return nodes_.size(); }
  [[nodiscard]] TimePoint Now() const noexcept { return clock_.Now(); }
  [[nodiscard]] const GossipTraffic& Traffic(std::size_t aNumber) const
  {
    return nodes_.at(aNumber).traffic_;
  }

  /// A stopped member neither ticks nor replies.
  void SetStopped(std::size_t aNumber, bool aStopped)
  {
    nodes_.at(aNumber).stopped_ = aStopped;
  }
  /// Returns whether a message from one member reaches the other; all do if
  /// it is not set.
  std::function<bool(std::size_t aFrom, std::size_t aTo)> reaches_;
  /// Lost messages per thousand.
  std::uint64_t lostPerMille_ = 0;
  /// Whether each message is encoded and decoded and its bytes counted.
  bool encodeMessages_ = true;
  /// Length of one clock step.
  Duration step_ = std::chrono::milliseconds(200);

private:
  struct Node
  {
    std::unique_ptr<Membership> core_;
    MembershipOptions options_;
    GossipTraffic traffic_;
    bool stopped_ = false;
  };
  /// A request that waits for its reply.
  struct PendingCall
  {
    std::size_t from_ = 0;
    GossipCall call_;
    std::size_t to_ = 0;
  };

  void Dispatch(std::size_t aFrom, GossipActions aActions);
  void Deliver(std::size_t aFrom, const GossipSend& aSend);
  void DeliverReply(std::size_t aFrom, const GossipReply& aReply);
  void FailTimedOut();
  bool IsDelivered(std::size_t aFrom, std::size_t aTo);
  GossipMessage PassThroughWire(std::size_t aFrom,
                                std::size_t aTo,
                                const GossipMessage& aMessage);

  ManualClock clock_;
  Random random_;
  std::vector<Node> nodes_;
  std::map<std::string, std::size_t> byAddress_;
  std::uint64_t nextInbound_ = 1;
  std::map<std::uint64_t, PendingCall> pending_;
  std::multimap<TimePoint, std::uint64_t> timeouts_;
};

} // namespace marjoramtally
