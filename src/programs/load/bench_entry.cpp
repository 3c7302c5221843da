#include "programs/load/bench_entry.hpp"

#include <chrono>

namespace marjoramtally::bench {

BenchEntry::BenchEntry(EventLoop& aLoop,
                       Engines& aEngines,
                       std::unique_ptr<RoutePolicy> aRoutes,
                       std::unique_ptr<QueuePolicy> aQueue,
                       OutcomeSink aSink)
  : loop_(aLoop)
  , engines_(aEngines)
  , routes_(std::move(aRoutes))
  , queue_(std::move(aQueue))
  , sink_(std::move(aSink))
{
}

void
BenchEntry::Submit(BenchRequest aRequest)
{
  const TicketId ticket{ ++lastTicket_ };
  PendingRequest pending;
  pending.outcome_.request_ = std::move(aRequest);
  const RequestSpec spec = pending.outcome_.request_.spec_;
  pending_.emplace(ticket, std::move(pending));
  if (!queue_->Enqueue({ ticket, spec }, loop_.Now())) {
    Finish(ticket, BenchEnd::Refused);
    return;
  }
  if (spec.deadline_ != kNever) {
    loop_.At(spec.deadline_, [this, ticket] { OnDeadline(ticket); });
  }
  DispatchQueued();
}

void
BenchEntry::DispatchQueued()
{
  for (const TicketId infeasible : queue_->TakeInfeasible(loop_.Now())) {
    Finish(infeasible, BenchEnd::Refused);
  }
  while (const auto ticket = queue_->Next(loop_.Now())) {
    const auto engine = PickEngine(pending_.at(*ticket));
    if (!engine) {
      return;
    }
    queue_->Remove(*ticket, true, loop_.Now());
    Send(*ticket, *engine);
  }
}

std::optional<EngineIndex>
BenchEntry::PickEngine(const PendingRequest& aPending)
{
  using RealClock = std::chrono::steady_clock;
  const auto start = RealClock::now();
  const auto engine = routes_->Pick(
    aPending.outcome_.request_.spec_, aPending.tried_, loop_.Now());
  const auto took = RealClock::now() - start;
  ++cost_.decisions_;
  cost_.nanos_ += static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(took).count());
  return engine;
}

void
BenchEntry::Send(TicketId aTicket, EngineIndex aEngine)
{
  PendingRequest& pending = pending_.at(aTicket);
  pending.running_ = true;
  pending.sentAt_ = loop_.Now();
  pending.outcome_.engine_ = aEngine;
  ++pending.outcome_.attempts_;
  const BenchRequest& request = pending.outcome_.request_;
  routes_->OnSent(aEngine, request.spec_, loop_.Now());
  engines_[aEngine.Get()]->Submit(request.job_,
                                  [this, aTicket](const EngineResult& aResult) {
                                    OnResult(aTicket, aResult);
                                  });
}

void
BenchEntry::OnResult(TicketId aTicket, const EngineResult& aResult)
{
  const auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.running_ = false;
  const RequestSpec& spec = pending.outcome_.request_.spec_;
  routes_->OnDone({ pending.outcome_.engine_, pending.sentAt_, false, aResult },
                  spec,
                  loop_.Now());
  queue_->OnDone(aTicket, spec, aResult, loop_.Now());
  pending.outcome_.cacheHit_ = aResult.cacheHit_;
  if (aResult.complete_) {
    Finish(aTicket, BenchEnd::Complete);
  } else {
    pending.outcome_.wastedTokens_ += aResult.generatedTokens_;
    pending.tried_.push_back(pending.outcome_.engine_);
    if (pending.tried_.size() >= engines_.size() ||
        !queue_->Enqueue({ aTicket, spec }, loop_.Now())) {
      Finish(aTicket, BenchEnd::Failed);
    }
  }
  DispatchQueued();
}

void
BenchEntry::OnDeadline(TicketId aTicket)
{
  const auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  if (!pending.running_) {
    queue_->Remove(aTicket, false, loop_.Now());
    Finish(aTicket, BenchEnd::Late);
    return;
  }
  const BenchRequest& request = pending.outcome_.request_;
  const EngineIndex engine = pending.outcome_.engine_;
  const EngineResult result{ false,
                             engines_[engine.Get()]->Cancel(request.job_.id_),
                             false };
  pending.outcome_.wastedTokens_ += result.generatedTokens_;
  routes_->OnDone(
    { engine, pending.sentAt_, true, result }, request.spec_, loop_.Now());
  queue_->OnDone(aTicket, request.spec_, result, loop_.Now());
  Finish(aTicket, BenchEnd::Late);
  DispatchQueued();
}

void
BenchEntry::Finish(TicketId aTicket, BenchEnd aEnd)
{
  auto node = pending_.extract(aTicket);
  BenchOutcome& outcome = node.mapped().outcome_;
  outcome.end_ = aEnd;
  outcome.at_ = loop_.Now();
  sink_(outcome);
}

} // namespace marjoramtally::bench
