#include "programs/gatewayd/job_api.hpp"

#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Maximum size of the texts in one page of results; the platform limits the
/// complete body to 1 MB.
constexpr std::size_t kMaxPageBytes = 800'000;
/// A read of a job owned by another process is answered after at most this
/// wait for a new result.
constexpr auto kMaxRemoteWait = std::chrono::milliseconds(800);
/// The body is read from the store if the owner does not answer within this
/// time.
constexpr auto kBodyTimeout = std::chrono::milliseconds(300);

/// @returns nothing if the job has no such item
std::optional<std::string>
FindBody(const JobSpec& aSpec, const ItemId& aItem)
{
  const auto it = std::find_if(
    aSpec.items_.begin(), aSpec.items_.end(), [&](const JobItem& aCandidate) {
      return aCandidate.id_ == aItem;
    });
  return it == aSpec.items_.end() ? std::nullopt : std::optional(it->body_);
}

void
SendBody(HttpReply& aReply, std::optional<std::string> aBody)
{
  if (!aBody) {
    aReply.Send(ErrorResponse(404, "no_such_item", "the job has no such item"));
    return;
  }
  aReply.Send({ 200,
                { { "Content-Type", "application/octet-stream" } },
                std::move(*aBody) });
}

} // namespace

void
JobApi::Read(const JobQuery& aQuery, Duration aWait, HttpReplyPtr aReply)
{
  IfExists(aQuery, aReply, [this, aQuery, aWait, aReply] {
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
    // A caller would trust a page with a wrong total.
    LogEvent(LogLevel::Warn, "job_total_unknown", { { "job", aJob.Get() } });
    aReply->Send(
      RefusedResponse("the job's record cannot be read", kJobRetryAfter));
    return;
  }
  const JobLedger* ledger = runner_.Find(aJob);
  const std::vector<JobResult>& remote = remote_.ResultsOf(aJob);
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
    if (bytes > kMaxPageBytes && !page.results_.empty()) {
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
  WaitFor(aJob, aAfter, aWait, [this, aJob, aAfter, aReply] {
    if (runner_.Owns(aJob)) {
      SendPage(aJob, aAfter, aReply);
    } else {
      ReadRemote(aJob, aAfter, {}, aReply);
    }
  });
}

/// The second request waits at the owner, so that a result is returned as soon
/// as it is listed. If the store were polled every 0.6 s, a step's last result
/// would be reported 0.3 s late on average, while the longest texts leave a
/// step less than a second.
void
JobApi::ReadRemote(const JobId& aJob,
                   std::uint64_t aAfter,
                   Duration aWait,
                   HttpReplyPtr aReply)
{
  const auto send = [this, aJob, aAfter, aReply](bool aRead) {
    if (aRead) {
      SendPage(aJob, aAfter, aReply);
    } else {
      aReply->Send(
        RefusedResponse("the store cannot be asked", kJobRetryAfter));
    }
  };
  remote_.Refresh(aJob,
                  OwnerAddress(aJob),
                  {},
                  [this, aJob, aAfter, aWait, send](bool aRead) {
                    if (!aRead || remote_.ResultsOf(aJob).size() > aAfter ||
                        aWait.count() == 0) {
                      send(aRead);
                      return;
                    }
                    const Duration wait =
                      std::min<Duration>(aWait, kMaxRemoteWait);
                    const std::string owner = OwnerAddress(aJob);
                    if (!owner.empty()) {
                      remote_.Refresh(aJob, owner, wait, send);
                      return;
                    }
                    host_.Timers().After(wait, [this, aJob, send] {
                      remote_.Refresh(aJob, "", {}, send);
                    });
                  });
}

void
JobApi::ServeResults(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto request = DecodeJobResultsRequest(aCall.body_);
  const JobId job{ request ? request.value().job_ : std::string() };
  if (!request || !runner_.Owns(job)) {
    aDone(Error{ ErrorKind::NotFound, "this process does not own the job" });
    return;
  }
  const std::uint64_t after = request.value().after_;
  WaitFor(job, after, request.value().wait_, [this, job, after, aDone] {
    SendResultsToPeer(job, after, aDone);
  });
}

void
JobApi::SendResultsToPeer(const JobId& aJob,
                          std::uint64_t aAfter,
                          const RpcDone& aDone) const
{
  const JobLedger* ledger = runner_.Find(aJob);
  if (ledger == nullptr) {
    aDone(Error{ ErrorKind::NotFound, "this process lost the job" });
    return;
  }
  std::vector<JobResult> results;
  for (std::uint64_t i = aAfter; i < ledger->Listed().size(); ++i) {
    results.push_back(ledger->ResultOf(ledger->Listed()[i]));
  }
  aDone(EncodeJobResultsReply(WriteResultsRecord(results)));
}

void
JobApi::WaitFor(const JobId& aJob,
                std::uint64_t aAfter,
                Duration aWait,
                std::function<void()> aAnswer)
{
  if (aWait.count() == 0 || runner_.Find(aJob)->Listed().size() > aAfter) {
    aAnswer();
    return;
  }
  const std::uint64_t id = ++lastWaiter_;
  const LoopTimerId timer =
    host_.Timers().After(aWait, [this, aJob, id] { OnWaitTimeout(aJob, id); });
  waiters_[aJob].push_back({ id, aAfter, std::move(aAnswer), timer });
}

void
JobApi::OnWaitTimeout(const JobId& aJob, std::uint64_t aWaiter)
{
  const auto it = waiters_.find(aJob);
  if (it == waiters_.end()) {
    return;
  }
  const auto found = std::find_if(
    it->second.begin(), it->second.end(), [aWaiter](const Waiter& aEntry) {
      return aEntry.id_ == aWaiter;
    });
  if (found == it->second.end()) {
    return;
  }
  const auto answer = std::move(found->answer_);
  it->second.erase(found);
  answer();
}

void
JobApi::NotifyWaiters(const JobId& aJob)
{
  auto node = waiters_.extract(aJob);
  if (node.empty()) {
    return;
  }
  for (Waiter& waiter : node.mapped()) {
    const JobLedger* ledger = runner_.Find(aJob);
    if (ledger != nullptr && ledger->Listed().size() <= waiter.after_) {
      waiters_[aJob].push_back(std::move(waiter));
      continue;
    }
    host_.Timers().Cancel(waiter.timer_);
    waiter.answer_();
  }
}

void
JobApi::ReadBody(const JobQuery& aQuery, HttpReplyPtr aReply)
{
  IfExists(aQuery, aReply, [this, aQuery, aReply] {
    if (const JobLedger* ledger = runner_.Find(aQuery.job_)) {
      SendBody(*aReply, FindBody(ledger->Spec(), aQuery.item_));
      return;
    }
    const std::string owner = OwnerAddress(aQuery.job_);
    if (owner.empty()) {
      BodyFromStore(aQuery, aReply);
    } else {
      BodyFromOwner(aQuery, owner, aReply);
    }
  });
}

/// Avoids reading the complete submission from the store for each body.
void
JobApi::BodyFromOwner(const JobQuery& aQuery,
                      const std::string& aOwner,
                      const HttpReplyPtr& aReply)
{
  RpcCall call;
  call.topic_ = RpcTopic::JobBody;
  call.timeout_ = kBodyTimeout;
  call.body_ = EncodeJobBodyRequest({ aQuery.job_.Get(), aQuery.item_.Get() });
  host_.Peers().Call(
    aOwner, std::move(call), [this, aQuery, aReply](const RpcReply& aAnswer) {
      auto body = aAnswer ? DecodeJobBodyReply(aAnswer.value())
                          : Result<std::optional<std::string>>(aAnswer.error());
      if (body) {
        SendBody(*aReply, std::move(body).value());
      } else {
        BodyFromStore(aQuery, aReply);
      }
    });
}

void
JobApi::BodyFromStore(const JobQuery& aQuery, const HttpReplyPtr& aReply)
{
  const auto take =
    [this, aQuery, aReply](const Result<JobSubmissionRecord>& aStored) {
      // 404 for an item is sent only if the complete submission was read.
      const auto spec = aStored ? ReadSpec(aQuery.job_, aStored.value())
                                : Result<JobSpec>(aStored.error());
      if (spec) {
        SendBody(*aReply, FindBody(spec.value(), aQuery.item_));
        return;
      }
      LogEvent(
        LogLevel::Warn,
        "item_not_read",
        { { "job", aQuery.job_.Get() }, { "error", spec.error().message_ } });
      aReply->Send(
        RefusedResponse("the submission cannot be read", kJobRetryAfter));
    };
  store_.LoadSubmission(aQuery.job_, take);
}

void
JobApi::ServeBody(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto request = DecodeJobBodyRequest(aCall.body_);
  const JobLedger* ledger =
    request ? runner_.Find(JobId{ request.value().job_ }) : nullptr;
  if (ledger == nullptr) {
    aDone(Error{ ErrorKind::NotFound, "this process does not own the job" });
    return;
  }
  aDone(EncodeJobBodyReply(
    FindBody(ledger->Spec(), ItemId{ request.value().item_ })));
}

} // namespace marjoramtally
