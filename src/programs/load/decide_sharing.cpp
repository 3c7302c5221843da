/// The scenario `sharing`: three trainers with weights 1:1:2, where the first
/// sends requests ten times longer, under each variant of fair queueing.

#include "programs/load/fleet.hpp"
#include "programs/load/queue_variants.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

constexpr std::size_t kTrainers = 3;
constexpr std::array<std::uint64_t, kTrainers> kWeights{ 1, 1, 2 };
constexpr std::array<double, kTrainers> kMeanTokens{ 500, 50, 50 };
/// Output limit that requests state; the queue learns the real output length.
constexpr std::uint64_t kRequestedTokens = 2048;

/// How trainers send their requests.
struct SendPattern
{
  std::string_view name_;
  /// Outstanding requests, by trainer.
  std::array<std::size_t, kTrainers> outstanding_;
  /// Whether a trainer sends its next group only when the last one is
  /// complete.
  std::array<bool, kTrainers> grouped_;
  /// Time between the completion of a group and the next one.
  Duration pause_;
};

/// Continuous backlog; groups with pauses; groups of half the size with shorter
/// pauses.
const std::array<SendPattern, 3> kPatterns{ {
  { "backlog", { 600, 600, 600 }, { false, false, false }, Duration(0) },
  { "groups",
    { 600, 600, 1200 },
    { false, true, true },
    std::chrono::milliseconds(200) },
  { "small-groups",
    { 600, 300, 600 },
    { false, true, true },
    std::chrono::milliseconds(100) },
} };

/// Cost per unit of weight by which a flow may be ahead: 4 or 16 requests of
/// the trainer with the longest ones.
constexpr double kThrottle = 2000;
constexpr double kWideThrottle = 8000;

FairQueueSettings
Fair(VirtualTimeRule aRule, double aThrottle, bool aAnticipation)
{
  FairQueueSettings fair;
  fair.rule_ = aRule;
  if (aThrottle > 0) {
    fair.throttle_ = aThrottle;
  }
  if (aAnticipation) {
    fair.anticipation_ = std::chrono::milliseconds(500);
    fair.blockingAnticipation_ = std::chrono::milliseconds(50);
  }
  return fair;
}

const std::array<QueueVariant, 7>&
Variants()
{
  using enum VirtualTimeRule;
  static const auto make = [](std::string_view aName, FairQueueSettings aFair) {
    return QueueVariant{ aName, { .fair_ = aFair }, 0 };
  };
  static const std::array<QueueVariant, 7> variants{
    make("SFQ(D)", Fair(MaxDispatched, 0, false)),
    make("SFQ(D)+both", Fair(MaxDispatched, kThrottle, true)),
    make("Min-SFQ(D)", Fair(MinOutstanding, 0, false)),
    make("Min+throttle", Fair(MinOutstanding, kThrottle, false)),
    make("Min+wide throttle", Fair(MinOutstanding, kWideThrottle, false)),
    make("Min+anticipation", Fair(MinOutstanding, 0, true)),
    make("Min+both", Fair(MinOutstanding, kThrottle, true)),
  };
  return variants;
}

/// Sends the requests of one trainer and sums the cost of completed ones.
class Sender
{
public:
  Sender(Fleet& aFleet, const SendPattern& aPattern, std::size_t aIndex)
    : fleet_(aFleet)
    , maker_(100 + aIndex)
    , id_("trainer-" + std::to_string(aIndex))
    , outstanding_(aPattern.outstanding_.at(aIndex))
    , grouped_(aPattern.grouped_.at(aIndex))
    , pause_(aPattern.pause_)
  {
    shape_ = { 100, 0, 0, kMeanTokens.at(aIndex), kRequestedTokens };
  }

  void SendGroup()
  {
    remaining_ = outstanding_;
    for (std::size_t i = 0; i < outstanding_; ++i) {
      SendOne();
    }
  }

  void OnComplete(const BenchOutcome& aOutcome, bool aMeasured)
  {
    const BenchRequest& request = aOutcome.request_;
    if (aMeasured) {
      cost_ += OutputEstimate::CostOf(
        request.spec_, static_cast<double>(request.job_.outputTokens_));
    }
    if (!grouped_) {
      fleet_.Loop().After(Duration(0), [this] { SendOne(); });
    } else if (--remaining_ == 0) {
      fleet_.Loop().After(pause_, [this] { SendGroup(); });
    }
  }

  [[nodiscard]] const TrainerId& Id() const noexcept { return id_; }
  [[nodiscard]] double Cost() const noexcept { return cost_; }

private:
  void SendOne()
  {
    BenchRequest request =
      maker_.Make(shape_, RequestClass::Trainer, 0, fleet_.Loop().Now());
    request.spec_.trainer_ = id_;
    request.spec_.outputTokens_ = kRequestedTokens;
    fleet_.Submit(std::move(request));
  }

  Fleet& fleet_;
  RequestMaker maker_;
  TrainerId id_;
  std::size_t outstanding_;
  bool grouped_;
  Duration pause_;
  RequestShape shape_;
  std::size_t remaining_ = 0;
  double cost_ = 0;
};

/// @returns each trainer's share of the cost divided by its fair share, and the
/// total cost
std::pair<std::vector<double>, double>
FairShareRatios(const std::vector<std::unique_ptr<Sender>>& aSenders)
{
  double all = 0;
  double weights = 0;
  for (std::size_t i = 0; i < kTrainers; ++i) {
    all += aSenders[i]->Cost();
    weights += static_cast<double>(kWeights.at(i));
  }
  std::vector<double> shares;
  for (std::size_t i = 0; i < kTrainers; ++i) {
    const double due = all * static_cast<double>(kWeights.at(i)) / weights;
    shares.push_back(aSenders[i]->Cost() / due);
  }
  return { shares, all };
}

DecideRow
RunPattern(const DecideOptions& aOptions,
           const SendPattern& aPattern,
           std::string_view aName,
           const Fleet::MakeQueue& aMakeQueue)
{
  FleetSettings settings;
  settings.seed_ = aOptions.seed_;
  settings.measureFrom_ = TimePoint{ aOptions.length_ / 4 };
  Fleet fleet(settings, { "slots", MakeSlotPolicy }, aMakeQueue);
  std::vector<std::unique_ptr<Sender>> senders;
  for (std::size_t i = 0; i < kTrainers; ++i) {
    senders.push_back(std::make_unique<Sender>(fleet, aPattern, i));
  }
  std::map<TrainerId, Sender*> senderOf;
  for (const auto& sender : senders) {
    senderOf[sender->Id()] = sender.get();
    fleet.Loop().After(Duration(0), [&sender] { sender->SendGroup(); });
  }
  fleet.OnOutcome([&](const BenchOutcome& aOutcome) {
    senderOf.at(aOutcome.request_.spec_.trainer_)
      ->OnComplete(aOutcome, fleet.Loop().Now() >= settings.measureFrom_);
  });
  fleet.Run(aOptions.length_);
  DecideRow row;
  row.policy_ = std::string(aPattern.name_) + " " + std::string(aName);
  row.load_ = 1;
  const auto [shares, cost] = FairShareRatios(senders);
  row.worstFairShareRatio_ = *std::min_element(shares.begin(), shares.end());
  row.bestFairShareRatio_ = *std::max_element(shares.begin(), shares.end());
  const Duration measured = fleet.Loop().Now() - settings.measureFrom_;
  row.costPerSecond_ = cost * 1e6 / static_cast<double>(measured.count());
  return row;
}

} // namespace

DecideRows
RunSharingScenario(const DecideOptions& aOptions)
{
  DecideRows rows;
  for (const SendPattern& pattern : kPatterns) {
    rows.push_back(RunPattern(aOptions, pattern, "by arrival", MakeClassQueue));
    for (const QueueVariant& variant : Variants()) {
      std::vector<TrainerWeight> weights;
      for (std::size_t i = 0; i < kTrainers; ++i) {
        weights.push_back(
          { TrainerId{ "trainer-" + std::to_string(i) }, kWeights.at(i) });
      }
      rows.push_back(RunPattern(aOptions, pattern, variant.name_, [&] {
        return MakeAdmissionQueue(variant, weights);
      }));
    }
  }
  return rows;
}

} // namespace marjoramtally::bench
