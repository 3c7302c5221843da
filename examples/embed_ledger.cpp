/// Embeds a trainer's ledger and the trainer's own rule of taking: a step is
/// opened, its samples are generated, and an answer that is lost on its way
/// costs nothing, as the next take says which samples the trainer holds.
#include "marjoramtally/marjoramtally.hpp"

#include <iostream>

using namespace marjoramtally;

namespace {

constexpr std::uint32_t kTokens = 12;
constexpr std::uint32_t kSamples = 4;
constexpr WeightVersion kVersion{ 7 };

StepSpec
MakeStep()
{
  StepSpec step;
  step.step_ = StepId{ 1 };
  step.version_ = kVersion;
  step.groupSize_ = 2;
  step.prompts_ = { "Funeral of", "Thanks to" };
  return step;
}

/// Stands for an engine: generates what the ledger wants.
void
GenerateAll(TrainerLedger& aLedger, const Clock& aClock)
{
  while (const auto start = aLedger.StartNext(aClock.Now())) {
    Sample sample;
    sample.id_ = start->sample_;
    sample.text_ = "a draft";
    sample.tokens_ = kTokens;
    sample.spans_ = { { kVersion, 0, kTokens } };
    aLedger.OnGenerated(sample, aClock.Now());
  }
}

/// @returns the answer to a take; empty if it is not the present one
std::vector<Sample>
HandleTake(TrainerLedger& aLedger, const TakeSpec& aTake, const Clock& aClock)
{
  if (aLedger.Accept(aTake, aClock.Now()) != TakeVerdict::Current) {
    return {};
  }
  return aLedger.Collect(aTake, aClock.Now()).samples_;
}

} // namespace

int
main()
{
  ManualClock clock;
  TrainerLedger ledger;
  TakeClient trainer(MakeStep());
  ledger.Versions().Announce(kVersion, clock.Now());
  bool ok = ledger.Open(trainer.Spec()) == OpenVerdict::Opened;
  GenerateAll(ledger, clock);

  // The answer to the first take is lost; the second one gets it all.
  const TakeSpec lost = trainer.Next(kVersion, kSamples);
  const auto late = HandleTake(ledger, lost, clock);
  clock.Advance(std::chrono::seconds(1));
  const TakeSpec take = trainer.Next(kVersion, kSamples);
  const auto received =
    trainer.OnAnswer(take.number_, HandleTake(ledger, take, clock));
  ok = ok && received.size() == kSamples && trainer.IsComplete();

  // The first answer comes after all: it is void, and nothing is doubled.
  ok = ok && late.size() == kSamples;
  ok = ok && trainer.OnAnswer(lost.number_, late).empty();
  std::cout << (ok ? "embed_ledger: as expected\n" : "embed_ledger: wrong\n");
  return ok ? 0 : 1;
}
