/// Fault injection for stand-ins.
#pragma once

#include "marjoramtally/base.hpp"

#include <mutex>
#include <nlohmann/json.hpp>

namespace marjoramtally::standin {

/// How a stand-in that is down treats requests.
enum class DownMode : std::uint8_t
{
  Up,
  /// Answers 503 without executing the request.
  Refuse,
  /// Neither executes nor answers the request.
  Unresponsive,
};

/// The faults to inject; none by default.
struct FaultSettings
{
  DownMode down_ = DownMode::Up;
  /// Delay before a request is executed.
  Duration delay_{ 0 };
  /// Upper limit of a random delay between execution and answer, which
  /// reorders answers.
  Duration maxAnswerDelay_{ 0 };
  /// Number of upcoming writes that take effect but are not answered.
  std::uint64_t loseNext_ = 0;
  /// Share of writes (0 to 1) that take effect but are not answered.
  double loseShare_ = 0;
};

/// The faults that apply to one request.
struct FaultDecision
{
  DownMode down_ = DownMode::Up;
  Duration requestDelay_{ 0 };
  Duration answerDelay_{ 0 };
  bool loseAnswer_ = false;
};

/// Decides which faults apply to each request, with a fixed seed.
/// Thread-safe.
class Faults
{
public:
  /// Reads `{"down":"refuse","slow_ms":5,"reorder_ms":5,"lose_next":1,
  /// "lose_share":0.1}`; a key that is absent disables its
  /// fault.
  /// @returns a finding for each unknown key and invalid value; if there is
  /// any, the settings stay unchanged
  [[nodiscard]] Findings Set(const std::string& aText);
  [[nodiscard]] FaultDecision Decide(bool aWrite);

private:
  std::mutex mutex_;
  FaultSettings settings_;
  Random random_{ 1 };
};

} // namespace marjoramtally::standin
