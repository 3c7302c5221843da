/// The library's router as a route policy of the decision bench.

#include "programs/load/policies.hpp"

namespace marjoramtally::bench {

namespace {

/// Maximum number of requests that one entry has in flight on one engine.
constexpr std::uint64_t kInFlightLimit = 64;

UpstreamId
IdOf(EngineIndex aEngine)
{
  return UpstreamId{ std::to_string(aEngine.Get()) };
}

class RouterPolicy final : public RoutePolicy
{
public:
  RouterPolicy(std::size_t aEngines, std::uint64_t aSeed, RouterTuning aTuning)
    : router_(ZoneId{ "zone" }, aSeed, aTuning)
  {
    std::vector<UpstreamView> views;
    views.reserve(aEngines);
    for (std::size_t i = 0; i < aEngines; ++i) {
      UpstreamView view;
      view.id_ = IdOf(EngineIndex{ i });
      view.service_ = ServiceId{ "bench" };
      view.zone_ = ZoneId{ "zone" };
      view.limit_ = kInFlightLimit;
      views.push_back(view);
    }
    router_.SetUpstreams(views, {});
    UpstreamReport report;
    report.models_["model"] = WeightVersion{ 1 };
    for (const UpstreamView& view : views) {
      router_.OnReport(view.id_, report, {});
    }
    router_.Refresh({});
  }

  std::optional<EngineIndex> Pick(const RequestSpec& aRequest,
                                  const std::vector<EngineIndex>& aTried,
                                  TimePoint aNow) override
  {
    std::vector<UpstreamId> tried;
    tried.reserve(aTried.size());
    for (const EngineIndex engine : aTried) {
      tried.push_back(IdOf(engine));
    }
    const UpstreamPtr picked = router_.Pick(aRequest, tried, aNow);
    return picked ? std::optional(EngineIndex{ std::stoul(picked->id_.Get()) })
                  : std::nullopt;
  }

  void OnSent(EngineIndex aEngine,
              const RequestSpec& aRequest,
              TimePoint aNow) override
  {
    router_.OnSent(IdOf(aEngine), aRequest, aNow);
  }

  void OnDone(const AttemptView& aAttempt,
              const RequestSpec& aRequest,
              TimePoint aNow) override
  {
    AttemptResult done;
    done.end_ =
      aAttempt.result_.complete_ ? AttemptEnd::Complete : AttemptEnd::MaybeRun;
    done.timedOut_ = aAttempt.cancelled_;
    done.sentAt_ = aAttempt.sentAt_;
    done.tokens_ = aAttempt.result_.generatedTokens_;
    router_.OnDone(IdOf(aAttempt.engine_), aRequest, done, aNow);
  }

  void OnReport(EngineIndex aEngine,
                const EngineReport& aReport,
                TimePoint aNow) override
  {
    UpstreamReport report;
    report.models_["model"] = WeightVersion{ 1 };
    report.running_ = aReport.running_;
    report.queued_ = aReport.queued_;
    report.at_ = aReport.at_;
    router_.OnReport(IdOf(aEngine), report, aNow);
  }

  void OnCacheEvent(EngineIndex aEngine,
                    const CacheEvent& aEvent,
                    TimePoint aNow) override
  {
    router_.OnCacheEvent(
      IdOf(aEngine), aEvent.prefixHash_, aEvent.cached_, aNow);
  }

private:
  Router router_;
};

/// Makes the router with default tuning.
std::unique_ptr<RoutePolicy>
MakeDefault(std::size_t aEngines, std::uint64_t aSeed)
{
  return std::make_unique<RouterPolicy>(aEngines, aSeed, RouterTuning{});
}

/// Makes the router with one tuning member changed.
template<auto Member, auto Value>
std::unique_ptr<RoutePolicy>
MakeVariant(std::size_t aEngines, std::uint64_t aSeed)
{
  RouterTuning tuning;
  tuning.*Member = Value;
  return std::make_unique<RouterPolicy>(aEngines, aSeed, tuning);
}

/// Makes the router with a number of candidates, with or without cost jitter
/// and correction of reports.
template<std::size_t Choices, bool Blur, bool Correct>
std::unique_ptr<RoutePolicy>
MakeHerding(std::size_t aEngines, std::uint64_t aSeed)
{
  RouterTuning tuning;
  tuning.candidates_ = Choices;
  tuning.costJitter_ = Blur ? tuning.costJitter_ : 0;
  tuning.correctReports_ = Correct;
  return std::make_unique<RouterPolicy>(aEngines, aSeed, tuning);
}

/// Candidate count that includes every engine of any fleet of the bench.
constexpr std::size_t kAll = 4096;

} // namespace

const RoutePolicySpec&
LibraryPolicy()
{
  static const RoutePolicySpec policy{ "expected-completion", MakeDefault };
  return policy;
}

const std::vector<RoutePolicySpec>&
LibraryVariants()
{
  static constexpr std::size_t kFour = 4;
  static const std::vector<RoutePolicySpec> variants{
    { "ours-uncorrected", MakeVariant<&RouterTuning::correctReports_, false> },
    { "ours-no-prefix", MakeVariant<&RouterTuning::prefixHints_, false> },
    { "ours-fixed-limit", MakeVariant<&RouterTuning::adaptiveLimit_, false> },
    { "ours-4-choices", MakeVariant<&RouterTuning::candidates_, kFour> },
    { "ours-all-choices", MakeVariant<&RouterTuning::candidates_, kAll> },
  };
  return variants;
}

const std::vector<RoutePolicySpec>&
HerdingVariants()
{
  static const std::vector<RoutePolicySpec> variants{
    { "all, as reported", MakeHerding<kAll, false, false> },
    { "all, corrected", MakeHerding<kAll, false, true> },
    { "all, corrected, blur", MakeHerding<kAll, true, true> },
    { "2 of 9, corrected, blur", MakeHerding<2, true, true> },
    { "4 of 9, as reported", MakeHerding<4, false, false> },
    { "4 of 9, corrected", MakeHerding<4, false, true> },
    { "4 of 9, corrected, blur", MakeHerding<4, true, true> },
  };
  return variants;
}

} // namespace marjoramtally::bench
