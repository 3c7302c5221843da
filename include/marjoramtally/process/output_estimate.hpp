/// Expected output lengths, estimated from earlier completions.
#pragma once

#include "marjoramtally/request/request.hpp"

#include <unordered_map>

namespace marjoramtally {

/// Estimates how many tokens requests generate, per trainer (per model for live
/// callers) and per recent prompt, because the members of a group have similar
/// lengths. Not thread-safe.
class OutputEstimate
{
public:
  /// @returns expected number of generated tokens, limited to the maximum of
  /// the request
  [[nodiscard]] double Tokens(const RequestSpec& aRequest) const;
  /// @returns expected cost: weighted sum of prompt and output tokens, at least
  /// 1
  [[nodiscard]] double Cost(const RequestSpec& aRequest) const;
  /// Records how many tokens a request generated.
  /// @returns its actual cost
  double Learn(const RequestSpec& aRequest, std::uint64_t aTokens);
  /// @returns the cost of a request with `aTokens` output tokens
  [[nodiscard]] static double CostOf(const RequestSpec& aRequest,
                                     double aTokens) noexcept;

private:
  std::unordered_map<std::string, double> byFlow_;
  std::unordered_map<std::uint64_t, double> byPrompt_;
};

} // namespace marjoramtally
