#include "marjoramtally/process/output_estimate.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Cost of a prompt token relative to a generated token.
constexpr double kPromptTokenCost = 0.1;
/// Weight of a new length in the moving mean of a flow and of a prompt.
constexpr double kFlowGain = 0.05;
constexpr double kPromptGain = 0.5;
/// Maximum number of prompts with a mean; the table is cleared when it is full.
constexpr std::size_t kMaxPrompts = 16'384;

std::string
FlowOf(const RequestSpec& aRequest)
{
  const bool trainer = aRequest.class_ == RequestClass::Trainer;
  return trainer ? "t/" + aRequest.trainer_.Get()
                 : "m/" + aRequest.service_.Get() + "/" + aRequest.model_;
}

template<typename Key>
void
UpdateMean(std::unordered_map<Key, double>& aMeans,
           const Key& aKey,
           double aValue,
           double aGain)
{
  const auto [it, fresh] = aMeans.emplace(aKey, aValue);
  if (!fresh) {
    it->second += aGain * (aValue - it->second);
  }
}

} // namespace

double
OutputEstimate::Tokens(const RequestSpec& aRequest) const
{
  const auto allowed = static_cast<double>(aRequest.outputTokens_);
  const auto prompt = aRequest.prefixHash_ == 0
                        ? byPrompt_.end()
                        : byPrompt_.find(aRequest.prefixHash_);
  if (prompt != byPrompt_.end()) {
    return std::min(prompt->second, allowed);
  }
  const auto flow = byFlow_.find(FlowOf(aRequest));
  return flow == byFlow_.end() ? allowed : std::min(flow->second, allowed);
}

double
OutputEstimate::CostOf(const RequestSpec& aRequest, double aTokens) noexcept
{
  const auto prompt = static_cast<double>(aRequest.promptTokens_);
  return std::max(1.0, aTokens + kPromptTokenCost * prompt);
}

double
OutputEstimate::Cost(const RequestSpec& aRequest) const
{
  return CostOf(aRequest, Tokens(aRequest));
}

double
OutputEstimate::Learn(const RequestSpec& aRequest, std::uint64_t aTokens)
{
  const auto tokens = static_cast<double>(aTokens);
  UpdateMean(byFlow_, FlowOf(aRequest), tokens, kFlowGain);
  if (aRequest.prefixHash_ != 0) {
    if (byPrompt_.size() >= kMaxPrompts) {
      byPrompt_.clear();
    }
    UpdateMean(byPrompt_, aRequest.prefixHash_, tokens, kPromptGain);
  }
  return CostOf(aRequest, tokens);
}

} // namespace marjoramtally
