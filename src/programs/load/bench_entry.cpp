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
  Flight flight;
  flight.outcome_.request_ = std::move(aRequest);
  const RequestSpec spec = flight.outcome_.request_.spec_;
  flights_.emplace(ticket, std::move(flight));
  if (!queue_->Enqueue({ ticket, spec }, loop_.Now())) {
    Finish(ticket, BenchEnd::Refused);
    return;
  }
  if (spec.deadline_ != kNever) {
    loop_.At(spec.deadline_, [this, ticket] { OnDeadline(ticket); });
  }
  Pump();
}

void
BenchEntry::Pump()
{
  for (const TicketId doomed : queue_->TakeDoomed(loop_.Now())) {
    Finish(doomed, BenchEnd::Refused);
  }
  while (const auto ticket = queue_->Next(loop_.Now())) {
    const auto engine = Decide(flights_.at(*ticket));
    if (!engine) {
      return;
    }
    queue_->Remove(*ticket, true, loop_.Now());
    Send(*ticket, *engine);
  }
}

std::optional<EngineIndex>
BenchEntry::Decide(const Flight& aFlight)
{
  using RealClock = std::chrono::steady_clock;
  const auto start = RealClock::now();
  const auto engine =
    routes_->Pick(aFlight.outcome_.request_.spec_, aFlight.tried_, loop_.Now());
  const auto took = RealClock::now() - start;
  ++cost_.decisions_;
  cost_.nanos_ += static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(took).count());
  return engine;
}

void
BenchEntry::Send(TicketId aTicket, EngineIndex aEngine)
{
  Flight& flight = flights_.at(aTicket);
  flight.running_ = true;
  flight.sentAt_ = loop_.Now();
  flight.outcome_.engine_ = aEngine;
  ++flight.outcome_.attempts_;
  const BenchRequest& request = flight.outcome_.request_;
  routes_->OnSent(aEngine, request.spec_, loop_.Now());
  engines_[aEngine.Get()]->Submit(request.job_,
                                  [this, aTicket](const EngineResult& aResult) {
                                    OnResult(aTicket, aResult);
                                  });
}

void
BenchEntry::OnResult(TicketId aTicket, const EngineResult& aResult)
{
  const auto found = flights_.find(aTicket);
  if (found == flights_.end()) {
    return;
  }
  Flight& flight = found->second;
  flight.running_ = false;
  const RequestSpec& spec = flight.outcome_.request_.spec_;
  routes_->OnDone({ flight.outcome_.engine_, flight.sentAt_, false, aResult },
                  spec,
                  loop_.Now());
  queue_->OnDone(aTicket, spec, aResult, loop_.Now());
  flight.outcome_.cacheHit_ = aResult.cacheHit_;
  if (aResult.whole_) {
    Finish(aTicket, BenchEnd::Whole);
  } else {
    flight.outcome_.wastedTokens_ += aResult.generatedTokens_;
    flight.tried_.push_back(flight.outcome_.engine_);
    if (flight.tried_.size() >= engines_.size() ||
        !queue_->Enqueue({ aTicket, spec }, loop_.Now())) {
      Finish(aTicket, BenchEnd::Failed);
    }
  }
  Pump();
}

void
BenchEntry::OnDeadline(TicketId aTicket)
{
  const auto found = flights_.find(aTicket);
  if (found == flights_.end()) {
    return;
  }
  Flight& flight = found->second;
  if (!flight.running_) {
    queue_->Remove(aTicket, false, loop_.Now());
    Finish(aTicket, BenchEnd::Late);
    return;
  }
  const BenchRequest& request = flight.outcome_.request_;
  const EngineIndex engine = flight.outcome_.engine_;
  const EngineResult result{ false,
                             engines_[engine.Get()]->Cancel(request.job_.id_),
                             false };
  flight.outcome_.wastedTokens_ += result.generatedTokens_;
  routes_->OnDone(
    { engine, flight.sentAt_, true, result }, request.spec_, loop_.Now());
  queue_->OnDone(aTicket, request.spec_, result, loop_.Now());
  Finish(aTicket, BenchEnd::Late);
  Pump();
}

void
BenchEntry::Finish(TicketId aTicket, BenchEnd aEnd)
{
  auto node = flights_.extract(aTicket);
  BenchOutcome& outcome = node.mapped().outcome_;
  outcome.end_ = aEnd;
  outcome.at_ = loop_.Now();
  sink_(outcome);
}

} // namespace marjoramtally::bench
