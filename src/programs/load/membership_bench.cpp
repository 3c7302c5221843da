/// `marjoram-load membership`: measures the membership core at the design size
/// on a simulated clock.

#include "marjoramtally/runtime/program.hpp"
#include "programs/load/direct_gossip.hpp"
#include "programs/load/experiments.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <malloc.h>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaxMembers = 4000;

/// Options of the command line.
struct BenchOptions
{
  std::size_t members_ = 440;
  std::size_t zones_ = 12;
  std::size_t trials_ = 20;
  std::uint64_t seed_ = 1;
};

struct Quantiles
{
  double p50_ = 0;
  double p99_ = 0;
  double max_ = 0;
};

Quantiles
Summarise(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  const auto at = [&](double aShare) {
    const auto last = static_cast<double>(aValues.size() - 1);
    return aValues[static_cast<std::size_t>(last * aShare)];
  };
  return aValues.empty() ? Quantiles{} : Quantiles{ at(0.5), at(0.99), at(1) };
}

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

void
Print(const std::string& aName, const Quantiles& aValue, std::size_t aCount)
{
  std::cout << aName << " n=" << aCount << " p50=" << aValue.p50_
            << " p99=" << aValue.p99_ << " max=" << aValue.max_ << std::endl;
}

/// The members of a run and the measurements taken on them.
class GossipCluster
{
public:
  explicit GossipCluster(const BenchOptions& aOptions)
    : options_(aOptions)
    , gossip_(aOptions.seed_)
    , random_(aOptions.seed_ + 1)
  {
    for (std::size_t i = 0; i < aOptions.members_; ++i) {
      gossip_.Add("instance-" + std::to_string(1000 + i), ZoneOf(i));
    }
    const TimePoint start = gossip_.Now();
    while (Agreeing() < gossip_.Count() && gossip_.Now() - start < minutes(5)) {
      gossip_.Run(seconds(1));
    }
    std::cout << "cold_start all_agree_after_s="
              << Seconds(gossip_.Now() - start) << std::endl;
    gossip_.Run(minutes(1));
  }

  /// @returns the number of members that know all others and whose table equals
  /// that of the first member
  [[nodiscard]] std::size_t Agreeing()
  {
    std::size_t agreeing = 0;
    for (std::size_t i = 0; i < gossip_.Count(); ++i) {
      const MemberTable& table = gossip_.At(i).Table();
      agreeing += table.Hash() == gossip_.At(0).Table().Hash() &&
                      table.All().size() == gossip_.Count()
                    ? 1
                    : 0;
    }
    return agreeing;
  }

  void MeasureFailures();
  void MeasureRevisions();
  void MeasureTraffic(const std::string& aName, Duration aTime);
  void MeasureOrdinaryDay();
  void MeasureZoneFailures();
  void MeasureFalseSuspicions();
  void MeasureCost();

private:
  [[nodiscard]] std::string ZoneOf(std::size_t aNumber) const
  {
    return "zone-" + std::to_string(aNumber % options_.zones_);
  }
  [[nodiscard]] std::size_t RandomMember()
  {
    return random_.Below(gossip_.Count());
  }
  /// @returns the bytes that each member sent and received since the last call
  std::vector<double> TakeBytes();
  void PrintBytes(const std::string& aName, Duration aTime);
  std::uint64_t Sum(std::uint64_t MembershipCounters::*aMember);

  BenchOptions options_;
  DirectGossip gossip_;
  Random random_;
  std::vector<std::uint64_t> bytes_;
  std::uint64_t revision_ = 0;
};

std::vector<double>
GossipCluster::TakeBytes()
{
  bytes_.resize(gossip_.Count());
  std::vector<double> since;
  for (std::size_t i = 0; i < gossip_.Count(); ++i) {
    const GossipTraffic& traffic = gossip_.Traffic(i);
    const std::uint64_t now = traffic.bytesSent_ + traffic.bytesReceived_;
    since.push_back(static_cast<double>(now - bytes_[i]));
    bytes_[i] = now;
  }
  return since;
}

void
GossipCluster::PrintBytes(const std::string& aName, Duration aTime)
{
  std::vector<double> rates = TakeBytes();
  for (double& rate : rates) {
    rate /= Seconds(aTime);
  }
  Print(
    aName + " bytes_per_s_sent_and_received", Summarise(rates), rates.size());
}

std::uint64_t
GossipCluster::Sum(std::uint64_t MembershipCounters::*aMember)
{
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < gossip_.Count(); ++i) {
    sum += gossip_.At(i).Counters().*aMember;
  }
  return sum;
}

/// Stops one member at a time and measures how long the first and each other
/// member take to mark it dead.
void
GossipCluster::MeasureFailures()
{
  std::vector<double> detected;
  std::vector<double> learned;
  for (std::size_t trial = 0; trial < options_.trials_; ++trial) {
    const std::size_t victim = RandomMember();
    const InstanceId id = gossip_.At(victim).Self().id_;
    gossip_.SetStopped(victim, true);
    const TimePoint start = gossip_.Now();
    std::vector<bool> knows(gossip_.Count(), false);
    std::size_t left = gossip_.Count() - 1;
    while (left > 0 && gossip_.Now() - start < minutes(2)) {
      gossip_.Run(gossip_.step_);
      for (std::size_t i = 0; i < gossip_.Count(); ++i) {
        const auto* entry = gossip_.At(i).Table().Find(id);
        if (i == victim || knows[i] || entry == nullptr ||
            entry->member_.state_ != MemberState::Dead) {
          continue;
        }
        const double took = Seconds(gossip_.Now() - start);
        if (left == gossip_.Count() - 1) {
          detected.push_back(took);
        }
        learned.push_back(took);
        knows[i] = true;
        --left;
      }
    }
    gossip_.Restart(victim);
    gossip_.Run(seconds(40));
  }
  Print("failure detected_by_first_s", Summarise(detected), detected.size());
  Print("failure known_by_each_s", Summarise(learned), learned.size());
}

void
GossipCluster::MeasureRevisions()
{
  std::vector<double> learned;
  for (std::size_t trial = 0; trial < options_.trials_; ++trial) {
    const ConfigRevision revision{ ++revision_ };
    gossip_.At(RandomMember()).SetRevision(revision);
    const TimePoint start = gossip_.Now();
    std::vector<bool> knows(gossip_.Count(), false);
    while (gossip_.Now() - start < seconds(15)) {
      gossip_.Run(gossip_.step_);
      for (std::size_t i = 0; i < gossip_.Count(); ++i) {
        if (!knows[i] && gossip_.At(i).HighestRevision() >= revision) {
          knows[i] = true;
          learned.push_back(Seconds(gossip_.Now() - start));
        }
      }
    }
  }
  Print("revision known_by_each_s", Summarise(learned), learned.size());
  std::cout << "revision missed="
            << options_.trials_ * gossip_.Count() - learned.size() << std::endl;
}

void
GossipCluster::MeasureTraffic(const std::string& aName, Duration aTime)
{
  TakeBytes();
  gossip_.Run(aTime);
  PrintBytes(aName, aTime);
}

/// Simulates ten minutes with failures, restarts and configuration changes at
/// the rate of an ordinary day.
void
GossipCluster::MeasureOrdinaryDay()
{
  constexpr std::size_t kPartsPerDay = 144;
  constexpr std::size_t kFailures = (17 + kPartsPerDay - 1) / kPartsPerDay;
  constexpr std::size_t kRestarts = (240 + kPartsPerDay - 1) / kPartsPerDay;
  constexpr std::size_t kChanges = 9'700 / kPartsPerDay;
  constexpr auto kLength = minutes(10);
  TakeBytes();
  const auto slots = static_cast<std::size_t>(kLength / seconds(1));
  std::size_t changes = 0;
  for (std::size_t slot = 0; slot < slots; ++slot) {
    if (slot * kChanges / slots > changes) {
      ++changes;
      gossip_.At(RandomMember()).SetRevision(ConfigRevision{ ++revision_ });
    }
    if (slot % (slots / (kRestarts + kFailures)) == 0) {
      gossip_.Restart(RandomMember());
    }
    gossip_.Run(seconds(1));
  }
  PrintBytes("ordinary_day", kLength);
  std::cout << "ordinary_day changes=" << changes
            << " restarts_and_failures=" << kRestarts + kFailures
            << " deaths=" << Sum(&MembershipCounters::deaths_) << std::endl;
}

/// Partitions a zone, lets it rejoin, then stops and restarts it; measures the
/// traffic of the first minute after each event.
void
GossipCluster::MeasureZoneFailures()
{
  gossip_.reaches_ = [this](std::size_t aFrom, std::size_t aTo) {
    return (aFrom % options_.zones_ == 0) == (aTo % options_.zones_ == 0);
  };
  MeasureTraffic("zone_cut_off first_minute", minutes(1));
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < gossip_.Count(); ++i) {
    const bool reachable =
      gossip_.At(i).ZoneReachable(ZoneId{ ZoneOf(0) }, gossip_.Now());
    wrong += reachable == (i % options_.zones_ == 0) ? 0 : 1;
  }
  std::cout << "zone_cut_off members_with_wrong_view=" << wrong << std::endl;
  gossip_.reaches_ = nullptr;
  MeasureTraffic("zone_rejoined first_minute", minutes(1));
  for (std::size_t i = 0; i < gossip_.Count(); i += options_.zones_) {
    gossip_.SetStopped(i, true);
  }
  MeasureTraffic("zone_dead first_minute", minutes(1));
  for (std::size_t i = 0; i < gossip_.Count(); i += options_.zones_) {
    gossip_.Restart(i);
  }
  const TimePoint start = gossip_.Now();
  MeasureTraffic("zone_restarted first_minute", minutes(1));
  while (Agreeing() < gossip_.Count() && gossip_.Now() - start < minutes(5)) {
    gossip_.Run(seconds(1));
  }
  std::cout << "zone_restarted all_agree_after_s="
            << Seconds(gossip_.Now() - start) << " agreeing=" << Agreeing()
            << std::endl;
}

/// Counts false suspicions and deaths while 1% of messages are lost, and while
/// members also pause for 4 s.
void
GossipCluster::MeasureFalseSuspicions()
{
  const std::uint64_t suspicions = Sum(&MembershipCounters::suspicions_);
  const std::uint64_t deaths = Sum(&MembershipCounters::deaths_);
  gossip_.lostPerMille_ = 10;
  gossip_.Run(minutes(5));
  std::cout << "lost_1_percent minutes=5 suspicions="
            << Sum(&MembershipCounters::suspicions_) - suspicions
            << " deaths=" << Sum(&MembershipCounters::deaths_) - deaths
            << std::endl;
  const std::uint64_t before = Sum(&MembershipCounters::suspicions_);
  const std::uint64_t deathsBefore = Sum(&MembershipCounters::deaths_);
  for (std::size_t trial = 0; trial < options_.trials_; ++trial) {
    const std::size_t paused = RandomMember();
    gossip_.SetStopped(paused, true);
    gossip_.Run(seconds(4));
    gossip_.SetStopped(paused, false);
    gossip_.Run(seconds(6));
  }
  std::cout << "paused_4s and lost_1_percent pauses=" << options_.trials_
            << " suspicions=" << Sum(&MembershipCounters::suspicions_) - before
            << " deaths=" << Sum(&MembershipCounters::deaths_) - deathsBefore
            << std::endl;
  gossip_.lostPerMille_ = 0;
}

/// Measures the processor time per message of ticks, encoding, decoding and
/// handling.
void
GossipCluster::MeasureCost()
{
  constexpr auto kLength = seconds(60);
  const auto handled = [this] {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < gossip_.Count(); ++i) {
      sum += gossip_.Traffic(i).handled_;
    }
    return sum;
  };
  const std::uint64_t before = handled();
  const std::clock_t start = std::clock();
  gossip_.Run(kLength);
  const double took =
    static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  const auto messages = static_cast<double>(handled() - before);
  const auto members = static_cast<double>(gossip_.Count());
  const double perMember = messages / members / Seconds(kLength);
  std::cout << "cost messages_handled_per_s=" << perMember
            << " ns_per_message=" << took / messages * 1e9
            << " core_share=" << took / members / Seconds(kLength) * 100.0
            << "%" << std::endl;
}

} // namespace

int
RunMembershipBench(int aArgc, char** aArgv)
{
  BenchOptions options;
  po::options_description described("marjoram-load membership");
  auto add = described.add_options();
  add("members", po::value(&options.members_), "daemons, 24 to 4000");
  add("zones", po::value(&options.zones_), "availability zones");
  add("trials", po::value(&options.trials_), "trials per measurement");
  add("seed", po::value(&options.seed_), "seed of the run");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-load: " << failure.what() << std::endl;
    return kExitBadInput;
  }
  if (options.members_ < 24 || options.members_ > kMaxMembers ||
      options.zones_ == 0 || options.zones_ > options.members_ / 2 ||
      options.trials_ == 0) {
    std::cerr
      << "marjoram-load: --members must be from 24 to 4000, --zones from 1 "
         "to half the members, --trials at least 1\n";
    return kExitBadInput;
  }
  const std::size_t heapBefore = mallinfo2().uordblks;
  GossipCluster cluster(options);
  const auto heap = static_cast<double>(mallinfo2().uordblks - heapBefore);
  std::cout << "members=" << options.members_ << " zones=" << options.zones_
            << " agreeing=" << cluster.Agreeing() << " heap_bytes_per_daemon="
            << heap / static_cast<double>(options.members_) << std::endl;
  cluster.MeasureTraffic("quiet", minutes(1));
  cluster.MeasureCost();
  cluster.MeasureFailures();
  cluster.MeasureRevisions();
  cluster.MeasureFalseSuspicions();
  cluster.MeasureZoneFailures();
  cluster.MeasureOrdinaryDay();
  return kExitOk;
}

} // namespace marjoramtally
