#include "programs/load/queue_variants.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

const ServiceId kBenchService{ "bench" };

/// Adapts the library's `Admission` to a queue policy.
class AdmissionQueue final : public QueuePolicy
{
public:
  AdmissionQueue(const QueueVariant& aVariant,
                 const std::vector<TrainerWeight>& aWeights)
    : admission_(aVariant.settings_)
  {
    admission_.SetCapacity(kBenchService, aVariant.slots_);
    for (const TrainerWeight& trainer : aWeights) {
      admission_.SetWeight(kBenchService, trainer.id_, trainer.weight_);
    }
  }

  bool Enqueue(const QueuedRequest& aRequest, TimePoint aNow) override
  {
    const AdmissionVerdict verdict = admission_.Enqueue(aRequest, aNow);
    return verdict.kind_ == AdmissionVerdict::Kind::Queued;
  }

  std::optional<TicketId> Next(TimePoint aNow) override
  {
    const QueuedRequest* next = admission_.Next(kBenchService, aNow);
    return next == nullptr ? std::nullopt : std::optional(next->ticket_);
  }

  void Remove(TicketId aTicket, bool aSent, TimePoint aNow) override
  {
    if (aSent) {
      admission_.Dispatch(aTicket, aNow);
    } else {
      admission_.Remove(aTicket);
    }
  }

  void OnDone(TicketId aTicket,
              const RequestSpec& /*aRequest*/,
              const EngineResult& aResult,
              TimePoint aNow) override
  {
    const auto tokens = aResult.complete_
                          ? std::optional(aResult.generatedTokens_)
                          : std::nullopt;
    admission_.Complete(aTicket, tokens, aNow);
  }

  std::vector<TicketId> TakeInfeasible(TimePoint aNow) override
  {
    std::vector<TicketId> infeasible;
    for (const QueuedRequest& request : admission_.Expire(aNow)) {
      infeasible.push_back(request.ticket_);
    }
    return infeasible;
  }

private:
  Admission admission_;
};

/// Picks the engine with the fewest own requests in flight, up to the slot
/// limit.
class SlotPolicy final : public RoutePolicy
{
public:
  SlotPolicy(std::size_t aEngines, std::uint64_t aSeed)
    : inFlight_(aEngines)
    , random_(aSeed)
  {
  }

  std::optional<EngineIndex> Pick(const RequestSpec& /*aRequest*/,
                                  const std::vector<EngineIndex>& /*aTried*/,
                                  TimePoint /*aNow*/) override
  {
    const std::size_t first = random_.Below(inFlight_.size());
    std::size_t best = first;
    for (std::size_t i = 1; i < inFlight_.size(); ++i) {
      const std::size_t engine = (first + i) % inFlight_.size();
      best = inFlight_[engine] < inFlight_[best] ? engine : best;
    }
    return inFlight_[best] < kSlotsPerEngine
             ? std::optional(EngineIndex{ best })
             : std::nullopt;
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

private:
  std::vector<std::size_t> inFlight_;
  Random random_;
};

} // namespace

std::unique_ptr<QueuePolicy>
MakeAdmissionQueue(const QueueVariant& aVariant,
                   const std::vector<TrainerWeight>& aWeights)
{
  return std::make_unique<AdmissionQueue>(aVariant, aWeights);
}

std::unique_ptr<RoutePolicy>
MakeSlotPolicy(std::size_t aEngines, std::uint64_t aSeed)
{
  return std::make_unique<SlotPolicy>(aEngines, aSeed);
}

} // namespace marjoramtally::bench
