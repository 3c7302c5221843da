#include "programs/orderd/gateway_poll.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// Where gateways keep their signs of life.
constexpr std::string_view kLives = "mt/c/live/";
/// What a gateway counted since the last round is lost with it.
constexpr auto kPollPause = std::chrono::milliseconds(1000);
constexpr auto kAskTimeout = std::chrono::milliseconds(800);
/// One gateway asks so many others on behalf of the holder, whose calls and
/// connections so stay few.
constexpr std::size_t kMostAsked = 32;
/// Clocks that differ by less are taken for equal.
constexpr auto kSmallStep = std::chrono::milliseconds(3);

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
  lives_ = std::make_unique<PrefixFollower>(
    host_.PlatformStore(), host_.Timers(), std::string(kLives));
  lives_->onAll_ = [this](const StoreRange& aRange) {
    gateways_.clear();
    for (const StoreRecord& record : aRange.records_) {
      TakeLife(record);
    }
  };
  lives_->onChange_ = [this](const StoreEvent& aEvent) {
    if (aEvent.deleted_) {
      DropLife(aEvent.record_.key_);
    } else {
      TakeLife(aEvent.record_);
    }
  };
  lives_->Start();
  timer_ = host_.Timers().After(kPollPause / 4, [this] { Ask(); });
}

void
GatewayPoll::End()
{
  ++round_;
  host_.Timers().Cancel(std::exchange(timer_, 0));
  lives_.reset();
  gateways_.clear();
}

void
GatewayPoll::TakeLife(const StoreRecord& aRecord)
{
  auto life = ReadLivenessRecord(aRecord.value_);
  if (life) {
    gateways_[aRecord.key_.substr(kLives.size())] = std::move(life).value();
  } else {
    LogEvent(LogLevel::Warn,
             "record_unreadable",
             { { "key", aRecord.key_ }, { "error", life.error().message_ } });
  }
}

void
GatewayPoll::DropLife(const std::string& aKey)
{
  gateways_.erase(aKey.substr(kLives.size()));
}

std::set<std::string>
GatewayPoll::Gateways() const
{
  std::set<std::string> names;
  for (const auto& [incarnation, life] : gateways_) {
    names.insert(incarnation);
  }
  return names;
}

void
GatewayPoll::Ask()
{
  ++round_;
  ahead_.clear();
  std::map<ZoneId, std::vector<std::string>> zones;
  for (const auto& [incarnation, life] : gateways_) {
    zones[life.zone_].push_back(life.address_);
  }
  std::vector<std::vector<std::string>> groups;
  for (const auto& [zone, addresses] : zones) {
    for (std::size_t at = 0; at < addresses.size(); at += kMostAsked) {
      const std::size_t end = std::min(at + kMostAsked, addresses.size());
      std::vector<std::string> group(
        addresses.begin() + static_cast<std::ptrdiff_t>(at),
        addresses.begin() + static_cast<std::ptrdiff_t>(end));
      // Another one asks the others each time, so that one which does not
      // answer is passed over.
      std::rotate(group.begin(),
                  group.begin() +
                    static_cast<std::ptrdiff_t>(round_ % group.size()),
                  group.end());
      groups.push_back(std::move(group));
    }
  }
  left_ = groups.size();
  for (std::vector<std::string>& group : groups) {
    AskSome(std::move(group), round_);
  }
  timer_ = host_.Timers().After(kPollPause, [this] { Ask(); });
  if (groups.empty()) {
    EndRound();
  }
}

void
GatewayPoll::AskSome(std::vector<std::string> aAddresses, std::uint64_t aRound)
{
  const std::string first = aAddresses.front();
  aAddresses.erase(aAddresses.begin());
  const TrueTime now = Now();
  const Duration window = host_.Settings().usageWindow_;
  RpcCall call;
  call.topic_ = RpcTopic::Usage;
  call.timeout_ = kAskTimeout;
  call.body_ = EncodeUsageRequest(
    { now,
      window > Duration{ 0 } ? window : Duration{ std::chrono::seconds(5) },
      std::move(aAddresses) });
  host_.Peers().Call(
    first, std::move(call), [this, now, first, aRound](const RpcReply& aReply) {
      OnAnswer(aReply, now, first, aRound);
    });
}

void
GatewayPoll::OnAnswer(const RpcReply& aReply,
                      TrueTime aAsked,
                      const std::string& aAddress,
                      std::uint64_t aRound)
{
  if (aRound != round_ || !lease_.Active()) {
    return;
  }
  const auto answers = aReply
                         ? DecodeUsageReply(aReply.value())
                         : Result<std::vector<GatewayUsage>>(aReply.error());
  if (answers) {
    for (const GatewayUsage& usage : answers.value()) {
      ahead_.push_back(usage.clockAhead_);
      if (onUsage_) {
        onUsage_(usage, aAsked);
      }
    }
  } else {
    LogEvent(
      LogLevel::Info,
      "gateways_not_polled",
      { { "through", aAddress }, { "error", answers.error().message_ } });
  }
  if (--left_ == 0) {
    EndRound();
  }
}

/// Clocks of most instances are close to the true time, and any may jump.
void
GatewayPoll::EndRound()
{
  const Duration step = MedianClockAhead(ahead_);
  if (!ahead_.empty()) {
    if (std::chrono::abs(step) > Duration{ kSmallStep }) {
      LogEvent(LogLevel::Info,
               "time_corrected",
               { { "by_us", std::to_string(step.count()) },
                 { "clocks", std::to_string(ahead_.size()) } });
      offset_ += step;
    }
    calibrated_ = true;
  }
  if (onRound_) {
    onRound_();
  }
}

} // namespace marjoramtally
