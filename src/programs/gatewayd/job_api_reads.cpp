#include "programs/gatewayd/job_api.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// A page of results holds at most so many bytes of text; the platform's
/// limit is 1 MB for the whole body.
constexpr std::size_t kPageBytes = 800'000;
/// A read of another process's job that finds nothing is answered after one
/// more reading so much later.
constexpr auto kRemoteWait = std::chrono::milliseconds(600);

} // namespace

void
JobApi::Read(const JobQuery& aQuery, Duration aWait, HttpReplyPtr aReply)
{
  IfExists(aQuery.job_, aReply, [this, aQuery, aWait, aReply] {
    if (runner_.Owns(aQuery.job_)) {
      ReadOwned(aQuery.job_, aQuery.after_, aWait, aReply);
    } else {
      ReadRemote(aQuery.job_, aQuery.after_, aWait, aReply);
    }
  });
}

std::optional<std::uint64_t>
JobApi::TotalOf(const JobId& aJob) const
{
  if (const JobLedger* ledger = runner_.Find(aJob)) {
    return ledger->Spec().items_.size();
  }
  if (const KnownJob* known = directory_.Find(aJob)) {
    return known->record_.total_;
  }
  const auto total = totals_.find(aJob);
  return total == totals_.end() ? std::nullopt : std::optional(total->second);
}

void
JobApi::SendPage(const JobId& aJob,
                 std::uint64_t aAfter,
                 const HttpReplyPtr& aReply)
{
  const auto total = TotalOf(aJob);
  if (!total) {
    // A caller would take a page with a wrong total for the truth.
    LogEvent(LogLevel::Warn, "job_total_unknown", { { "job", aJob.Get() } });
    aReply->Send(
      RefusedResponse("the job's record cannot be read", kJobComeBack));
    return;
  }
  const JobLedger* ledger = runner_.Find(aJob);
  const std::vector<JobResult>& remote = remote_.Of(aJob);
  const std::size_t count =
    ledger != nullptr ? ledger->Listed().size() : remote.size();
  ResultPage page;
  page.total_ = *total;
  page.next_ = aAfter;
  std::size_t bytes = 0;
  for (; page.next_ < count; ++page.next_) {
    JobResult result = ledger != nullptr
                         ? ledger->ResultOf(ledger->Listed()[page.next_])
                         : remote[page.next_];
    bytes += result.text_.size();
    if (bytes > kPageBytes && !page.results_.empty()) {
      break;
    }
    page.results_.push_back(std::move(result));
  }
  aReply->Send(JsonResponse(200, host_.Formats().WritePage(page)));
}

void
JobApi::ReadOwned(const JobId& aJob,
                  std::uint64_t aAfter,
                  Duration aWait,
                  HttpReplyPtr aReply)
{
  const bool any = runner_.Find(aJob)->Listed().size() > aAfter;
  if (any || aWait.count() == 0) {
    SendPage(aJob, aAfter, aReply);
    return;
  }
  const LoopTimerId timer = host_.Timers().After(
    aWait, [this, aJob, aReply] { EndWait(aJob, aReply); });
  waiters_[aJob].push_back({ aAfter, aReply, timer });
}

void
JobApi::ReadRemote(const JobId& aJob,
                   std::uint64_t aAfter,
                   Duration aWait,
                   HttpReplyPtr aReply)
{
  remote_.Refresh(
    aJob, OwnerAddress(aJob), [this, aJob, aAfter, aWait, aReply](bool aRead) {
      if (!aRead) {
        aReply->Send(
          RefusedResponse("the store cannot be asked", kJobComeBack));
      } else if (remote_.Of(aJob).size() > aAfter || aWait.count() == 0) {
        SendPage(aJob, aAfter, aReply);
      } else {
        host_.Timers().After(std::min<Duration>(aWait, kRemoteWait),
                             [this, aJob, aAfter, aReply] {
                               ReadRemote(aJob, aAfter, {}, aReply);
                             });
      }
    });
}

void
JobApi::EndWait(const JobId& aJob, const HttpReplyPtr& aReply)
{
  const auto it = waiters_.find(aJob);
  if (it == waiters_.end()) {
    return;
  }
  const auto found = std::find_if(
    it->second.begin(), it->second.end(), [&](const Waiter& aWaiter) {
      return aWaiter.reply_ == aReply;
    });
  if (found == it->second.end()) {
    return;
  }
  const std::uint64_t after = found->after_;
  it->second.erase(found);
  if (runner_.Owns(aJob)) {
    SendPage(aJob, after, aReply);
  } else {
    ReadRemote(aJob, after, {}, aReply);
  }
}

void
JobApi::Wake(const JobId& aJob)
{
  auto node = waiters_.extract(aJob);
  if (node.empty()) {
    return;
  }
  for (const Waiter& waiter : node.mapped()) {
    const JobLedger* ledger = runner_.Find(aJob);
    if (ledger != nullptr && ledger->Listed().size() <= waiter.after_) {
      waiters_[aJob].push_back(waiter);
      continue;
    }
    host_.Timers().Cancel(waiter.timer_);
    if (ledger != nullptr) {
      SendPage(aJob, waiter.after_, waiter.reply_);
    } else {
      ReadRemote(aJob, waiter.after_, {}, waiter.reply_);
    }
  }
}

} // namespace marjoramtally
