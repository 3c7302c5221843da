/// Embeds a trainer's ledger and the client side of taking samples: a step is
/// opened and its samples are generated. A lost answer loses no samples, as
/// the next take lists the samples that the trainer has.
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

/// Plays the role of an engine: generates every sample that the ledger starts.
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

/// @returns the answer to a take; empty if the take is out of date
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

  // The answer to the first take is lost; the second take returns all samples.
  const TakeSpec lost = trainer.Next(kVersion, kSamples);
  const auto late = HandleTake(ledger, lost, clock);
  clock.Advance(std::chrono::seconds(1));
  const TakeSpec take = trainer.Next(kVersion, kSamples);
  const auto received =
    trainer.OnAnswer(take.number_, HandleTake(ledger, take, clock));
  ok = ok && received.size() == kSamples && trainer.IsComplete();

  // The first answer arrives late: it is ignored, so no sample is duplicated.
  ok = ok && late.size() == kSamples;
  ok = ok && trainer.OnAnswer(lost.number_, late).empty();
  std::cout << (ok ? "embed_ledger: as expected\n" : "embed_ledger: wrong\n");
  return ok ? 0 : 1;
}
