/// The scenario `groups`: generates groups of samples while one engine at a
/// time is ten times slower, with each way to handle straggling members.

#include "programs/load/decide.hpp"
#include "programs/load/workload.hpp"

#include "marjoramtally/process.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

constexpr std::size_t kEngines = 9;
constexpr std::uint64_t kGroupSize = 8;
/// Their members take half of the engines' slots.
constexpr std::uint64_t kGroupsInProgress = 27;
constexpr std::size_t kSlots = 48;
constexpr double kMeanTokens = 150;
constexpr std::uint64_t kMaxTokens = 512;
constexpr double kSlowdown = 10;
constexpr Duration kSlowTime = std::chrono::seconds(20);
constexpr Duration kSlowPeriod = std::chrono::seconds(40);
constexpr Duration kReviewPeriod = std::chrono::milliseconds(100);

/// One way to handle straggling members.
struct GroupVariant
{
  std::string_view name_;
  bool actsOnStragglers_ = false;
  /// Whether engines report progress, which allows members to be resumed on
  /// another engine.
  bool reportsProgress_ = false;
};

constexpr std::array<GroupVariant, 3> kGroupVariants{ {
  { "no straggler policy", false, false },
  { "hedge by time", true, false },
  { "resume by progress", true, true },
} };

/// Runs groups in a closed loop against fake engines.
class GroupRun
{
public:
  GroupRun(const GroupVariant& aVariant, std::uint64_t aSeed)
    : variant_(aVariant)
    , random_(aSeed)
    , load_(kEngines)
  {
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<FakeEngine>(loop_, EngineSettings{}));
    }
  }

  DecideRow Run(Duration aLength)
  {
    for (std::uint64_t i = 0; i < kGroupsInProgress; ++i) {
      StartGroup();
    }
    loop_.Every(kReviewPeriod, [this] { Review(); });
    loop_.Every(kSlowPeriod, [this] { SlowDownOneEngine(); });
    loop_.RunUntil(TimePoint{ aLength });
    DecideRow row;
    row.policy_ = variant_.name_;
    row.load_ = 0.5;
    row.groupP50Seconds_ = seconds_.Quantile(0.5);
    row.groupP99Seconds_ = seconds_.Quantile(0.99);
    row.wastedShare_ = wasted_ / (useful_ + wasted_);
    row.costPerSecond_ = useful_ * 1e6 / static_cast<double>(aLength.count());
    return row;
  }

private:
  struct EngineRun
  {
    GenerationId job_;
    std::size_t engine_ = 0;
  };
  struct Member
  {
    std::uint64_t group_ = 0;
    std::uint64_t tokens_ = 0;
    std::vector<EngineRun> runs_;
  };
  struct Group
  {
    std::uint64_t remaining_ = kGroupSize;
    TimePoint startedAt_;
  };

  void StartGroup()
  {
    const std::uint64_t group = ++lastGroup_;
    groups_[group].startedAt_ = loop_.Now();
    for (std::uint64_t i = 0; i < kGroupSize; ++i) {
      const TicketId ticket{ ++lastTicket_ };
      const double drawn = Exponential(random_, kMeanTokens);
      Member& member = members_[ticket];
      member.group_ = group;
      member.tokens_ =
        std::min(kMaxTokens, static_cast<std::uint64_t>(drawn) + 1);
      policy_.OnStarted(
        { ticket, group, kMeanTokens, variant_.reportsProgress_ }, loop_.Now());
      Start(ticket, 0, kEngines);
    }
  }

  void Start(TicketId aTicket, std::uint64_t aResumed, std::size_t aExcluded)
  {
    Member& member = members_.at(aTicket);
    const std::size_t engine = LeastLoaded(aExcluded);
    EngineJob job;
    job.id_ = GenerationId{ ++lastJob_ };
    job.class_ = RequestClass::Trainer;
    job.promptTokens_ = 200 + aResumed;
    job.outputTokens_ = member.tokens_;
    job.resumedTokens_ = aResumed;
    member.runs_.push_back({ job.id_, engine });
    ++load_[engine];
    engines_[engine]->Submit(
      job, [this, aTicket, id = job.id_](auto) { Finish(aTicket, id); });
  }

  /// The first run to complete wins; the others are cancelled.
  void Finish(TicketId aTicket, GenerationId aJob)
  {
    const Member member = std::move(members_.at(aTicket));
    members_.erase(aTicket);
    for (const EngineRun& run : member.runs_) {
      --load_[run.engine_];
      if (run.job_ != aJob) {
        CountWasted(engines_[run.engine_]->Cancel(run.job_));
      }
    }
    useful_ += static_cast<double>(member.tokens_);
    policy_.OnEnded(aTicket, static_cast<double>(member.tokens_), loop_.Now());
    Group& group = groups_.at(member.group_);
    if (--group.remaining_ > 0) {
      return;
    }
    const Duration took = loop_.Now() - group.startedAt_;
    seconds_.Add(static_cast<double>(took.count()) / 1e6);
    groups_.erase(member.group_);
    StartGroup();
  }

  void CountWasted(std::uint64_t aTokens)
  {
    wasted_ += static_cast<double>(aTokens);
    policy_.OnWasted(static_cast<double>(aTokens));
  }

  [[nodiscard]] std::size_t LeastLoaded(std::size_t aExcluded)
  {
    const std::size_t first = random_.Below(kEngines);
    std::size_t best = first == aExcluded ? (first + 1) % kEngines : first;
    for (std::size_t i = 0; i < kEngines; ++i) {
      const std::size_t engine = (first + i) % kEngines;
      best = engine != aExcluded && load_[engine] < load_[best] ? engine : best;
    }
    return best;
  }

  void Review()
  {
    if (!variant_.actsOnStragglers_) {
      return;
    }
    for (const auto& [ticket, member] : members_) {
      const EngineRun& run = member.runs_.front();
      policy_.OnProgress(
        ticket, static_cast<double>(engines_[run.engine_]->Progress(run.job_)));
    }
    std::size_t idle = 0;
    for (const std::size_t load : load_) {
      idle += load < kSlots ? kSlots - load : 0;
    }
    for (const StragglerAction& action : policy_.Review(loop_.Now(), idle)) {
      Apply(action);
    }
  }

  void Apply(const StragglerAction& aAction)
  {
    Member& member = members_.at(aAction.ticket_);
    const EngineRun run = member.runs_.front();
    std::uint64_t resumed = 0;
    if (aAction.kind_ == StragglerAction::Kind::Resume) {
      resumed = engines_[run.engine_]->Cancel(run.job_);
      --load_[run.engine_];
      member.runs_.clear();
    }
    Start(aAction.ticket_, resumed, run.engine_);
  }

  void SlowDownOneEngine()
  {
    FakeEngine& engine = *engines_[random_.Below(kEngines)];
    engine.SetSlowdown(kSlowdown);
    loop_.After(kSlowTime, [&engine] { engine.SetSlowdown(1); });
  }

  GroupVariant variant_;
  EventLoop loop_;
  Random random_;
  std::vector<std::unique_ptr<FakeEngine>> engines_;
  std::vector<std::size_t> load_;
  StragglerPolicy policy_;
  std::map<TicketId, Member> members_;
  std::map<std::uint64_t, Group> groups_;
  Distribution seconds_;
  double useful_ = 0;
  double wasted_ = 0;
  std::uint64_t lastGroup_ = 0;
  std::uint64_t lastTicket_ = 0;
  std::uint64_t lastJob_ = 0;
};

} // namespace

DecideRows
RunGroupsScenario(const DecideOptions& aOptions)
{
  DecideRows rows;
  for (const GroupVariant& variant : kGroupVariants) {
    GroupRun run(variant, aOptions.seed_);
    rows.push_back(run.Run(aOptions.length_));
  }
  return rows;
}

} // namespace marjoramtally::bench
