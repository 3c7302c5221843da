#include "programs/gatewayd/job_api.hpp"

#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Jobs are given back this long before the forced end: the process ends by
/// itself 0.7 s before it, and the store may answer only at a second attempt,
/// of 1.2 s each.
constexpr auto kHandOverTime = std::chrono::milliseconds(3200);
/// A job's owner record that could not be loaded is tried again.
constexpr auto kLoadAgain = std::chrono::milliseconds(300);
/// So is a job of which what was read makes no sense, a tenth as often: what is
/// stored seldom changes, and each look is some priced calls.
constexpr auto kReadAgain = std::chrono::seconds(3);
constexpr std::size_t kLongestId = 100;

std::int64_t
WallMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// Ids become parts of keys in the store.
bool
GoodId(const JobId& aJob)
{
  const std::string& id = aJob.Get();
  return !id.empty() && id.size() <= kLongestId &&
         std::all_of(id.begin(), id.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' ||
                  aByte == '.';
         });
}

HttpResponse
NoSuchJob()
{
  return ErrorResponse(404, "no_such_job", "there is no such job");
}

} // namespace

JobApi::JobApi(GatewayContext& aHost,
               JobStore& aStore,
               JobDirectory& aDirectory,
               JobRunner& aRunner)
  : host_(aHost)
  , store_(aStore)
  , directory_(aDirectory)
  , runner_(aRunner)
  , remote_(aHost)
{
  directory_.onOwner_ = [this](const JobId& aJob, const KnownJob& aKnown) {
    TakeOwner(aJob, aKnown);
  };
  host_.Peers().Serve(RpcTopic::Job,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        ServePeer(aCall, aDone);
                      });
  directory_.onEnd_ = [this](const JobId& aJob) { runner_.End(aJob); };
  runner_.onListed_ = [this](const JobId& aJob) { Wake(aJob); };
  runner_.onDropped_ = [this](const JobId& aJob) { Wake(aJob); };
}

std::string
JobApi::OwnerAddress(const JobId& aJob) const
{
  const KnownJob* known = directory_.Find(aJob);
  return known == nullptr ? std::string()
                          : directory_.AddressOf(known->record_.owner_);
}

void
JobApi::ServePeer(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto ask = DecodeJobAsk(aCall.body_);
  const JobLedger* ledger =
    ask ? runner_.Find(JobId{ ask.value().job_ }) : nullptr;
  if (ledger == nullptr) {
    aDone(Error{ ErrorKind::NotFound, "this process does not own the job" });
    return;
  }
  std::vector<JobResult> results;
  for (std::uint64_t i = ask.value().after_; i < ledger->Listed().size(); ++i) {
    results.push_back(ledger->ResultOf(ledger->Listed()[i]));
  }
  aDone(EncodeJobAnswer(WriteResultsRecord(results)));
}

void
JobApi::Stop(Duration aGrace)
{
  accepting_ = false;
  host_.Timers().After(
    std::max<Duration>(aGrace - kHandOverTime, Duration{ 0 }),
    [this] { runner_.GiveBack(); });
}

bool
JobApi::Idle()
{
  if (!runner_.HasOpen()) {
    runner_.GiveBack();
  }
  return runner_.Idle();
}

void
JobApi::TakeOwner(const JobId& aJob, const KnownJob& aKnown)
{
  const bool mine = aKnown.record_.owner_ == host_.Incarnation();
  totals_.erase(aJob);
  if (runner_.Owns(aJob)) {
    if (!mine || runner_.FenceOf(aJob) != aKnown.fence_) {
      runner_.Drop(aJob);
    } else {
      return;
    }
  }
  if (mine && accepting_) {
    LoadOwned(aJob, aKnown.fence_);
  } else if (mine && !loading_.contains(aJob)) {
    HandBack(aJob, aKnown);
  }
}

/// A job that became ours after the stop began is started by nobody while we
/// live: its next owner would wait for our end, 7 s at most.
void
JobApi::HandBack(const JobId& aJob, const KnownJob& aKnown)
{
  LogEvent(LogLevel::Info,
           "job_handed_back",
           { { "job", aJob.Get() },
             { "fence", std::to_string(aKnown.fence_.Get()) } });
  JobOwnerRecord record = aKnown.record_;
  record.owner_.clear();
  store_.ChangeOwner(
    aJob,
    record,
    aKnown.fence_,
    [aJob](const Result<std::optional<FencingNumber>>& aFence) {
      if (!aFence) {
        // Whoever follows the signs of life takes it over at our end.
        LogEvent(
          LogLevel::Warn,
          "job_not_handed_back",
          { { "job", aJob.Get() }, { "error", aFence.error().message_ } });
      }
    });
}

void
JobApi::LoadOwned(const JobId& aJob, FencingNumber aFence)
{
  if (!loading_.insert(aJob).second) {
    return;
  }
  store_.Load(aJob, [this, aJob, aFence](const Result<StoredJob>& aStored) {
    loading_.erase(aJob);
    const KnownJob* known = directory_.Find(aJob);
    if (known == nullptr || known->ended_ || runner_.Owns(aJob) ||
        known->record_.owner_ != host_.Incarnation()) {
      return;
    }
    if (!accepting_) {
      HandBack(aJob, *known);
      return;
    }
    if (known->fence_ != aFence) {
      // Lost and claimed again meanwhile: what was read may be old.
      LoadOwned(aJob, known->fence_);
      return;
    }
    if (!aStored) {
      LogEvent(
        LogLevel::Warn,
        "job_load_failed",
        { { "job", aJob.Get() }, { "error", aStored.error().message_ } });
    }
    auto spec = aStored ? ReadSpec(aJob, aStored.value().submission_)
                        : Result<JobSpec>(aStored.error());
    if (!spec) {
      // We are its owner, so that nobody else would look at it.
      const bool read = spec.error().kind_ == ErrorKind::BadInput;
      host_.Timers().After(read ? Duration{ kReadAgain } : kLoadAgain,
                           [this, aJob, aFence] { LoadOwned(aJob, aFence); });
      return;
    }
    const auto age = std::chrono::milliseconds(
      std::max<std::int64_t>(0, WallMillis() - known->record_.acceptedMillis_));
    runner_.Add(aJob,
                aFence,
                aStored.value().submission_,
                std::move(spec).value(),
                aStored.value().results_,
                aStored.value().partials_,
                age);
  });
}

void
JobApi::Submit(HttpRequest aRequest,
               ConfigRevision aRevision,
               HttpReplyPtr aReply)
{
  const auto id =
    FindHeader(aRequest.headers_, host_.Formats().Names().attempt_);
  const JobId job{ std::string(id.value_or("")) };
  if (!GoodId(job)) {
    aReply->Send(ErrorResponse(
      400, "bad_job", "the job's id is missing or not letters and digits"));
    return;
  }
  if (directory_.Find(job) != nullptr) {
    aReply->Send(JsonResponse(202, "{}"));
    return;
  }
  if (!accepting_) {
    aReply->Send(RefusedResponse("shutting down", kJobComeBack));
    return;
  }
  auto spec = host_.Formats().ReadSubmission(aRequest.body_);
  if (!spec) {
    LogEvent(LogLevel::Warn,
             "job_rejected",
             { { "job", job.Get() }, { "error", spec.error().message_ } });
    aReply->Send(ErrorResponse(400, "bad_job", spec.error().message_));
    return;
  }
  const JobSubmissionRecord submission{
    std::string(FindHeader(aRequest.headers_, "Host").value_or("")),
    std::move(aRequest.path_),
    std::move(aRequest.body_),
    aRevision
  };
  const std::uint64_t total = spec.value().items_.size();
  store_.Accept(job,
                submission,
                total,
                [this, job, submission, spec = std::move(spec).value(), aReply](
                  const AcceptResult& aResult) {
                  Accepted(job, submission, spec, aResult, aReply);
                });
}

void
JobApi::Accepted(const JobId& aJob,
                 const JobSubmissionRecord& aSubmission,
                 JobSpec aSpec,
                 const AcceptResult& aResult,
                 const HttpReplyPtr& aReply)
{
  constexpr std::array<std::string_view, 4> kNames{
    "accepted", "known", "refused", "unknown"
  };
  LogEvent(
    LogLevel::Info,
    "job_submitted",
    { { "job", aJob.Get() },
      { "outcome",
        std::string(kNames.at(static_cast<std::size_t>(aResult.end_))) } });
  switch (aResult.end_) {
    case AcceptEnd::Accepted:
      aReply->Send(JsonResponse(202, "{}"));
      totals_[aJob] = aSpec.items_.size();
      if (!runner_.Owns(aJob) && accepting_) {
        runner_.Add(
          aJob, aResult.fence_, aSubmission, std::move(aSpec), {}, {}, {});
      }
      return;
    case AcceptEnd::Known:
      aReply->Send(JsonResponse(202, "{}"));
      return;
    case AcceptEnd::Refused:
      aReply->Send(RefusedResponse("the store took nothing", kJobComeBack));
      return;
    case AcceptEnd::Unknown:
      aReply->Send(ErrorResponse(
        504, "unknown_outcome", "the store did not say whether it took it"));
      return;
  }
}

void
JobApi::Query(const JobQuery& aQuery,
              const HttpRequest& aRequest,
              HttpReplyPtr aReply)
{
  if (!GoodId(aQuery.job_)) {
    aReply->Send(NoSuchJob());
    return;
  }
  switch (aQuery.verb_) {
    case JobQuery::Verb::Read: {
      constexpr std::uint64_t kLongestWaitMillis = 1000;
      const auto wait =
        FindHeader(aRequest.headers_, host_.Formats().Names().wait_);
      const auto millis =
        ParseNumber(wait.value_or("0"), 0, UINT32_MAX).value_or(0);
      Read(aQuery,
           std::chrono::milliseconds(std::min(millis, kLongestWaitMillis)),
           std::move(aReply));
      return;
    }
    case JobQuery::Verb::Body:
      Body(aQuery, std::move(aReply));
      return;
    case JobQuery::Verb::End:
      End(aQuery, std::move(aReply));
      return;
  }
}

void
JobApi::IfExists(const JobId& aJob,
                 HttpReplyPtr aReply,
                 std::function<void()> aKnown)
{
  if (runner_.Owns(aJob) || directory_.Find(aJob) != nullptr) {
    aKnown();
    return;
  }
  store_.ReadOwner(aJob,
                   [this, aJob, aReply, known = std::move(aKnown)](
                     const Result<std::optional<StoreRecord>>& aOwner) {
                     if (!aOwner) {
                       aReply->Send(RefusedResponse("the store cannot be asked",
                                                    kJobComeBack));
                     } else if (!aOwner.value()) {
                       aReply->Send(NoSuchJob());
                     } else {
                       NoteTotal(aJob, *aOwner.value());
                       known();
                     }
                   });
}

/// A record that cannot be read still says that the job exists; its total is
/// unknown then, which is not a total of 0.
void
JobApi::NoteTotal(const JobId& aJob, const StoreRecord& aOwner)
{
  const auto record = ReadOwnerRecord(aOwner.value_);
  if (record) {
    totals_[aJob] = record.value().total_;
    return;
  }
  totals_.erase(aJob);
  LogEvent(LogLevel::Error,
           "record_unreadable",
           { { "key", aOwner.key_ }, { "error", record.error().message_ } });
}

/// The items are counted against the job's record: parts that are missing may
/// leave text that can be read.
Result<JobSpec>
JobApi::ReadSpec(const JobId& aJob, const JobSubmissionRecord& aStored) const
{
  auto spec = host_.Formats().ReadSubmission(aStored.body_);
  if (spec && spec.value().items_.size() != TotalOf(aJob)) {
    spec = Error{ ErrorKind::BadInput,
                  "the submission holds " +
                    std::to_string(spec.value().items_.size()) +
                    " items, which is not the number in the job's record" };
  }
  if (!spec) {
    LogEvent(LogLevel::Error,
             "job_unreadable",
             { { "job", aJob.Get() }, { "error", spec.error().message_ } });
  }
  return spec;
}

void
JobApi::Body(const JobQuery& aQuery, HttpReplyPtr aReply)
{
  const auto answer = [item = aQuery.item_, aReply](const JobSpec& aSpec) {
    for (const JobItem& candidate : aSpec.items_) {
      if (candidate.id_ == item) {
        HttpResponse response;
        response.headers_.push_back(
          { "Content-Type", "application/octet-stream" });
        response.body_ = candidate.body_;
        aReply->Send(std::move(response));
        return;
      }
    }
    aReply->Send(
      ErrorResponse(404, "no_such_item", "the job has no such item"));
  };
  if (const JobLedger* ledger = runner_.Find(aQuery.job_)) {
    answer(ledger->Spec());
    return;
  }
  IfExists(aQuery.job_, aReply, [this, job = aQuery.job_, answer, aReply] {
    const auto take =
      [this, job, answer, aReply](const Result<JobSubmissionRecord>& aStored) {
        // An item is denied only by a submission that was read whole.
        const auto spec = aStored ? ReadSpec(job, aStored.value())
                                  : Result<JobSpec>(aStored.error());
        if (spec) {
          answer(spec.value());
          return;
        }
        LogEvent(LogLevel::Warn,
                 "item_not_read",
                 { { "job", job.Get() }, { "error", spec.error().message_ } });
        aReply->Send(
          RefusedResponse("the submission cannot be read", kJobComeBack));
      };
    store_.LoadSubmission(job, take);
  });
}

void
JobApi::End(const JobQuery& aQuery, HttpReplyPtr aReply)
{
  const KnownJob* known = directory_.Find(aQuery.job_);
  if (known != nullptr && known->ended_) {
    aReply->Send(JsonResponse(200, "{}"));
    return;
  }
  IfExists(aQuery.job_, aReply, [this, job = aQuery.job_, aReply] {
    store_.End(job, [this, job, aReply](bool aWritten) {
      LogEvent(LogLevel::Info,
               "job_end_asked",
               { { "job", job.Get() },
                 { "outcome", aWritten ? "written" : "not known" } });
      if (!aWritten) {
        aReply->Send(RefusedResponse("the store did not answer", kJobComeBack));
        return;
      }
      runner_.End(job);
      aReply->Send(JsonResponse(200, "{}"));
    });
  });
}

} // namespace marjoramtally
