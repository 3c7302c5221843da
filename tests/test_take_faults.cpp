#include "marjoramtally/version.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace marjoramtally;

namespace {

/// Durations are in ticks of the simulation below; in each tick every party
/// performs at most one action.
constexpr std::uint64_t kLeaseTicks = 6;
constexpr std::uint64_t kTakeTimeoutTicks = 3;
/// Reopening a step: receive the answer that it is not open, take again,
/// generate, deliver.
constexpr std::uint64_t kReopenTicks = 4;
constexpr std::uint64_t kFaultTicks = 9;
constexpr std::uint64_t kMaxTicks = 400;
constexpr std::size_t kSamples = 6;

enum class Fault
{
  KillOwner,
  PauseOwner,
  TwoOwners,
  StoreDown,
  ZoneCut,
  LoseAnswer,
  LoseRequest,
  DelayAnswers,
};

constexpr std::array kFaults{ Fault::KillOwner,   Fault::PauseOwner,
                              Fault::TwoOwners,   Fault::StoreDown,
                              Fault::ZoneCut,     Fault::LoseAnswer,
                              Fault::LoseRequest, Fault::DelayAnswers };

struct Request
{
  TakeSpec take_;
  bool open_ = false;
};

struct Answer
{
  std::uint64_t number_ = 0;
  std::vector<Sample> samples_;
  bool notOpen_ = false;
};

/// An owner: a real ledger and the requests that the network delivered to it.
struct Owner
{
  TrainerLedger ledger_;
  std::deque<Request> requests_;
  std::uint64_t pausedUntil_ = 0;
};

StepSpec
MakeStep()
{
  StepSpec spec;
  spec.step_ = StepId{ 1 };
  spec.version_ = WeightVersion{ 1 };
  spec.groupSize_ = 2;
  spec.prompts_ = { "a", "b", "c" };
  return spec;
}

/// Simulates two owners, a trainer that follows the take protocol, and the
/// network between them. Guards against takes that lose or duplicate samples
/// when owners, the store or the network fail.
class Simulation
{
public:
  /// @param aFaults each fault with the index of the action before which it is
  /// injected
  Simulation(std::vector<std::pair<std::uint64_t, Fault>> aFaults)
    : faults_(std::move(aFaults))
  {
    owners_[0].ledger_.Versions().Announce(WeightVersion{ 1 }, {});
    owners_[1].ledger_.Versions().Announce(WeightVersion{ 1 }, {});
  }

  void Run()
  {
    while (!trainer_.IsComplete() && tick_ < kMaxTicks) {
      ++tick_;
      Act([this] { TrainerTurn(); });
      for (std::size_t i = 0; i < owners_.size(); ++i) {
        Act([this, i] { Generate(owners_[i]); });
        Act([this, i] { Serve(i); });
      }
      Act([this] { DeliverAnswer(); });
      TakeOver();
    }
  }

  std::uint64_t actions_ = 0;
  std::uint64_t tick_ = 0;
  std::uint64_t longestGap_ = 0;
  std::map<SampleId, int> accepted_;

private:
  template<typename Function>
  void Act(Function aAction)
  {
    for (const auto& [index, fault] : faults_) {
      if (index == actions_) {
        Inject(fault);
      }
    }
    ++actions_;
    aAction();
  }

  void Inject(Fault aFault)
  {
    switch (aFault) {
      case Fault::KillOwner:
        owners_[owner_] = Owner{};
        owners_[owner_].ledger_.Versions().Announce(WeightVersion{ 1 }, {});
        owners_[owner_].pausedUntil_ = tick_ + kFaultTicks;
        expiresAt_ = tick_ + kLeaseTicks;
        break;
      case Fault::PauseOwner:
        owners_[owner_].pausedUntil_ = tick_ + kFaultTicks;
        expiresAt_ = tick_ + kLeaseTicks;
        break;
      case Fault::TwoOwners:
        bothUntil_ = tick_ + kFaultTicks;
        break;
      case Fault::StoreDown:
        storeDownUntil_ = tick_ + kFaultTicks;
        break;
      case Fault::ZoneCut:
        cut_ = owner_;
        cutUntil_ = tick_ + kFaultTicks;
        expiresAt_ = tick_ + kLeaseTicks;
        break;
      case Fault::LoseAnswer:
        answers_.clear();
        break;
      case Fault::LoseRequest:
        owners_[owner_].requests_.clear();
        break;
      case Fault::DelayAnswers:
        delayedUntil_ = tick_ + kFaultTicks;
        break;
    }
  }

  /// Changes the owner once the lease has expired and the store is available.
  void TakeOver()
  {
    if (expiresAt_ != 0 && tick_ >= expiresAt_ && tick_ >= storeDownUntil_) {
      owner_ = 1 - owner_;
      expiresAt_ = 0;
    }
  }

  bool Cut(std::size_t aOwner) const
  {
    return cut_ == aOwner && tick_ < cutUntil_;
  }

  void TrainerTurn()
  {
    if (waiting_ && tick_ < sentAt_ + kTakeTimeoutTicks) {
      return;
    }
    const bool other = tick_ < bothUntil_ && tick_ % 2 == 1;
    const std::size_t to = other ? 1 - owner_ : owner_;
    waiting_ = true;
    sentAt_ = tick_;
    const TakeSpec take = trainer_.Next(WeightVersion{ 1 }, 2);
    if (!Cut(to)) {
      owners_[to].requests_.push_back({ take, open_ });
    }
  }

  void Generate(Owner& aOwner)
  {
    if (tick_ < aOwner.pausedUntil_) {
      return;
    }
    if (const auto start = aOwner.ledger_.StartNext({})) {
      Sample sample;
      sample.id_ = start->sample_;
      sample.tokens_ = 1;
      sample.spans_ = { { WeightVersion{ 1 }, 0, 1 } };
      aOwner.ledger_.OnGenerated(std::move(sample), {});
    }
  }

  void Serve(std::size_t aOwner)
  {
    Owner& owner = owners_[aOwner];
    if (tick_ < owner.pausedUntil_ || owner.requests_.empty()) {
      return;
    }
    const Request request = owner.requests_.front();
    if (request.open_ && owner.ledger_.Find(StepId{ 1 }) == nullptr) {
      CHECK(owner.ledger_.Open(MakeStep()) == OpenVerdict::Opened);
    }
    const TakeVerdict verdict = owner.ledger_.Accept(request.take_, {});
    Answer answer{ request.take_.number_, {}, false };
    answer.notOpen_ = verdict == TakeVerdict::NotOpen;
    if (verdict == TakeVerdict::Current) {
      answer.samples_ = owner.ledger_.Collect(request.take_, {}).samples_;
      if (answer.samples_.empty()) {
        return; // the long poll stays open
      }
    }
    owner.requests_.pop_front();
    if (!Cut(aOwner) && verdict != TakeVerdict::Superseded) {
      answers_.push_back(std::move(answer));
    }
  }

  void DeliverAnswer()
  {
    if (answers_.empty() || tick_ < delayedUntil_) {
      return;
    }
    // Delivers the latest answer first, to simulate reordering.
    const Answer answer = answers_.back();
    answers_.pop_back();
    if (answer.notOpen_) {
      open_ = true;
      waiting_ = false;
      return;
    }
    const auto samples = trainer_.OnAnswer(answer.number_, answer.samples_);
    if (samples.empty()) {
      return;
    }
    waiting_ = false;
    open_ = false;
    longestGap_ = std::max(longestGap_, tick_ - lastSample_);
    lastSample_ = tick_;
    for (const Sample& sample : samples) {
      ++accepted_[sample.id_];
    }
  }

  std::vector<std::pair<std::uint64_t, Fault>> faults_;
  std::array<Owner, 2> owners_;
  std::size_t owner_ = 0;
  std::deque<Answer> answers_;
  TakeClient trainer_{ MakeStep() };
  bool open_ = true;
  bool waiting_ = false;
  std::uint64_t sentAt_ = 0;
  std::uint64_t lastSample_ = 0;
  std::uint64_t expiresAt_ = 0;
  std::uint64_t bothUntil_ = 0;
  std::uint64_t storeDownUntil_ = 0;
  std::uint64_t delayedUntil_ = 0;
  std::size_t cut_ = 0;
  std::uint64_t cutUntil_ = 0;
};

/// @returns the number of samples that were lost or duplicated
std::size_t
CountWrong(const Simulation& aSimulation)
{
  std::size_t wrong =
    kSamples - std::min(kSamples, aSimulation.accepted_.size());
  for (const auto& [id, times] : aSimulation.accepted_) {
    wrong += times == 1 ? 0 : 1;
  }
  return wrong;
}

std::uint64_t
ActionsWithoutFault()
{
  Simulation simulation({});
  simulation.Run();
  REQUIRE(CountWrong(simulation) == 0);
  return simulation.actions_;
}

} // namespace

TEST_CASE(
  "killing the owner at any action of a take loses or duplicates no sample")
{
  const std::uint64_t actions = ActionsWithoutFault();
  REQUIRE(actions > 20);
  for (std::uint64_t at = 0; at < actions; ++at) {
    Simulation simulation({ { at, Fault::KillOwner } });
    simulation.Run();
    INFO("killed before action " << at);
    CHECK(CountWrong(simulation) == 0);
    // A lease, one unanswered take, and the reopening of the step.
    CHECK(simulation.longestGap_ <=
          kLeaseTicks + kTakeTimeoutTicks + kReopenTicks);
  }
}

TEST_CASE("any two faults at any two actions lose or duplicate no sample")
{
  const std::uint64_t actions = ActionsWithoutFault();
  std::size_t runs = 0;
  std::size_t wrong = 0;
  for (std::uint64_t first = 0; first < actions; ++first) {
    for (std::uint64_t second = first; second < actions + 20; ++second) {
      for (const Fault one : kFaults) {
        for (const Fault two : kFaults) {
          Simulation simulation({ { first, one }, { second, two } });
          simulation.Run();
          ++runs;
          wrong += CountWrong(simulation);
        }
      }
    }
  }
  CHECK(runs > 10'000);
  CHECK(wrong == 0);
}
