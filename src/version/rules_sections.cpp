#include "version/rules_impl.hpp"

#include <array>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kMaxStaleness = 1000;
/// One week.
constexpr std::uint64_t kMaxAgeMicros = 604'800'000'000;
constexpr std::uint64_t kMaxWeight = 1000;
constexpr std::uint64_t kMaxReserve = 90;
constexpr std::uint64_t kMaxInFlight = 100'000;
constexpr std::uint64_t kMaxDrainMicros = 600'000'000;

// In the tables below, bounds of durations are in microseconds.

constexpr std::array<FieldSpec<ServiceRule>, 9> kServiceFields{ {
  { "kind", &ServiceRule::kind_, true },
  { "deadline", &ServiceRule::deadline_, false, 1'000, 3'600'000'000 },
  { "upstream-limit", &ServiceRule::upstreamLimit_, false, 1, kMaxInFlight },
  { "floor", &ServiceRule::floor_, false, 0, 100 },
  { "wave", &ServiceRule::wave_, false, 0, kMaxInFlight },
  { "drain", &ServiceRule::drain_, false, 0, kMaxDrainMicros },
  { "allocate", &ServiceRule::allocate_ },
  { "live-floor", &ServiceRule::liveFloor_, false, 0, kMaxInFlight },
  { "live-ceiling", &ServiceRule::liveCeiling_, false, 1, kMaxInFlight },
} };

constexpr std::array<FieldSpec<UpstreamRule>, 6> kUpstreamFields{ {
  { "service", &UpstreamRule::service_, true },
  { "zone", &UpstreamRule::zone_, true },
  { "address", &UpstreamRule::address_, true },
  { "fencing", &UpstreamRule::fencing_ },
  { "role", &UpstreamRule::role_ },
  { "leaving", &UpstreamRule::leaving_ },
} };

constexpr std::array<FieldSpec<TrainerRule>, 11> kTrainerFields{ {
  { "service", &TrainerRule::service_, true },
  { "model", &TrainerRule::model_, true },
  { "staleness", &TrainerRule::staleness_, false, 0, kMaxStaleness },
  { "staleness-age", &TrainerRule::stalenessAge_, false, 0, kMaxAgeMicros },
  { "policy", &TrainerRule::policy_ },
  { "weight", &TrainerRule::weight_, false, 1, kMaxWeight },
  { "in-flight", &TrainerRule::inFlight_, false, 1, kMaxInFlight },
  { "scorer", &TrainerRule::scorer_ },
  { "token-sha256", &TrainerRule::tokenHash_ },
  { "engines-floor", &TrainerRule::enginesFloor_, false, 0, kMaxInFlight },
  { "engines-ceiling", &TrainerRule::enginesCeiling_, false, 1, kMaxInFlight },
} };

constexpr std::array<FieldSpec<OperatorRule>, 1> kOperatorFields{ {
  { "token-sha256", &OperatorRule::tokenHash_, true },
} };

constexpr std::array<FieldSpec<WeightStoreRule>, 3> kWeightStoreFields{ {
  { "address", &WeightStoreRule::address_, true },
  { "parallel-loads", &WeightStoreRule::parallelLoads_, false, 1, 100'000 },
  { "rate", &WeightStoreRule::rate_, false, 1, 100'000 },
} };

constexpr std::array<FieldSpec<OrdersRule>, 2> kOrdersFields{ {
  { "margin", &OrdersRule::margin_, false, 1'000, 60'000'000 },
  { "effect", &OrdersRule::effect_, false, 1'000, 60'000'000 },
} };

constexpr std::array<FieldSpec<ClassLimits>, 3> kClassFields{ {
  { "reserve", &ClassLimits::reserve_, false, 0, kMaxReserve },
  { "share", &ClassLimits::share_, false, 0, kMaxReserve },
  { "queue", &ClassLimits::queue_, false, 1, 1'000'000 },
} };

/// @returns the source location of a section's first key
SourcePlace
FirstKeyLocation(const IniSection& aSection)
{
  return aSection.empty() ? SourcePlace{} : aSection.begin()->second.place_;
}

/// Reads `[KIND NAME]` and adds it to `aOut` under its name.
template<typename Id, typename Rule>
void
ReadNamed(const std::string& aSectionName,
          const std::string& aName,
          const IniSection& aSection,
          std::span<const FieldSpec<Rule>> aFields,
          std::map<Id, Rule>& aOut,
          Findings& aFindings)
{
  Rule rule;
  rule.id_ = Id{ aName };
  ReadFields<Rule>(aSectionName,
                   aSection,
                   FirstKeyLocation(aSection),
                   aFields,
                   rule,
                   aFindings);
  aOut.emplace(rule.id_, std::move(rule));
}

/// Reads `[class NAME]`. Only live callers have `reserve` and only background
/// callers have `share`; elsewhere these keys are findings.
void
ReadClass(const std::string& aSectionName,
          const std::string& aName,
          const IniSection& aSection,
          Rules& aRules,
          Findings& aFindings)
{
  const auto named = ParseRequestClass(aName);
  if (!named) {
    aFindings.Add(FirstKeyLocation(aSection),
                  "[" + aSectionName +
                    "]: the class must be live, trainer or background");
    return;
  }
  ReadFields<ClassLimits>(aSectionName,
                          aSection,
                          FirstKeyLocation(aSection),
                          kClassFields,
                          aRules.classes_.at(static_cast<std::size_t>(*named)),
                          aFindings);
  const auto refuse = [&](const char* aKey, RequestClass aOwner) {
    const auto key = aSection.find(aKey);
    if (key != aSection.end() && *named != aOwner) {
      aFindings.Add(key->second.place_,
                    "[" + aSectionName + "] " + aKey +
                      ": valid only in [class " +
                      std::string(ToString(aOwner)) + "]");
    }
  };
  refuse("reserve", RequestClass::Live);
  refuse("share", RequestClass::Background);
}

} // namespace

namespace impl {

void
ReadSection(const std::string& aSectionName,
            const IniSection& aSection,
            Rules& aRules,
            Findings& aFindings)
{
  const std::size_t space = aSectionName.find(' ');
  const std::string kind = aSectionName.substr(0, space);
  const std::string name =
    space == std::string::npos ? std::string{} : aSectionName.substr(space + 1);
  if (aSectionName == "weight-store") {
    ReadFields<WeightStoreRule>(aSectionName,
                                aSection,
                                FirstKeyLocation(aSection),
                                kWeightStoreFields,
                                aRules.weightStore_,
                                aFindings);
  } else if (aSectionName == "orders") {
    ReadFields<OrdersRule>(aSectionName,
                           aSection,
                           FirstKeyLocation(aSection),
                           kOrdersFields,
                           aRules.orders_,
                           aFindings);
  } else if (kind == "service" && !name.empty()) {
    ReadNamed<ServiceId, ServiceRule>(aSectionName,
                                      name,
                                      aSection,
                                      kServiceFields,
                                      aRules.services_,
                                      aFindings);
  } else if (kind == "upstream" && !name.empty()) {
    ReadNamed<UpstreamId, UpstreamRule>(aSectionName,
                                        name,
                                        aSection,
                                        kUpstreamFields,
                                        aRules.upstreams_,
                                        aFindings);
  } else if (kind == "operator" && !name.empty()) {
    ReadNamed<OperatorId, OperatorRule>(aSectionName,
                                        name,
                                        aSection,
                                        kOperatorFields,
                                        aRules.operators_,
                                        aFindings);
  } else if (kind == "trainer" && !name.empty()) {
    ReadNamed<TrainerId, TrainerRule>(aSectionName,
                                      name,
                                      aSection,
                                      kTrainerFields,
                                      aRules.trainers_,
                                      aFindings);
  } else if (kind == "class" && !name.empty()) {
    ReadClass(aSectionName, name, aSection, aRules, aFindings);
  } else {
    aFindings.Add(FirstKeyLocation(aSection),
                  "[" + aSectionName +
                    "] must be one of [service NAME], [upstream NAME], "
                    "[trainer NAME], [operator NAME], [class NAME], "
                    "[weight-store], [orders]");
  }
}

} // namespace impl

} // namespace marjoramtally
