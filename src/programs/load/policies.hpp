/// Strategies that the decision bench compares: which engine, and which
/// request first.
#pragma once

#include "marjoramtally/process.hpp"
#include "programs/load/fake_engine.hpp"

#include <memory>

namespace marjoramtally::bench {

/// Names an engine by its place in the fleet.
using EngineIndex = Strong<std::size_t, struct EngineIndexTag>;

/// The end of one attempt, as its entry sees it.
struct AttemptView
{
  EngineIndex engine_;
  TimePoint sentAt_;
  /// Set if the entry itself gave it up.
  bool cancelled_ = false;
  EngineResult result_;
};

/// Chooses engines for one entry.
class RoutePolicy
{
public:
  virtual ~RoutePolicy() = default;
  /// @param aTried engines that already failed this request
  [[nodiscard]] virtual std::optional<EngineIndex> Pick(
    const RequestSpec& aRequest,
    const std::vector<EngineIndex>& aTried,
    TimePoint aNow) = 0;
  virtual void OnSent(EngineIndex /*aEngine*/,
                      const RequestSpec& /*aRequest*/,
                      TimePoint /*aNow*/)
  {
  }
  virtual void OnDone(const AttemptView& /*aAttempt*/,
                      const RequestSpec& /*aRequest*/,
                      TimePoint /*aNow*/)
  {
  }
  /// A report arrived; it may be old.
  virtual void OnReport(EngineIndex /*aEngine*/,
                        const EngineReport& /*aReport*/,
                        TimePoint /*aNow*/)
  {
  }
  /// A cache event arrived; it may be old, and others may be lost.
  virtual void OnCacheEvent(EngineIndex /*aEngine*/,
                            const CacheEvent& /*aEvent*/,
                            TimePoint /*aNow*/)
  {
  }
};

/// A policy by name.
struct RoutePolicySpec
{
  std::string_view name_;
  std::unique_ptr<RoutePolicy> (*make_)(std::size_t aEngines,
                                        std::uint64_t aSeed);
};

/// The baselines, which stay beside our own policy.
[[nodiscard]] const std::vector<RoutePolicySpec>&
BaselinePolicies();

/// The library's router.
[[nodiscard]] const RoutePolicySpec&
LibraryPolicy();

/// The library's router with one part changed.
[[nodiscard]] const std::vector<RoutePolicySpec>&
LibraryVariants();

/// The library's router with other numbers of candidates and other blur.
[[nodiscard]] const std::vector<RoutePolicySpec>&
HerdingVariants();

/// Orders the requests that wait at one entry.
class QueuePolicy
{
public:
  virtual ~QueuePolicy() = default;
  /// @returns false if the request is refused at once
  [[nodiscard]] virtual bool Enqueue(const QueuedRequest& aRequest,
                                     TimePoint aNow) = 0;
  /// @returns the request to send next, if any; it stays in the queue
  [[nodiscard]] virtual std::optional<TicketId> Next(TimePoint aNow) = 0;
  /// Takes a request out: it was sent or given up.
  virtual void Remove(TicketId aTicket, bool aSent, TimePoint aNow) = 0;
  /// Takes out requests that can no longer be in time; they are refused.
  [[nodiscard]] virtual std::vector<TicketId> TakeInfeasible(TimePoint /*aNow*/)
  {
    return {};
  }
  /// A request that was sent has ended.
  virtual void OnDone(TicketId /*aTicket*/,
                      const RequestSpec& /*aRequest*/,
                      const EngineResult& /*aResult*/,
                      TimePoint /*aNow*/)
  {
  }
};

/// Live callers first, each class in the order of arrival.
[[nodiscard]] std::unique_ptr<QueuePolicy>
MakeClassQueue();

} // namespace marjoramtally::bench
