/// Faults that a stand-in shows when it is asked to.
#pragma once

#include "marjoramtally/base.hpp"

#include <mutex>
#include <nlohmann/json.hpp>

namespace marjoramtally::standin {

/// What a stand-in that is down does with a request.
enum class DownMode : std::uint8_t
{
  Up,
  /// Answers 503 and runs nothing.
  Refuse,
  /// Never answers and runs nothing.
  Unresponsive,
};

/// The faults in force; none by default.
struct FaultSettings
{
  DownMode down_ = DownMode::Up;
  /// Wait before a request is run.
  Duration delay_{ 0 };
  /// Longest wait, at random, between running and answering: answers pass
  /// one another.
  Duration maxAnswerDelay_{ 0 };
  /// So many of the next writes take effect without an answer.
  std::uint64_t loseNext_ = 0;
  /// Share of writes that take effect without an answer.
  double loseShare_ = 0;
};

/// What happens to one request.
struct FaultDecision
{
  DownMode down_ = DownMode::Up;
  Duration requestDelay_{ 0 };
  Duration answerDelay_{ 0 };
  bool loseAnswer_ = false;
};

/// Decides for each request, from a fixed seed. Thread-safe.
class Faults
{
public:
  /// Reads `{"down":"refuse","slow_ms":5,"reorder_ms":5,"lose_next":1,
  /// "lose_share":0.1}`; keys that are left out end that fault.
  /// @returns the findings if a key or value is not understood; then
  /// nothing changes
  [[nodiscard]] Findings Set(const std::string& aText);
  [[nodiscard]] FaultDecision Decide(bool aWrite);

private:
  std::mutex mutex_;
  FaultSettings settings_;
  Random random_{ 1 };
};

} // namespace marjoramtally::standin
