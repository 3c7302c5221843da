/// Start-time fair queueing with several requests in flight, SFQ(D), extended
/// by throttled dispatch and anticipation as in FlashFQ (Shen and Park, USENIX
/// ATC 2013). A flow is one trainer.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/strong.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

/// Identifies a request within this process.
using TicketId = Strong<std::uint64_t, struct TicketTag>;
/// Identifies a flow that gets a share.
using FlowId = Strong<std::string, struct FlowTag>;

/// How virtual time advances.
enum class VirtualTimeRule : std::uint8_t
{
  /// Minimum start tag of all requests not yet completed: Min-SFQ(D).
  MinOutstanding,
  /// Maximum start tag dispatched so far: plain SFQ(D).
  MaxDispatched,
};

/// Optional parts of the scheduler.
struct FairQueueSettings
{
  VirtualTimeRule rule_ = VirtualTimeRule::MinOutstanding;
  /// Throttled dispatch: cost per unit of weight by which a flow may be ahead
  /// of the active flow with the least progress; unset disables throttling.
  std::optional<double> throttle_;
  /// Anticipation: time for which a flow stays active after its last
  /// completion.
  Duration anticipation_{ 0 };
  /// Part of that time in which the flow can throttle others.
  Duration blockingAnticipation_{ 0 };
};

/// A request for the queue.
struct FairRequest
{
  TicketId ticket_;
  FlowId flow_;
  /// Expected cost in tokens.
  double cost_ = 1;
  /// Placed ahead of all others of its flow, as a retried request.
  bool front_ = false;
};

/// Queues of flows that share capacity by weight. Operations cost O(log n). Not
/// thread-safe.
class FairQueue
{
public:
  explicit FairQueue(FairQueueSettings aSettings) noexcept
    : settings_(aSettings)
  {
  }

  /// Sets the share of a flow; 1 unless set.
  void SetWeight(const FlowId& aFlow, double aWeight);
  void Push(const FairRequest& aRequest, TimePoint aNow);
  /// Removes a waiting request.
  void Remove(TicketId aTicket);
  /// @returns the request to dispatch next, which stays queued; nothing if all
  /// are stalled or throttled
  [[nodiscard]] std::optional<TicketId> Next(TimePoint aNow);
  /// Marks a waiting request as dispatched.
  void Dispatch(TicketId aTicket);
  /// Ends a dispatched request and corrects its flow's tag by the actual cost.
  void Complete(TicketId aTicket, double aCost, TimePoint aNow);
  /// Skips a request's flow until `Resume`.
  void Stall(TicketId aTicket);
  void Resume();
  [[nodiscard]] std::size_t size() const noexcept { return waiting_; }
  /// @returns expected cost of the waiting requests of a flow
  [[nodiscard]] double QueuedCost(const FlowId& aFlow) const;
  /// @returns a flow's fraction of the weights of all waiting flows, itself
  /// included
  [[nodiscard]] double Share(const FlowId& aFlow) const;

private:
  /// Order within a flow: retried requests first, then the longest expected
  /// (by powers of two), then the oldest.
  struct Position
  {
    bool back_ = true;
    int shortness_ = 0;
    std::uint64_t sequence_ = 0;
    TicketId ticket_;
    auto operator<=>(const Position&) const = default;
  };
  struct Flow
  {
    double weight_ = 1;
    /// Start tag of the next request to be dispatched.
    double nextStart_ = 0;
    /// Start tag of the last request dispatched.
    double progress_ = 0;
    double queuedCost_ = 0;
    std::set<Position> waiting_;
    std::size_t inFlight_ = 0;
    bool stalled_ = false;
    /// Whether the flow has nothing outstanding but is expected to send again.
    bool anticipated_ = false;
    TimePoint idleSince_;
    /// Whether its progress can throttle others.
    bool blocking_ = false;
  };
  struct Entry
  {
    std::uint32_t flow_ = 0;
    double cost_ = 1;
    Position position_;
    bool dispatched_ = false;
    double startTag_ = 0;
  };
  using FlowKey = std::pair<double, std::uint32_t>;
  using FlowTimer = std::pair<TimePoint, std::uint32_t>;

  [[nodiscard]] std::uint32_t IndexOf(const FlowId& aFlow);
  [[nodiscard]] const Flow* Find(const FlowId& aFlow) const;
  /// Removes a flow from the ordered sets; required before its tags change.
  void Detach(std::uint32_t aIndex);
  /// Inserts a flow into the ordered sets by its current state.
  void Attach(std::uint32_t aIndex);
  /// Ends a flow's anticipation or, if it had nothing outstanding, moves it up
  /// to virtual time.
  void Activate(std::uint32_t aIndex);
  void ExpireAnticipation(TimePoint aNow);
  void AdvanceVirtualTime();
  [[nodiscard]] bool Throttled(const FlowKey& aCandidate) const;

  FairQueueSettings settings_;
  std::vector<Flow> flows_;
  std::unordered_map<FlowId, std::uint32_t> indexes_;
  std::unordered_map<TicketId, Entry> entries_;
  /// Flows with waiting requests that are not stalled, by next start tag.
  std::set<FlowKey> ready_;
  /// Start tags of everything outstanding: dispatched requests, the first
  /// waiting request of each flow, and anticipated requests.
  std::multiset<double> outstanding_;
  /// Active flows without waiting requests, by progress. Flows with waiting
  /// requests are excluded: the one dispatched next has the least tag among
  /// them anyway, and a corrected cost can move that tag far past the flow's
  /// last progress, so that two such flows would throttle each other.
  std::set<FlowKey> active_;
  std::set<FlowTimer> anticipationEnds_;
  std::set<FlowTimer> blockingEnds_;
  std::vector<std::uint32_t> stalled_;
  double virtualTime_ = 0;
  double lastFinish_ = 0;
  double waitingWeight_ = 0;
  std::size_t waiting_ = 0;
  std::uint64_t lastSequence_ = 0;
};

} // namespace marjoramtally
