/// One entry of the decision bench: queues, routes and retries requests with
/// exchangeable queue and route policies.
#pragma once

#include "programs/load/policies.hpp"
#include "programs/load/workload.hpp"

#include <unordered_map>

namespace marjoramtally::bench {

using Engines = std::vector<std::unique_ptr<FakeEngine>>;

/// How a request of the bench ended.
enum class BenchEnd : std::uint8_t
{
  Complete,
  /// Refused by the queue, on arrival or while it waited.
  Refused,
  /// Its deadline expired; if it was running, its engine cancelled it.
  Late,
  /// All engines were tried, or the queue refused the retry.
  Failed,
};

/// Outcome of one request, reported by its entry.
struct BenchOutcome
{
  BenchRequest request_;
  BenchEnd end_ = BenchEnd::Complete;
  TimePoint at_;
  /// Engine of the last attempt; valid only if `attempts_` is not 0.
  EngineIndex engine_;
  bool cacheHit_ = false;
  std::uint64_t attempts_ = 0;
  /// Tokens that were generated and discarded.
  std::uint64_t wastedTokens_ = 0;
};

using OutcomeSink = std::function<void(const BenchOutcome&)>;

/// Real (not simulated) time spent in routing decisions.
struct DecisionCost
{
  std::uint64_t decisions_ = 0;
  std::uint64_t nanos_ = 0;
};

/// Not thread-safe; the loop and the engines must outlive it.
class BenchEntry
{
public:
  BenchEntry(EventLoop& aLoop,
             Engines& aEngines,
             std::unique_ptr<RoutePolicy> aRoutes,
             std::unique_ptr<QueuePolicy> aQueue,
             OutcomeSink aSink);

  void Submit(BenchRequest aRequest);
  /// Refuses queued requests that cannot meet their deadline, then sends
  /// queued requests while engines accept them.
  void DispatchQueued();
  [[nodiscard]] RoutePolicy& Routes() noexcept { return *routes_; }
  [[nodiscard]] const DecisionCost& Cost() const noexcept { return cost_; }

private:
  struct PendingRequest
  {
    BenchOutcome outcome_;
    std::vector<EngineIndex> tried_;
    bool running_ = false;
    TimePoint sentAt_;
  };

  [[nodiscard]] std::optional<EngineIndex> PickEngine(
    const PendingRequest& aPending);
  void Send(TicketId aTicket, EngineIndex aEngine);
  void OnResult(TicketId aTicket, const EngineResult& aResult);
  void OnDeadline(TicketId aTicket);
  void Finish(TicketId aTicket, BenchEnd aEnd);

  EventLoop& loop_;
  Engines& engines_;
  std::unique_ptr<RoutePolicy> routes_;
  std::unique_ptr<QueuePolicy> queue_;
  OutcomeSink sink_;
  std::unordered_map<TicketId, PendingRequest> pending_;
  std::uint64_t lastTicket_ = 0;
  DecisionCost cost_;
};

} // namespace marjoramtally::bench
