#include "programs/orderd/gateway_poll.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// Prefix of the gateways' liveness records.
constexpr std::string_view kLivenessPrefix = "mt/c/live/";
/// If a gateway fails, its counts since the last round are lost.
constexpr auto kPollInterval = std::chrono::milliseconds(1000);
constexpr auto kPollTimeout = std::chrono::milliseconds(800);
/// One gateway of each group polls the rest of the group on behalf of the
/// holder, which limits the holder's calls and connections.
constexpr std::size_t kMaxGroupSize = 32;
/// Smaller differences between clocks are ignored.
constexpr auto kMinClockCorrection = std::chrono::milliseconds(3);

} // namespace

GatewayPoll::GatewayPoll(GatewayContext& aHost, DutyLease& aLease)
  : host_(aHost)
  , lease_(aLease)
{
  if (!host_.Settings().dutyCalls_.empty()) {
    lease_.Add({ [this] { Begin(); }, [this] { End(); } });
  }
}

void
GatewayPoll::Begin()
{
  offset_ = host_.WallTime() - (host_.Now() - TimePoint{});
  calibrated_ = false;
  livenessRecords_ = std::make_unique<PrefixFollower>(
    host_.PlatformStore(), host_.Timers(), std::string(kLivenessPrefix));
  livenessRecords_->onSnapshot_ = [this](const StoreRange& aRange) {
    liveGateways_.clear();
    for (const StoreRecord& record : aRange.records_) {
      OnLivenessRecord(record);
    }
  };
  livenessRecords_->onChange_ = [this](const StoreEvent& aEvent) {
    if (aEvent.deleted_) {
      OnLivenessDeleted(aEvent.record_.key_);
    } else {
      OnLivenessRecord(aEvent.record_);
    }
  };
  livenessRecords_->Start();
  timer_ = host_.Timers().After(kPollInterval / 4, [this] { StartRound(); });
}

void
GatewayPoll::End()
{
  ++round_;
  host_.Timers().Cancel(std::exchange(timer_, 0));
  livenessRecords_.reset();
  liveGateways_.clear();
}

void
GatewayPoll::OnLivenessRecord(const StoreRecord& aRecord)
{
  auto liveness = ReadLivenessRecord(aRecord.value_);
  if (liveness) {
    liveGateways_[aRecord.key_.substr(kLivenessPrefix.size())] =
      std::move(liveness).value();
  } else {
    LogEvent(
      LogLevel::Warn,
      "record_unreadable",
      { { "key", aRecord.key_ }, { "error", liveness.error().message_ } });
  }
}

void
GatewayPoll::OnLivenessDeleted(const std::string& aKey)
{
  liveGateways_.erase(aKey.substr(kLivenessPrefix.size()));
}

std::set<std::string>
GatewayPoll::Gateways() const
{
  std::set<std::string> names;
  for (const auto& [incarnation, liveness] : liveGateways_) {
    names.insert(incarnation);
  }
  return names;
}

void
GatewayPoll::StartRound()
{
  ++round_;
  clocksAhead_.clear();
  std::map<ZoneId, std::vector<std::string>> zones;
  for (const auto& [incarnation, liveness] : liveGateways_) {
    zones[liveness.zone_].push_back(liveness.address_);
  }
  std::vector<std::vector<std::string>> groups;
  for (const auto& [zone, addresses] : zones) {
    for (std::size_t at = 0; at < addresses.size(); at += kMaxGroupSize) {
      const std::size_t end = std::min(at + kMaxGroupSize, addresses.size());
      std::vector<std::string> group(
        addresses.begin() + static_cast<std::ptrdiff_t>(at),
        addresses.begin() + static_cast<std::ptrdiff_t>(end));
      // A different gateway polls its group in each round, so that an
      // unresponsive one does not block its group permanently.
      std::rotate(group.begin(),
                  group.begin() +
                    static_cast<std::ptrdiff_t>(round_ % group.size()),
                  group.end());
      groups.push_back(std::move(group));
    }
  }
  pendingReplies_ = groups.size();
  for (std::vector<std::string>& group : groups) {
    PollGroup(std::move(group), round_);
  }
  timer_ = host_.Timers().After(kPollInterval, [this] { StartRound(); });
  if (groups.empty()) {
    FinishRound();
  }
}

void
GatewayPoll::PollGroup(std::vector<std::string> aAddresses,
                       std::uint64_t aRound)
{
  const std::string first = aAddresses.front();
  aAddresses.erase(aAddresses.begin());
  const TrueTime now = Now();
  const Duration window = host_.Settings().usageWindow_;
  RpcCall call;
  call.topic_ = RpcTopic::Usage;
  call.timeout_ = kPollTimeout;
  call.body_ = EncodeUsageRequest(
    { now,
      window > Duration{ 0 } ? window : Duration{ std::chrono::seconds(5) },
      std::move(aAddresses) });
  host_.Peers().Call(
    first, std::move(call), [this, now, first, aRound](const RpcReply& aReply) {
      OnReply(aReply, now, first, aRound);
    });
}

void
GatewayPoll::OnReply(const RpcReply& aReply,
                     TrueTime aRequestedAt,
                     const std::string& aAddress,
                     std::uint64_t aRound)
{
  if (aRound != round_ || !lease_.Active()) {
    return;
  }
  const auto usages = aReply
                        ? DecodeUsageReply(aReply.value())
                        : Result<std::vector<GatewayUsage>>(aReply.error());
  if (usages) {
    for (const GatewayUsage& usage : usages.value()) {
      clocksAhead_.push_back(usage.clockAhead_);
      if (onUsage_) {
        onUsage_(usage, aRequestedAt);
      }
    }
  } else {
    LogEvent(LogLevel::Info,
             "gateways_not_polled",
             { { "through", aAddress }, { "error", usages.error().message_ } });
  }
  if (--pendingReplies_ == 0) {
    FinishRound();
  }
}

/// The median is used because most clocks are close to the true time, while any
/// single clock may jump.
void
GatewayPoll::FinishRound()
{
  const Duration step = MedianClockAhead(clocksAhead_);
  if (!clocksAhead_.empty()) {
    if (std::chrono::abs(step) > Duration{ kMinClockCorrection }) {
      LogEvent(LogLevel::Info,
               "time_corrected",
               { { "by_us", std::to_string(step.count()) },
                 { "clocks", std::to_string(clocksAhead_.size()) } });
      offset_ += step;
    }
    calibrated_ = true;
  }
  if (onRound_) {
    onRound_();
  }
}

} // namespace marjoramtally
