#include "marjoramtally/process/usage_book.hpp"

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
    const Json value = Json::parse(aText);
    SettledWindow window;
    window.sent_ = value.at("sent").get<bool>();
    for (const auto& [customer, count] : value.at("counts").items()) {
      window.counts_[CustomerId{ customer }] = count.get<std::uint64_t>();
    }
    return window;
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("a settled window is unreadable: ") +
                    failure.what() };
  }
}

UsageBook::UsageBook(UsagePolicy aPolicy)
  : policy_(aPolicy)
{
}

TrueTime
UsageBook::EndOf(UsageWindow aWindow) const noexcept
{
  return TrueTime{ policy_.window_ * static_cast<std::int64_t>(aWindow + 1) };
}

void
UsageBook::Begin(std::map<UsageWindow, SettledWindow> aSettled, TrueTime aNow)
{
  settled_ = std::move(aSettled);
  told_.clear();
  asked_.clear();
  const UsageWindow present = WindowOf(aNow, policy_.window_);
  next_ = settled_.empty() ? present : settled_.rbegin()->first + 1;
  // Of windows longer ago nobody holds counts any more.
  const auto kept =
    static_cast<UsageWindow>(UsageMeter::kKept / policy_.window_);
  if (present > kept) {
    next_ = std::max(next_, present - kept);
  }
}

void
UsageBook::OnUsage(const GatewayUsage& aUsage, TrueTime aAsked)
{
  for (const auto& [window, counts] : aUsage.counts_) {
    if (window >= next_) {
      told_[window][aUsage.incarnation_] = counts;
    }
  }
  TrueTime& asked = asked_[aUsage.incarnation_];
  asked = std::max(asked, aAsked);
}

std::optional<UsageWindow>
UsageBook::NextDue(TrueTime aNow, const std::set<std::string>& aLive) const
{
  const TrueTime end = EndOf(next_);
  const TrueTime collected{ end.sinceEpoch_ + policy_.collect_ };
  if (aNow < collected) {
    return std::nullopt;
  }
  const bool whole =
    !aLive.empty() &&
    std::all_of(aLive.begin(), aLive.end(), [&](const std::string& aGateway) {
      const auto asked = asked_.find(aGateway);
      return asked != asked_.end() && asked->second >= collected;
    });
  const auto longest =
    std::chrono::duration_cast<Duration>(policy_.late_ * policy_.longestShare_);
  const bool last = aNow.sinceEpoch_ - end.sinceEpoch_ >= longest;
  return whole || last ? std::optional(next_) : std::nullopt;
}

CustomerCounts
UsageBook::CountsOf(UsageWindow aWindow) const
{
  CustomerCounts sum;
  const auto told = told_.find(aWindow);
  if (told == told_.end()) {
    return sum;
  }
  for (const auto& [gateway, counts] : told->second) {
    for (const auto& [customer, count] : counts) {
      sum[customer] += count;
    }
  }
  return sum;
}

void
UsageBook::OnSettled(UsageWindow aWindow, SettledWindow aSettled)
{
  settled_[aWindow] = std::move(aSettled);
  next_ = std::max(next_, aWindow + 1);
  told_.erase(told_.begin(), told_.lower_bound(next_));
}

std::optional<UsageWindow>
UsageBook::NextToSend() const
{
  for (const auto& [window, settled] : settled_) {
    if (!settled.sent_) {
      return window;
    }
  }
  return std::nullopt;
}

void
UsageBook::OnSent(UsageWindow aWindow)
{
  const auto settled = settled_.find(aWindow);
  if (settled != settled_.end()) {
    settled->second.sent_ = true;
  }
}

std::vector<UsageWindow>
UsageBook::TakeOld()
{
  std::vector<UsageWindow> old;
  while (settled_.size() > kKeptWindows && settled_.begin()->second.sent_) {
    old.push_back(settled_.begin()->first);
    settled_.erase(settled_.begin());
  }
  return old;
}

} // namespace marjoramtally
