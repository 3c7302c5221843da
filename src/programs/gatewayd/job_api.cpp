#include "programs/gatewayd/job_api.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Jobs are released this long before the forced kill: the process exits on its
/// own 0.7 s before it, and a call to the store may need two attempts of 1.2 s
/// each.
constexpr auto kHandoverMargin = std::chrono::milliseconds(3200);
/// Delay before a job that could not be loaded from the store is loaded again.
constexpr auto kLoadRetryDelay = std::chrono::milliseconds(300);
/// Delay before a job whose stored records are unreadable is loaded again.
/// Stored records seldom change, and each attempt makes several billed store
/// calls.
constexpr auto kUnreadableRetryDelay = std::chrono::seconds(3);

/// @returns whether a customer may access a job; a job that was accepted while
/// requests needed no keys is accessible to all customers
bool
MayAccess(const CustomerId& aCustomer, const CustomerId& aOwner)
{
  return aCustomer.Get().empty() || aOwner.Get().empty() || aCustomer == aOwner;
}

/// @returns the customer in an owner record; empty if the record cannot be
/// read, which is logged where its total is needed
CustomerId
CustomerIn(const StoreRecord& aOwner)
{
  const auto record = ReadOwnerRecord(aOwner.value_);
  return record ? record.value().customer_ : CustomerId{};
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
  , intake_(aHost, aStore, aDirectory, aRunner)
  , remote_(aHost)
{
  intake_.onAccepted_ = [this](const JobId& aJob, std::uint64_t aItems) {
    totals_[aJob] = aItems;
  };
  directory_.onOwner_ = [this](const JobId& aJob, const KnownJob& aKnown) {
    OnOwnerChanged(aJob, aKnown);
  };
  host_.Peers().Serve(RpcTopic::Job,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        ServeResults(aCall, aDone);
                      });
  host_.Peers().Serve(RpcTopic::JobBody,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        ServeBody(aCall, aDone);
                      });
  directory_.onEnd_ = [this](const JobId& aJob) { runner_.End(aJob); };
  runner_.onListed_ = [this](const JobId& aJob) { NotifyWaiters(aJob); };
  runner_.onDropped_ = [this](const JobId& aJob) { NotifyWaiters(aJob); };
}

std::string
JobApi::OwnerAddress(const JobId& aJob) const
{
  const KnownJob* known = directory_.Find(aJob);
  return known == nullptr ? std::string()
                          : directory_.AddressOf(known->record_.owner_);
}

void
JobApi::Stop(Duration aGrace)
{
  intake_.Stop();
  host_.Timers().After(
    std::max<Duration>(aGrace - kHandoverMargin, Duration{ 0 }),
    [this] { runner_.ReleaseAll(); });
}

bool
JobApi::Idle()
{
  if (!runner_.HasOpen()) {
    runner_.ReleaseAll();
  }
  return runner_.Idle();
}

void
JobApi::OnOwnerChanged(const JobId& aJob, const KnownJob& aKnown)
{
  const bool mine = aKnown.record_.owner_ == host_.Incarnation();
  totals_.erase(aJob);
  intake_.OnOwner(aJob, mine);
  if (runner_.Owns(aJob)) {
    if (!mine || runner_.FenceOf(aJob) != aKnown.fence_) {
      runner_.Drop(aJob);
    } else {
      return;
    }
  }
  if (mine && intake_.Open()) {
    LoadOwned(aJob, aKnown.fence_);
  } else if (mine && !loading_.contains(aJob)) {
    ReleaseOwnership(aJob, aKnown);
  }
}

/// A job that this process comes to own after it began to stop is not started
/// here. Unless it is released, its next owner waits until this process has
/// ended, up to 7 s.
void
JobApi::ReleaseOwnership(const JobId& aJob, const KnownJob& aKnown)
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
        // Another process takes the job over when this one has ended.
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
    if (!intake_.Open()) {
      ReleaseOwnership(aJob, *known);
      return;
    }
    if (known->fence_ != aFence) {
      // The job was lost and claimed again in the meantime, so the loaded
      // state may be outdated.
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
      // This process is the owner, so no other process would load the job.
      const bool read = spec.error().kind_ == ErrorKind::BadInput;
      host_.Timers().After(read ? Duration{ kUnreadableRetryDelay }
                                : kLoadRetryDelay,
                           [this, aJob, aFence] { LoadOwned(aJob, aFence); });
      return;
    }
    const auto age = std::chrono::milliseconds(std::max<std::int64_t>(
      0, host_.WallMillis() - known->record_.acceptedMillis_));
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
JobApi::Query(const JobQuery& aQuery,
              const HttpRequest& aRequest,
              HttpReplyPtr aReply)
{
  if (!IsValidJobId(aQuery.job_)) {
    aReply->Send(NoSuchJob());
    return;
  }
  switch (aQuery.verb_) {
    case JobQuery::Verb::Read: {
      constexpr std::uint64_t kMaxWaitMillis = 1000;
      const auto wait =
        FindHeader(aRequest.headers_, host_.Formats().Names().wait_);
      const auto millis =
        ParseNumber(wait.value_or("0"), 0, UINT32_MAX).value_or(0);
      Read(aQuery,
           std::chrono::milliseconds(std::min(millis, kMaxWaitMillis)),
           std::move(aReply));
      return;
    }
    case JobQuery::Verb::Body:
      ReadBody(aQuery, std::move(aReply));
      return;
    case JobQuery::Verb::End:
      End(aQuery, std::move(aReply));
      return;
  }
}

void
JobApi::IfExists(const JobQuery& aQuery,
                 HttpReplyPtr aReply,
                 std::function<void()> aKnown)
{
  const JobId& job = aQuery.job_;
  const KnownJob* known = directory_.Find(job);
  if (known != nullptr || runner_.Owns(job)) {
    const CustomerId& owner =
      known != nullptr ? known->record_.customer_ : runner_.CustomerOf(job);
    if (MayAccess(aQuery.customer_, owner)) {
      aKnown();
    } else {
      aReply->Send(NoSuchJob());
    }
    return;
  }
  store_.ReadOwner(
    job,
    [this, aQuery, aReply, found = std::move(aKnown)](
      const Result<std::optional<StoreRecord>>& aOwner) {
      if (!aOwner) {
        aReply->Send(
          RefusedResponse("the store cannot be asked", kJobRetryAfter));
      } else if (!aOwner.value() ||
                 !MayAccess(aQuery.customer_, CustomerIn(*aOwner.value()))) {
        aReply->Send(NoSuchJob());
      } else {
        RecordTotal(aQuery.job_, *aOwner.value());
        found();
      }
    });
}

/// An unreadable record still proves that the job exists, but its total is
/// then unknown rather than 0.
void
JobApi::RecordTotal(const JobId& aJob, const StoreRecord& aOwner)
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

/// The number of items is compared with the job's record, because a submission
/// with missing parts may still be valid text.
Result<JobSpec>
JobApi::ReadSpec(const JobId& aJob, const JobSubmissionRecord& aStored) const
{
  auto spec = host_.Formats().ReadSubmission(aStored.body_);
  if (spec && spec.value().items_.size() != TotalOf(aJob)) {
    spec = Error{
      ErrorKind::BadInput,
      "the submission contains " + std::to_string(spec.value().items_.size()) +
        " items, which differs from the total in the job's owner record"
    };
  }
  if (!spec) {
    LogEvent(LogLevel::Error,
             "job_unreadable",
             { { "job", aJob.Get() }, { "error", spec.error().message_ } });
  }
  return spec;
}

void
JobApi::End(const JobQuery& aQuery, HttpReplyPtr aReply)
{
  IfExists(aQuery, aReply, [this, job = aQuery.job_, aReply] {
    const KnownJob* known = directory_.Find(job);
    if (known != nullptr && known->ended_) {
      aReply->Send(JsonResponse(200, "{}"));
      return;
    }
    store_.End(job, [this, job, aReply](WriteOutcome aOutcome) {
      const bool refused = aOutcome == WriteOutcome::Refused;
      const bool written = aOutcome == WriteOutcome::Written;
      LogEvent(LogLevel::Info,
               "job_end_asked",
               { { "job", job.Get() },
                 { "outcome",
                   written   ? "written"
                   : refused ? "refused"
                             : "not known" } });
      if (refused) {
        aReply->Send(RefusedResponse("the store took nothing", kJobRetryAfter));
        return;
      }
      if (!written) {
        aReply->Send(UnknownOutcomeResponse());
        return;
      }
      runner_.End(job);
      aReply->Send(JsonResponse(200, "{}"));
    });
  });
}

} // namespace marjoramtally
