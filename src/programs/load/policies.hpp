/// Route and queue policies that the decision bench compares.
#pragma once

#include "marjoramtally/process.hpp"
#include "programs/load/fake_engine.hpp"

#include <memory>

namespace marjoramtally::bench {

/// Index of an engine in the fleet.
using EngineIndex = Strong<std::size_t, struct EngineIndexTag>;

/// The end of one attempt as seen by its entry.
struct AttemptView
{
  EngineIndex engine_;
  TimePoint sentAt_;
  /// Whether the entry itself cancelled the attempt.
  bool cancelled_ = false;
  EngineResult result_;
};

/// Chooses an engine for each request of one entry.
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
  /// Called when a report arrives, which may be old.
  virtual void OnReport(EngineIndex /*aEngine*/,
                        const EngineReport& /*aReport*/,
                        TimePoint /*aNow*/)
  {
  }
  /// Called when a cache event arrives, which may be old; events may be lost.
  virtual void OnCacheEvent(EngineIndex /*aEngine*/,
                            const CacheEvent& /*aEvent*/,
                            TimePoint /*aNow*/)
  {
  }
};

/// A named policy and its factory.
struct RoutePolicySpec
{
  std::string_view name_;
  std::unique_ptr<RoutePolicy> (*make_)(std::size_t aEngines,
                                        std::uint64_t aSeed);
};

/// Simple policies that the library's router is compared with.
[[nodiscard]] const std::vector<RoutePolicySpec>&
BaselinePolicies();

/// The library's router with default tuning.
[[nodiscard]] const RoutePolicySpec&
LibraryPolicy();

/// The library's router with one part of its tuning changed.
[[nodiscard]] const std::vector<RoutePolicySpec>&
LibraryVariants();

/// The library's router with other numbers of candidates, and with and without
/// cost jitter and correction of reports.
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
  /// Removes a request.
  /// @param aSent whether it was sent; otherwise it was abandoned
  virtual void Remove(TicketId aTicket, bool aSent, TimePoint aNow) = 0;
  /// Removes the requests that can no longer meet their deadline, which are
  /// then refused.
  [[nodiscard]] virtual std::vector<TicketId> TakeInfeasible(TimePoint /*aNow*/)
  {
    return {};
  }
  /// Called when a request that was sent has ended.
  virtual void OnDone(TicketId /*aTicket*/,
                      const RequestSpec& /*aRequest*/,
                      const EngineResult& /*aResult*/,
                      TimePoint /*aNow*/)
  {
  }
};

/// Serves live callers first, and each class in order of arrival.
[[nodiscard]] std::unique_ptr<QueuePolicy>
MakeClassQueue();

} // namespace marjoramtally::bench
