#include "marjoramtally/process/usage_ledger.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/base/json_numbers.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

} // namespace

std::string
WriteSettledWindow(const SettledWindow& aWindow)
{
  Json counts = Json::object();
  for (const auto& [customer, count] : aWindow.counts_) {
    counts[customer.Get()] = count;
  }
  return Json({ { "counts", std::move(counts) }, { "sent", aWindow.sent_ } })
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<SettledWindow>
ReadSettledWindow(std::string_view aText)
{
  try {
    const Json value = ParseJson(aText);
    SettledWindow window;
    window.sent_ = value.at("sent").get<bool>();
    for (const auto& [customer, count] : value.at("counts").items()) {
      window.counts_[CustomerId{ customer }] =
        WholeNumber<std::uint64_t>(count, "count", kMaxExactNumber);
    }
    return window;
  } catch (const std::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("cannot parse settled usage window: ") +
                    failure.what() };
  }
}

UsageLedger::UsageLedger(UsagePolicy aPolicy)
  : policy_(aPolicy)
{
}

TrueTime
UsageLedger::EndOf(UsageWindow aWindow) const noexcept
{
  return TrueTime{ policy_.window_ * static_cast<std::int64_t>(aWindow + 1) };
}

void
UsageLedger::Begin(std::map<UsageWindow, SettledWindow> aSettled, TrueTime aNow)
{
  settled_ = std::move(aSettled);
  reported_.clear();
  requestedAt_.clear();
  const UsageWindow present = WindowOf(aNow, policy_.window_);
  next_ = settled_.empty() ? present : settled_.rbegin()->first + 1;
  // Gateways no longer hold counts of older windows.
  const auto retained =
    static_cast<UsageWindow>(UsageMeter::kRetention / policy_.window_);
  if (present > retained) {
    next_ = std::max(next_, present - retained);
  }
}

void
UsageLedger::OnUsage(const GatewayUsage& aUsage, TrueTime aRequestedAt)
{
  for (const auto& [window, counts] : aUsage.counts_) {
    if (window >= next_) {
      reported_[window][aUsage.incarnation_] = counts;
    }
  }
  TrueTime& asked = requestedAt_[aUsage.incarnation_];
  asked = std::max(asked, aRequestedAt);
}

std::optional<UsageWindow>
UsageLedger::NextDue(TrueTime aNow, const std::set<std::string>& aLive) const
{
  const TrueTime end = EndOf(next_);
  const TrueTime collected{ end.sinceEpoch_ + policy_.collectionDelay_ };
  if (aNow < collected) {
    return std::nullopt;
  }
  const bool complete =
    !aLive.empty() &&
    std::all_of(aLive.begin(), aLive.end(), [&](const std::string& aGateway) {
      const auto asked = requestedAt_.find(aGateway);
      return asked != requestedAt_.end() && asked->second >= collected;
    });
  const auto longest = std::chrono::duration_cast<Duration>(
    policy_.reportDeadline_ * policy_.maxWaitShare_);
  const bool last = aNow.sinceEpoch_ - end.sinceEpoch_ >= longest;
  return complete || last ? std::optional(next_) : std::nullopt;
}

CustomerCounts
UsageLedger::CountsOf(UsageWindow aWindow) const
{
  CustomerCounts sum;
  const auto reported = reported_.find(aWindow);
  if (reported == reported_.end()) {
    return sum;
  }
  for (const auto& [gateway, counts] : reported->second) {
    for (const auto& [customer, count] : counts) {
      sum[customer] += count;
    }
  }
  return sum;
}

void
UsageLedger::OnSettled(UsageWindow aWindow, SettledWindow aSettled)
{
  settled_[aWindow] = std::move(aSettled);
  next_ = std::max(next_, aWindow + 1);
  reported_.erase(reported_.begin(), reported_.lower_bound(next_));
}

std::optional<UsageWindow>
UsageLedger::NextToSend() const
{
  for (const auto& [window, settled] : settled_) {
    if (!settled.sent_) {
      return window;
    }
  }
  return std::nullopt;
}

void
UsageLedger::OnSent(UsageWindow aWindow)
{
  const auto settled = settled_.find(aWindow);
  if (settled != settled_.end()) {
    settled->second.sent_ = true;
  }
}

std::vector<UsageWindow>
UsageLedger::TakeObsolete()
{
  std::vector<UsageWindow> old;
  while (settled_.size() > kRetainedWindows && settled_.begin()->second.sent_) {
    old.push_back(settled_.begin()->first);
    settled_.erase(settled_.begin());
  }
  return old;
}

} // namespace marjoramtally
