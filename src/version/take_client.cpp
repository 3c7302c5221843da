#include "marjoramtally/version/take_client.hpp"

namespace marjoramtally {

TakeClient::TakeClient(StepSpec aSpec)
  : spec_(std::move(aSpec))
{
}

TakeSpec
TakeClient::Next(WeightVersion aVersion, std::uint32_t aMaxSamples)
{
  pending_ = ++lastNumber_;
  TakeSpec take;
  take.step_ = spec_.step_;
  take.version_ = aVersion;
  take.number_ = pending_;
  take.held_ = held_;
  take.maxSamples_ = aMaxSamples;
  return take;
}

std::vector<Sample>
TakeClient::OnAnswer(std::uint64_t aNumber, std::vector<Sample> aSamples)
{
  if (aNumber != pending_) {
    return {};
  }
  pending_ = 0;
  for (const Sample& sample : aSamples) {
    held_.Insert(sample.id_.group_ * spec_.groupSize_ + sample.id_.member_);
  }
  return aSamples;
}

bool
TakeClient::IsComplete() const noexcept
{
  return held_.size() == spec_.prompts_.size() * spec_.groupSize_;
}

} // namespace marjoramtally
