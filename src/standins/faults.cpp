#include "standins/faults.hpp"

#include <array>

namespace marjoramtally::standin {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxDelayMillis = 600'000;
constexpr std::uint64_t kMaxLostAnswers = 1'000'000;

bool
ReadDown(const Json& aValue, FaultSettings& aOut)
{
  const auto mode = aValue.is_string() ? aValue.get<std::string>() : "";
  aOut.down_ = mode == "refuse"   ? DownMode::Refuse
               : mode == "silent" ? DownMode::Unresponsive
                                  : DownMode::Up;
  return mode == "refuse" || mode == "silent" || mode == "no";
}

bool
ReadMillis(const Json& aValue, Duration& aOut)
{
  if (!aValue.is_number_unsigned() || aValue > kMaxDelayMillis) {
    return false;
  }
  aOut = std::chrono::milliseconds(aValue.get<std::uint64_t>());
  return true;
}

bool
ReadSlow(const Json& aValue, FaultSettings& aOut)
{
  return ReadMillis(aValue, aOut.delay_);
}

bool
ReadReorder(const Json& aValue, FaultSettings& aOut)
{
  return ReadMillis(aValue, aOut.maxAnswerDelay_);
}

bool
ReadLoseNext(const Json& aValue, FaultSettings& aOut)
{
  if (!aValue.is_number_unsigned() || aValue > kMaxLostAnswers) {
    return false;
  }
  aOut.loseNext_ = aValue.get<std::uint64_t>();
  return true;
}

bool
ReadLoseShare(const Json& aValue, FaultSettings& aOut)
{
  if (!aValue.is_number() || aValue < 0 || aValue > 1) {
    return false;
  }
  aOut.loseShare_ = aValue.get<double>();
  return true;
}

/// One key of the settings, the description of its values and its reader.
struct FaultKey
{
  std::string_view name_;
  std::string_view expected_;
  bool (*read_)(const Json&, FaultSettings&);
};

constexpr std::array<FaultKey, 5> kKeys{ {
  { "down", "no, refuse or silent", ReadDown },
  { "slow_ms", "0 to 600000", ReadSlow },
  { "reorder_ms", "0 to 600000", ReadReorder },
  { "lose_next", "0 to 1000000", ReadLoseNext },
  { "lose_share", "0 to 1", ReadLoseShare },
} };

void
ReadKey(const std::string& aName,
        const Json& aValue,
        FaultSettings& aOut,
        Findings& aFindings)
{
  const SourcePlace place{ "faults", 0 };
  for (const FaultKey& key : kKeys) {
    if (key.name_ != aName) {
      continue;
    }
    if (!key.read_(aValue, aOut)) {
      aFindings.Add(place, aName + " must be " + std::string(key.expected_));
    }
    return;
  }
  aFindings.Add(place, "unknown key '" + aName + "'");
}

} // namespace

Findings
Faults::Set(const std::string& aText)
{
  Findings findings;
  const Json body = Json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    findings.Add({ "faults", 0 }, "no JSON object");
    return findings;
  }
  FaultSettings settings;
  for (const auto& [name, value] : body.items()) {
    ReadKey(name, value, settings, findings);
  }
  if (findings.empty()) {
    const std::lock_guard lock(mutex_);
    settings_ = settings;
  }
  return findings;
}

FaultDecision
Faults::Decide(bool aWrite)
{
  const std::lock_guard lock(mutex_);
  FaultDecision decision;
  decision.down_ = settings_.down_;
  decision.requestDelay_ = settings_.delay_;
  if (settings_.maxAnswerDelay_ > Duration::zero()) {
    const auto maxMicros =
      static_cast<std::uint64_t>(settings_.maxAnswerDelay_.count());
    decision.answerDelay_ =
      Duration{ static_cast<std::int64_t>(random_.Below(maxMicros)) };
  }
  if (!aWrite || decision.down_ != DownMode::Up) {
    return decision;
  }
  if (settings_.loseNext_ > 0) {
    --settings_.loseNext_;
    decision.loseAnswer_ = true;
  } else if (settings_.loseShare_ > 0) {
    decision.loseAnswer_ = random_.Unit() < settings_.loseShare_;
  }
  return decision;
}

} // namespace marjoramtally::standin
