#include "programs/load/policies.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace marjoramtally::bench {

namespace {

/// Maximum number of requests that one entry has in flight on one engine.
constexpr std::uint64_t kInFlightLimit = 64;

/// Base of the baselines: counts the entry's own requests in flight and keeps
/// the latest reports.
class CountingPolicy : public RoutePolicy
{
public:
  CountingPolicy(std::size_t aEngines, std::uint64_t aSeed)
    : random_(aSeed)
    , inFlight_(aEngines)
    , reports_(aEngines)
  {
  }

  std::optional<EngineIndex> Pick(const RequestSpec& /*aRequest*/,
                                  const std::vector<EngineIndex>& aTried,
                                  TimePoint /*aNow*/) override
  {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < inFlight_.size(); ++i) {
      const bool tried =
        std::find(aTried.begin(), aTried.end(), EngineIndex{ i }) !=
        aTried.end();
      if (inFlight_[i] < kInFlightLimit && !tried) {
        open.push_back(i);
      }
    }
    return open.empty() ? std::nullopt
                        : std::optional(EngineIndex{ Choose(open) });
  }

  void OnSent(EngineIndex aEngine,
              const RequestSpec& /*aRequest*/,
              TimePoint /*aNow*/) override
  {
    ++inFlight_[aEngine.Get()];
  }

  void OnDone(const AttemptView& aAttempt,
              const RequestSpec& /*aRequest*/,
              TimePoint /*aNow*/) override
  {
    --inFlight_[aAttempt.engine_.Get()];
  }

  void OnReport(EngineIndex aEngine,
                const EngineReport& aReport,
                TimePoint /*aNow*/) override
  {
    reports_[aEngine.Get()] = aReport;
  }

protected:
  virtual std::size_t Choose(const std::vector<std::size_t>& aOpen) = 0;

  /// @returns the open engine with the lowest cost; ties are broken at random
  template<typename Cost>
  std::size_t LeastCost(const std::vector<std::size_t>& aOpen, Cost aCost)
  {
    std::pair<std::uint64_t, std::uint64_t> bestRank{ UINT64_MAX, UINT64_MAX };
    std::size_t best = aOpen.front();
    for (const std::size_t engine : aOpen) {
      const std::pair rank{ aCost(engine), random_.Next() };
      if (rank < bestRank) {
        bestRank = rank;
        best = engine;
      }
    }
    return best;
  }

  Random random_;
  std::vector<std::uint64_t> inFlight_;
  std::vector<EngineReport> reports_;
};

class RandomPolicy final : public CountingPolicy
{
  using CountingPolicy::CountingPolicy;
  std::size_t Choose(const std::vector<std::size_t>& aOpen) override
  {
    return aOpen[random_.Below(aOpen.size())];
  }
};

class RoundRobinPolicy final : public CountingPolicy
{
  using CountingPolicy::CountingPolicy;
  std::size_t Choose(const std::vector<std::size_t>& aOpen) override
  {
    return aOpen[next_++ % aOpen.size()];
  }
  std::size_t next_ = 0;
};

class LeastInFlightPolicy final : public CountingPolicy
{
  using CountingPolicy::CountingPolicy;
  std::size_t Choose(const std::vector<std::size_t>& aOpen) override
  {
    return LeastCost(
      aOpen, [this](std::size_t aEngine) { return inFlight_[aEngine]; });
  }
};

class ShortestReportedPolicy final : public CountingPolicy
{
  using CountingPolicy::CountingPolicy;
  std::size_t Choose(const std::vector<std::size_t>& aOpen) override
  {
    return LeastCost(aOpen, [this](std::size_t aEngine) {
      return reports_[aEngine].running_ + reports_[aEngine].queued_;
    });
  }
};

template<typename Policy>
std::unique_ptr<RoutePolicy>
Make(std::size_t aEngines, std::uint64_t aSeed)
{
  return std::make_unique<Policy>(aEngines, aSeed);
}

/// Queues requests by class, in order of arrival.
class ClassQueue final : public QueuePolicy
{
public:
  bool Enqueue(const QueuedRequest& aRequest, TimePoint /*aNow*/) override
  {
    const auto queue = static_cast<std::size_t>(aRequest.spec_.class_);
    queues_[queue].insert(aRequest.ticket_);
    classes_.emplace(aRequest.ticket_, queue);
    return true;
  }

  std::optional<TicketId> Next(TimePoint /*aNow*/) override
  {
    for (const auto& queue : queues_) {
      if (!queue.empty()) {
        return *queue.begin();
      }
    }
    return std::nullopt;
  }

  void Remove(TicketId aTicket, bool /*aSent*/, TimePoint /*aNow*/) override
  {
    const auto found = classes_.find(aTicket);
    if (found != classes_.end()) {
      queues_[found->second].erase(aTicket);
      classes_.erase(found);
    }
  }

private:
  /// Ticket ids increase, so their order is the order of arrival.
  std::array<std::set<TicketId>, kRequestClasses> queues_;
  std::map<TicketId, std::size_t> classes_;
};

} // namespace

const std::vector<RoutePolicySpec>&
BaselinePolicies()
{
  static const std::vector<RoutePolicySpec> policies{
    { "random", Make<RandomPolicy> },
    { "round-robin", Make<RoundRobinPolicy> },
    { "least-in-flight", Make<LeastInFlightPolicy> },
    { "shortest-reported", Make<ShortestReportedPolicy> },
  };
  return policies;
}

std::unique_ptr<QueuePolicy>
MakeClassQueue()
{
  return std::make_unique<ClassQueue>();
}

} // namespace marjoramtally::bench
