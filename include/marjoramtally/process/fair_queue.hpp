/// Start-time fair queueing with several requests dispatched at once,
/// SFQ(D), with the parts that FlashFQ (Shen and Park, USENIX ATC 2013) adds:
/// throttled dispatch and anticipation. A flow is one trainer.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/strong.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjoramtally {

/// Names a request within this process.
using TicketId = Strong<std::uint64_t, struct TicketTag>;
/// Names a flow that gets a share.
using FlowId = Strong<std::string, struct FlowTag>;

/// How virtual time advances.
enum class VirtualTimeRule : std::uint8_t
{
  /// Least start tag of any request not yet completed: Min-SFQ(D).
  MinOutstanding,
  /// Greatest start tag dispatched so far: plain SFQ(D).
  MaxDispatched,
};

/// The parts of the scheduler that can be switched.
struct FairQueueSettings
{
  VirtualTimeRule rule_ = VirtualTimeRule::MinOutstanding;
  /// Throttled dispatch: cost per unit of weight that a flow may be ahead of
  /// the active flow that lags most. Nothing switches it off.
  std::optional<double> throttle_;
  /// Anticipation: time that a flow stays active after its last completion.
  Duration anticipation_{ 0 };
  /// Part of that time in which it may hold others back by the throttle.
  Duration blockingAnticipation_{ 0 };
};

/// A request for the queue.
struct FairRequest
{
  TicketId ticket_;
  FlowId flow_;
  /// Expected cost in tokens.
  double cost_ = 1;
  /// Goes before all of its flow, as a request that is sent again.
  bool front_ = false;
};

/// Queues of flows that share by weight. Operations cost O(log n). Not
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
  /// Withdraws a waiting request.
  void Remove(TicketId aTicket);
  /// @returns the request to dispatch next, which stays in the queue
  [[nodiscard]] std::optional<TicketId> Next(TimePoint aNow);
  /// Takes a waiting request out for dispatch.
  void Dispatch(TicketId aTicket);
  /// Ends a dispatched request and corrects its flow by the real cost.
  void Complete(TicketId aTicket, double aCost, TimePoint aNow);
  /// Passes over a request's flow until `Resume`.
  void Stall(TicketId aTicket);
  void Resume();
  [[nodiscard]] std::size_t size() const noexcept { return waiting_; }
  /// @returns expected cost that waits in a flow, and its share of the
  /// weights of the flows that wait
  [[nodiscard]] double QueuedCost(const FlowId& aFlow) const;
  [[nodiscard]] double Share(const FlowId& aFlow) const;

private:
  /// Position in a flow: first those sent again, then the longest expected
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
    /// Whether the flow has nothing outstanding but is expected back.
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
  /// Takes a flow out of the ordered sets before its tags change, and back.
  void Detach(std::uint32_t aIndex);
  void Attach(std::uint32_t aIndex);
  /// Brings a flow that had nothing outstanding up to virtual time.
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
  /// Start tags of all that is outstanding: dispatched requests, first
  /// waiting requests, anticipated requests.
  std::multiset<double> outstanding_;
  /// Active flows with nothing waiting, by progress. Flows that wait are not
  /// among them: the one to be dispatched is the least of those by its tag,
  /// and a corrected cost may put that tag far after the last progress.
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
