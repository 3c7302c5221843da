#include "programs/orderd/usage_duty.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <fmt/format.h>

namespace marjoramtally {

namespace {

constexpr std::string_view kWindowPrefix = "mt/usage/";
constexpr auto kStoreRetryPause = std::chrono::milliseconds(700);
/// A record of a window later than this is another writer's: windows are
/// settled when they are over, and clocks differ by some seconds.
constexpr auto kMaxClockDifference = std::chrono::hours(1);
/// After a timeout the platform may still accept the report.
constexpr auto kReportTimeout = std::chrono::milliseconds(1500);

std::string
KeyOf(UsageWindow aWindow)
{
  return fmt::format("{}{:012}", kWindowPrefix, aWindow);
}

std::uint64_t
SumOf(const CustomerCounts& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto& [customer, count] : aCounts) {
    sum += count;
  }
  return sum;
}

} // namespace

UsageDuty::UsageDuty(GatewayContext& aHost,
                     DutyLease& aLease,
                     GatewayPoll& aPoll)
  : host_(aHost)
  , lease_(aLease)
  , poll_(aPoll)
  , ledger_({ aHost.Settings().usageWindow_, aHost.Settings().usageLate_ })
{
  if (host_.Settings().usageWindow_ > Duration{ 0 } &&
      !host_.Settings().dutyCalls_.empty()) {
    lease_.Add({ [this] { Begin(); }, [this] { End(); } });
  }
}

void
UsageDuty::Begin()
{
  restored_ = false;
  settling_ = false;
  sending_ = false;
  ReadSettled(++term_);
}

void
UsageDuty::End()
{
  ++term_;
  restored_ = false;
}

void
UsageDuty::ReadSettled(std::uint64_t aTerm)
{
  host_.PlatformStore().Read(
    std::string(kWindowPrefix),
    [this, aTerm](const Result<StoreRange>& aRange) {
      if (!IsCurrent(aTerm)) {
        return;
      }
      if (aRange) {
        OnSettledRead(aRange.value());
        return;
      }
      LogEvent(LogLevel::Warn,
               "usage_not_read",
               { { "error", aRange.error().message_ } });
      host_.Timers().After(kStoreRetryPause, [this, aTerm] {
        if (IsCurrent(aTerm)) {
          ReadSettled(aTerm);
        }
      });
    });
}

void
UsageDuty::OnSettledRead(const StoreRange& aRange)
{
  std::map<UsageWindow, SettledWindow> settled;
  const UsageWindow last =
    WindowOf({ poll_.Now().sinceEpoch_ + kMaxClockDifference },
             host_.Settings().usageWindow_);
  for (const StoreRecord& record : aRange.records_) {
    const auto window =
      ParseNumber(record.key_.substr(kWindowPrefix.size()), 0, last);
    auto read = ReadSettledWindow(record.value_);
    if (window && read) {
      settled.emplace(*window, std::move(read).value());
    } else {
      // The record remains and its window is not settled again: settling
      // requires that the window has no record.
      LogEvent(
        LogLevel::Error,
        "record_unreadable",
        { { "key", record.key_ },
          { "error",
            read ? "invalid window number in key" : read.error().message_ } });
    }
  }
  if (settled.empty()) {
    WriteFirstWindow();
    return;
  }
  restored_ = true;
  ledger_.Begin(std::move(settled), poll_.Now());
  Advance();
}

/// Records the window before the first one as sent. Otherwise a holder that
/// ends before it settles a window would leave no record of where to begin.
void
UsageDuty::WriteFirstWindow()
{
  const UsageWindow before =
    WindowOf(poll_.Now(), host_.Settings().usageWindow_) - 1;
  StoreTxn txn;
  txn.compares_.push_back(lease_.Compare());
  txn.compares_.push_back({ KeyOf(before), 0 });
  txn.puts_.push_back({ KeyOf(before), WriteSettledWindow({ {}, true }), 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, term = term_](const Result<StoreCommit>& aEnd) {
      if (!IsCurrent(term)) {
        return;
      }
      const Duration pause =
        aEnd ? Duration{ 0 } : Duration{ kStoreRetryPause };
      host_.Timers().After(pause, [this, term] {
        if (IsCurrent(term)) {
          ReadSettled(term);
        }
      });
    });
}

void
UsageDuty::Advance()
{
  if (!restored_ || !lease_.Held()) {
    return;
  }
  const auto due = ledger_.NextDue(poll_.Now(), poll_.Gateways());
  if (due && poll_.Calibrated() && !settling_) {
    Settle(*due);
  }
  if (!sending_) {
    SendNext();
  }
}

/// The same write marks the previous window as sent and deletes obsolete ones,
/// so that each window takes one write.
void
UsageDuty::Settle(UsageWindow aWindow)
{
  settling_ = true;
  SettledWindow settled{ ledger_.CountsOf(aWindow), false };
  StoreTxn txn;
  txn.compares_.push_back(lease_.Compare());
  txn.compares_.push_back({ KeyOf(aWindow), 0 });
  txn.puts_.push_back({ KeyOf(aWindow), WriteSettledWindow(settled), 0 });
  const auto& before = ledger_.Settled();
  if (!before.empty() && before.rbegin()->second.sent_) {
    txn.puts_.push_back({ KeyOf(before.rbegin()->first),
                          WriteSettledWindow(before.rbegin()->second),
                          0 });
  }
  for (const UsageWindow old : ledger_.TakeObsolete()) {
    txn.deletes_.push_back(KeyOf(old));
  }
  host_.PlatformStore().Commit(
    std::move(txn),
    [this, aWindow, settled = std::move(settled), term = term_](
      const Result<StoreCommit>& aEnd) {
      if (IsCurrent(term)) {
        OnSettled(aWindow, settled, aEnd);
      }
    });
}

void
UsageDuty::OnSettled(UsageWindow aWindow,
                     SettledWindow aSettled,
                     const Result<StoreCommit>& aEnd)
{
  if (!aEnd || !aEnd.value().applied_) {
    // This write may have been applied without a reply, or an earlier one may
    // have settled the window.
    ReadBack(aWindow);
    return;
  }
  settling_ = false;
  host_.Measures().Count("usage_windows_settled_total");
  host_.Measures().Set("usage_last_settled", static_cast<double>(aWindow));
  LogEvent(
    LogLevel::Info,
    "usage_settled",
    { { "window", std::to_string(aWindow) },
      { "customers", std::to_string(aSettled.counts_.size()) },
      { "requests", std::to_string(SumOf(aSettled.counts_)) },
      { "gateways", std::to_string(poll_.Gateways().size()) },
      { "late_ms",
        std::to_string(WholeMillis(poll_.Now().sinceEpoch_ -
                                   host_.Settings().usageWindow_ *
                                     static_cast<std::int64_t>(aWindow + 1))) },
      { "fence", std::to_string(lease_.Fence().Get()) } });
  ledger_.OnSettled(aWindow, std::move(aSettled));
  Advance();
}

void
UsageDuty::ReadBack(UsageWindow aWindow)
{
  const std::string key = KeyOf(aWindow);
  host_.PlatformStore().Read(
    key, [this, key, aWindow, term = term_](const Result<StoreRange>& aRange) {
      if (!IsCurrent(term)) {
        return;
      }
      settling_ = false;
      if (!aRange) {
        LogEvent(LogLevel::Warn,
                 "usage_not_read",
                 { { "error", aRange.error().message_ } });
        return;
      }
      if (aRange.value().records_.empty()) {
        return;
      }
      auto settled = ReadSettledWindow(aRange.value().records_.front().value_);
      if (!settled) {
        LogEvent(LogLevel::Error,
                 "record_unreadable",
                 { { "key", key }, { "error", settled.error().message_ } });
        return;
      }
      ledger_.OnSettled(aWindow, std::move(settled).value());
      Advance();
    });
}

void
UsageDuty::SendNext()
{
  const auto window = ledger_.NextToSend();
  if (!window || !lease_.Held()) {
    return;
  }
  sending_ = true;
  HttpCall call = host_.Formats().MakeUsageCall(
    host_.Settings().dutyCalls_,
    lease_.Caller(),
    { *window, ledger_.Settled().at(*window).counts_ });
  call.timeout_ = kReportTimeout;
  call.connectTimeout_ = kReportTimeout;
  lease_.OnCallSent();
  host_.Client().Send(
    std::move(call),
    [this, window = *window, term = term_](const HttpResult& aResult) {
      if (IsCurrent(term)) {
        OnReportReply(window, aResult);
      }
    });
}

void
UsageDuty::OnReportReply(UsageWindow aWindow, const HttpResult& aResult)
{
  sending_ = false;
  const bool answered = aResult.end_ == HttpEnd::Complete;
  const int status = answered ? aResult.response_.status_ : 0;
  LogEvent(LogLevel::Info,
           "usage_sent",
           { { "window", std::to_string(aWindow) },
             { "fence", std::to_string(lease_.Fence().Get()) },
             { "status", std::to_string(status) },
             { "error", aResult.message_ } });
  if (status == 200) {
    host_.Measures().Count("usage_windows_sent_total");
    host_.Measures().Set("usage_last_sent", static_cast<double>(aWindow));
    ledger_.OnSent(aWindow);
    SendNext();
  } else if (status == 409) {
    lease_.OnFenced();
  }
  // On any other status the next round sends the same report again.
}

} // namespace marjoramtally
