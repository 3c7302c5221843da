/// Expected output lengths, learned from completions.
#pragma once

#include "marjoramtally/request/request.hpp"

#include <unordered_map>

namespace marjoramtally {

/// Learns how many tokens requests generate: for each trainer (or model of
/// live callers), and for recent prompts, whose group members are alike. Not
/// thread-safe.
class OutputEstimate
{
public:
  /// @returns expected tokens to generate, at most what the request allows
  [[nodiscard]] double Tokens(const RequestSpec& aRequest) const;
  /// @returns expected cost: prompt and output tokens, weighted; at least 1
  [[nodiscard]] double Cost(const RequestSpec& aRequest) const;
  /// Records how many tokens a request generated.
  /// @returns its real cost
  double Learn(const RequestSpec& aRequest, std::uint64_t aTokens);
  /// @returns the cost of a request with so many output tokens
  [[nodiscard]] static double CostOf(const RequestSpec& aRequest,
                                     double aTokens) noexcept;

private:
  std::unordered_map<std::string, double> byFlow_;
  std::unordered_map<std::uint64_t, double> byPrompt_;
};

} // namespace marjoramtally
