/// `marjoram-load allocation`: simulates engine allocation among live callers
/// and three trainers under noisy demand, on a simulated clock.

#include "marjoramtally/process/allocation.hpp"
#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"

#include "marjoramtally/base/random.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;

constexpr std::uint64_t kEngines = 64;
constexpr std::uint64_t kHours = 4;
constexpr double kSecondsPerHour = 3600.0;
/// A burst of live demand starts in the middle of each period.
constexpr double kBurstPeriodSeconds = 600.0;
constexpr double kBurstSeconds = 120.0;
constexpr double kBurstDemand = 16.0;
constexpr double kBaseDemand = 16.0;
/// Time until a role order takes effect and its engine has drained.
constexpr double kMoveSeconds = 2.0;
constexpr double kPi = 3.14159265358979;
constexpr std::array<const char*, 3> kTrainers{ "begravelse",
                                                "konfirmasjon",
                                                "basar" };
const EngineUserId kLive{ "live" };

/// One allocation scheme of the comparison.
struct AllocationPlan
{
  const char* name_;
  AllocationPolicy policy_;
  /// Whether the initial allocation is kept for the whole run.
  bool isFixed_ = false;
};

/// Measurements of one run.
struct AllocationOutcome
{
  std::uint64_t moves_ = 0;
  std::uint64_t urgent_ = 0;
  /// Live demand beyond the engines held for it, in engine-seconds.
  double liveShortage_ = 0.0;
  /// Time from the start of a burst until enough engines serve live callers:
  /// maximum, and sum over all bursts.
  double maxReclaimSeconds_ = 0.0;
  double totalReclaimSeconds_ = 0.0;
  std::uint64_t bursts_ = 0;
  /// Share of all engines that trainers held and had work for.
  double trainersBusy_ = 0.0;
};

AllocationPolicy
NoHysteresis()
{
  AllocationPolicy policy;
  policy.smoothing_ = std::chrono::microseconds(1);
  policy.hold_ = Duration{ 0 };
  policy.dwell_ = Duration{ 0 };
  policy.highWater_ = 0.75;
  policy.lowWater_ = 0.749;
  return policy;
}

std::vector<EngineUserRule>
MakeUsers()
{
  std::vector<EngineUserRule> users{ { kLive, 8, 56, 1, true } };
  for (std::size_t i = 0; i < kTrainers.size(); ++i) {
    users.push_back({ EngineUserId{ kTrainers.at(i) }, 4, 40, i + 1, false });
  }
  return users;
}

double
SecondsSinceBurst(double aSecond)
{
  return std::fmod(aSecond + kBurstPeriodSeconds / 2.0, kBurstPeriodSeconds);
}

double
LiveDemand(double aSecond, Random& aRandom)
{
  const double wave = 8.0 * std::sin(2.0 * kPi * aSecond / kSecondsPerHour);
  const double noise = 6.0 * (aRandom.Unit() - 0.5);
  const bool burst = SecondsSinceBurst(aSecond) < kBurstSeconds;
  return std::max(0.0,
                  kBaseDemand + wave + noise + (burst ? kBurstDemand : 0.0));
}

/// A trainer alternates between generating, with high demand, and training,
/// with low demand.
double
TrainerDemand(std::size_t aTrainer, double aSecond, Random& aRandom)
{
  const double period = 240.0 + 60.0 * static_cast<double>(aTrainer);
  const bool generates = std::fmod(aSecond, period) < 0.7 * period;
  return (generates ? 30.0 : 2.0) + 4.0 * (aRandom.Unit() - 0.5);
}

class AllocationRun
{
public:
  explicit AllocationRun(const AllocationPlan& aPlan)
    : plan_(aPlan)
    , allocation_(aPlan.policy_)
  {
    std::vector<UpstreamId> engines;
    for (std::uint64_t i = 0; i < kEngines; ++i) {
      engines.emplace_back("engine-" + std::to_string(i));
    }
    allocation_.SetUsers(MakeUsers());
    allocation_.SetEngines(engines);
  }

  AllocationOutcome Simulate()
  {
    const auto end = static_cast<std::uint64_t>(kSecondsPerHour) * kHours;
    for (std::uint64_t second = 0; second < end; ++second) {
      Step(static_cast<double>(second));
    }
    out_.trainersBusy_ /= static_cast<double>(end * kEngines);
    return out_;
  }

private:
  void Step(double aSecond)
  {
    const TimePoint now{ Duration{
      static_cast<Duration::rep>(aSecond * 1e6) } };
    const double live = LiveDemand(aSecond, random_);
    // Demand reports are one second old and cannot exceed what the held
    // engines run.
    allocation_.OnDemand(
      kLive,
      aSecond == 0.0 ? kBaseDemand : std::min(lastLive_, HeldEngines(kLive)),
      now);
    lastLive_ = live;
    for (std::size_t i = 0; i < kTrainers.size(); ++i) {
      const double demand = TrainerDemand(i, aSecond, random_);
      const EngineUserId id{ kTrainers.at(i) };
      allocation_.OnDemand(id, demand, now);
      out_.trainersBusy_ += std::min(demand, HeldEngines(id));
    }
    if (!plan_.isFixed_ || aSecond == 0.0) {
      CountMoves(allocation_.Decide(now), aSecond);
    }
    const double held = ReadyLiveEngines(aSecond);
    out_.liveShortage_ += std::max(0.0, live - held);
    TrackBurst(aSecond, held >= live);
  }

  void CountMoves(const std::vector<EngineMove>& aMoves, double aSecond)
  {
    for (const EngineMove& move : aMoves) {
      if (move.to_ == kLive && aSecond > 0.0) {
        arriving_.push_back(aSecond + kMoveSeconds);
      }
    }
    if (aSecond == 0.0) {
      return;
    }
    out_.moves_ += aMoves.size();
    for (const EngineMove& move : aMoves) {
      out_.urgent_ += move.urgent_ ? 1 : 0;
    }
  }

  [[nodiscard]] double HeldEngines(const EngineUserId& aUser) const
  {
    return static_cast<double>(allocation_.Held(aUser));
  }

  /// @returns engines of live callers without those that are still moving
  double ReadyLiveEngines(double aSecond)
  {
    std::erase_if(arriving_, [aSecond](double aAt) { return aAt <= aSecond; });
    return HeldEngines(kLive) - static_cast<double>(arriving_.size());
  }

  void TrackBurst(double aSecond, bool aMet)
  {
    const double since = SecondsSinceBurst(aSecond);
    if (since == 0.0) {
      burstPending_ = true;
    }
    if (!burstPending_ || (!aMet && since < kBurstSeconds)) {
      return;
    }
    burstPending_ = false;
    const double took = since;
    out_.maxReclaimSeconds_ = std::max(out_.maxReclaimSeconds_, took);
    out_.totalReclaimSeconds_ += took;
    ++out_.bursts_;
  }

  const AllocationPlan& plan_;
  Allocation allocation_;
  Random random_{ 11 };
  double lastLive_ = 0.0;
  std::vector<double> arriving_;
  AllocationOutcome out_;
  bool burstPending_ = false;
};

void
Print(const AllocationPlan& aPlan, const AllocationOutcome& aOut)
{
  std::cout << std::left << std::setw(22) << aPlan.name_ << std::right
            << std::fixed << std::setprecision(1)
            << " moves_per_h=" << static_cast<double>(aOut.moves_) / kHours
            << " urgent_per_h=" << static_cast<double>(aOut.urgent_) / kHours
            << " take_back_mean_s="
            << aOut.totalReclaimSeconds_ / static_cast<double>(aOut.bursts_)
            << " take_back_max_s=" << aOut.maxReclaimSeconds_
            << " live_short_engine_s_per_h=" << aOut.liveShortage_ / kHours
            << " trainers_busy=" << std::setprecision(3) << aOut.trainersBusy_
            << '\n';
}

} // namespace

int
RunAllocationBench(int aArgc, char** /*aArgv*/)
{
  if (aArgc > 1) {
    std::cerr << "marjoram-load: allocation takes no options\n";
    return kExitBadInput;
  }
  const std::array<AllocationPlan, 3> plans{ {
    { "fixed shares", {}, true },
    { "no hysteresis", NoHysteresis(), false },
    { "hysteresis", {}, false },
  } };
  for (const AllocationPlan& plan : plans) {
    Print(plan, AllocationRun(plan).Simulate());
  }
  return kExitOk;
}

} // namespace marjoramtally
