#include "programs/gatewayd/job_intake.hpp"

#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <array>

namespace marjoramtally {

namespace {

constexpr std::size_t kMaxIdLength = 100;
/// If the process that is to own a job does not answer within this time, the
/// job is accepted here. An acceptance is one write to the store, which takes
/// some milliseconds, and a trainer's submission is late after 400 ms.
constexpr auto kForwardTimeout = std::chrono::milliseconds(200);

/// Time after which a write whose outcome is unknown is no longer applied; the
/// store may apply one some seconds late.
constexpr auto kUnsettledRetention = std::chrono::seconds(60);

void
DropExpired(std::map<JobId, TimePoint>& aJobs, TimePoint aNow)
{
  std::erase_if(aJobs, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= Duration{ kUnsettledRetention };
  });
}

/// A model's burst is recorded again if it has grown by this factor.
constexpr double kBurstGrowth = 1.25;

std::string_view
NameOf(AcceptOutcome aOutcome)
{
  constexpr std::array<std::string_view, 4> kNames{
    "accepted", "known", "refused", "unknown"
  };
  return kNames.at(static_cast<std::size_t>(aOutcome));
}

/// @returns the first place in a submission that cannot be sent to an upstream
/// as part of one request; empty if there is none
std::string
FindUnsafePlace(const JobSpec& aSpec)
{
  for (std::size_t i = 0; i < aSpec.items_.size(); ++i) {
    const JobItem& item = aSpec.items_[i];
    const std::string place = "items[" + std::to_string(i) + "]";
    if (!item.path_.starts_with('/') || !IsSafeInRequestLine(item.path_)) {
      return place + ".path is no path";
    }
    if (!IsSafeHeader("id", item.id_.Get())) {
      return place + ".id contains a line break";
    }
    for (const auto& [name, value] : item.headers_) {
      if (!IsSafeHeader(name, value)) {
        return place + ".headers." + name + " is no header of one line";
      }
    }
    if (item.score_ && (!item.score_->path_.starts_with('/') ||
                        !IsSafeInRequestLine(item.score_->path_) ||
                        !IsSafeHeader("host", item.score_->host_) ||
                        !IsSafeHeader("id", item.score_->id_.Get()))) {
      return place + ": its score call is no request";
    }
  }
  return {};
}

/// @returns the outcome in the answer; `Unknown` if there is none
AcceptOutcome
ReadForwardOutcome(const RpcReply& aReply)
{
  const auto end = aReply ? DecodeJobHandoverReply(aReply.value())
                          : Result<std::uint8_t>(aReply.error());
  const bool known =
    end && end.value() <= static_cast<std::uint8_t>(AcceptOutcome::Unknown);
  return known ? static_cast<AcceptOutcome>(end.value())
               : AcceptOutcome::Unknown;
}

} // namespace

HttpResponse
UnknownOutcomeResponse()
{
  return ErrorResponse(
    504, "unknown_outcome", "the store did not say whether it took it");
}

bool
IsValidJobId(const JobId& aJob)
{
  const std::string& id = aJob.Get();
  return !id.empty() && id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' ||
                  aByte == '.';
         });
}

JobIntake::JobIntake(GatewayContext& aHost,
                     JobStore& aStore,
                     JobDirectory& aDirectory,
                     JobRunner& aRunner)
  : host_(aHost)
  , store_(aStore)
  , directory_(aDirectory)
  , runner_(aRunner)
{
  host_.Peers().Serve(RpcTopic::JobHandOn,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        ServeForwarded(aCall, aDone);
                      });
}

void
JobIntake::Submit(HttpRequest aRequest,
                  ConfigRevision aRevision,
                  HttpReplyPtr aReply,
                  const CustomerId& aCustomer)
{
  const auto id =
    FindHeader(aRequest.headers_, host_.Formats().Names().attempt_);
  const JobId job{ std::string(id.value_or("")) };
  if (!IsValidJobId(job)) {
    aReply->Send(ErrorResponse(
      400, "bad_job", "the job's id is missing or not letters and digits"));
    return;
  }
  if (const CustomerId* owner = FindAccepted(job)) {
    AnswerKnown(*owner, aCustomer, *aReply);
    return;
  }
  if (!open_) {
    if (MayBeAccepted(job)) {
      aReply->Send(UnknownOutcomeResponse());
    } else {
      aReply->Send(RefusedResponse("shutting down", kJobRetryAfter));
    }
    return;
  }
  auto spec = ReadSubmission(aRequest.body_);
  if (!spec) {
    LogEvent(LogLevel::Warn,
             "job_rejected",
             { { "job", job.Get() }, { "error", spec.error().message_ } });
    aReply->Send(ErrorResponse(400, "bad_job", spec.error().message_));
    return;
  }
  const auto submission = std::make_shared<const Submission>(Submission{
    job,
    { std::string(FindHeader(aRequest.headers_, "Host").value_or("")),
      std::move(aRequest.path_),
      std::move(aRequest.body_),
      aRevision,
      aCustomer },
    std::move(spec).value() });
  const std::string owner = directory_.OwnerFor(submission->spec_.model_);
  if (!owner.empty()) {
    ForwardToOwner(submission, owner, aReply);
    return;
  }
  AcceptHere(submission, [this, submission, aReply](AcceptOutcome aOutcome) {
    Answer(*submission, aOutcome, *aReply);
  });
}

Result<JobSpec>
JobIntake::ReadSubmission(std::string_view aBody) const
{
  auto spec = host_.Formats().ReadSubmission(aBody);
  const std::string unsafe = spec ? FindUnsafePlace(spec.value()) : "";
  if (!unsafe.empty()) {
    return Error{ ErrorKind::BadInput, unsafe };
  }
  return spec;
}

/// Where duties are called, the holder of the order duty polls the gateways
/// instead.
StorePut
JobIntake::GrownBurst(const JobSpec& aSpec)
{
  const std::uint64_t slots =
    runner_.SlotsWantedOf(aSpec.model_) + aSpec.items_.size();
  std::uint64_t& recorded = recordedBursts_[aSpec.model_];
  if (!host_.Settings().dutyCalls_.empty() || aSpec.model_.empty() ||
      static_cast<double>(slots) <=
        kBurstGrowth * static_cast<double>(recorded)) {
    return {};
  }
  recorded = slots;
  return { kBurstPrefix + aSpec.model_, std::to_string(slots), 0 };
}

void
JobIntake::AcceptHere(const SubmissionPtr& aSubmission, AcceptDone aDone)
{
  refused_.erase(aSubmission->job_);
  ++writing_[aSubmission->job_];
  store_.Accept(
    aSubmission->job_,
    aSubmission->record_,
    aSubmission->spec_.items_.size(),
    [this, aSubmission, done = std::move(aDone)](const AcceptResult& aResult) {
      const JobId& job = aSubmission->job_;
      if (--writing_.at(job) == 0) {
        writing_.erase(job);
      }
      const AcceptOutcome outcome = Settle(job, aResult.outcome_);
      if (outcome == AcceptOutcome::Accepted ||
          outcome == AcceptOutcome::Known) {
        OnAccepted(*aSubmission);
      }
      LogEvent(LogLevel::Info,
               "job_submitted",
               { { "job", job.Get() },
                 { "outcome", std::string(NameOf(outcome)) },
                 { "why", aResult.why_ } });
      done(outcome);
      if (aResult.outcome_ == AcceptOutcome::Accepted) {
        StartAccepted(*aSubmission, aResult.fence_);
      } else {
        recordedBursts_.erase(aSubmission->spec_.model_);
      }
    },
    GrownBurst(aSubmission->spec_));
}

/// A refusal promises that the job does not run, which the refusal of a
/// repeated submission does not prove for the earlier ones.
AcceptOutcome
JobIntake::Settle(const JobId& aJob, AcceptOutcome aLast)
{
  const TimePoint now = host_.Now();
  DropExpired(refused_, now);
  const bool confirmed =
    aLast == AcceptOutcome::Accepted || aLast == AcceptOutcome::Known;
  if (confirmed) {
    return aLast;
  }
  if (FindAccepted(aJob) != nullptr) {
    return AcceptOutcome::Known;
  }
  if (aLast == AcceptOutcome::Unknown) {
    unsettled_[aJob] = now;
  } else if (MayBeAccepted(aJob)) {
    return AcceptOutcome::Unknown;
  } else {
    refused_[aJob] = now;
  }
  return aLast;
}

void
JobIntake::OnAccepted(const Submission& aSubmission)
{
  const TimePoint now = host_.Now();
  accepted_[aSubmission.job_] = { aSubmission.record_.customer_, now };
  // While the store answers nobody, no watch reports what it holds.
  DropExpired(unsettled_, now);
}

bool
JobIntake::MayBeAccepted(const JobId& aJob) const
{
  return unsettled_.contains(aJob) || writing_.contains(aJob);
}

const CustomerId*
JobIntake::FindAccepted(const JobId& aJob)
{
  if (const KnownJob* known = directory_.Find(aJob)) {
    return &known->record_.customer_;
  }
  if (runner_.Owns(aJob)) {
    return &runner_.CustomerOf(aJob);
  }
  const TimePoint now = host_.Now();
  std::erase_if(accepted_, [now](const auto& aEntry) {
    return now - aEntry.second.at_ >= Duration{ kUnsettledRetention };
  });
  const auto accepted = accepted_.find(aJob);
  return accepted == accepted_.end() ? nullptr : &accepted->second.customer_;
}

void
JobIntake::OnOwner(const JobId& aJob, bool aMine)
{
  const auto refused = refused_.find(aJob);
  if (refused == refused_.end()) {
    return;
  }
  // Another process accepted the job; this one may take it over later.
  if (aMine) {
    host_.Measures().Count("refused_jobs_accepted_total");
    LogEvent(
      LogLevel::Error,
      "refused_job_accepted",
      { { "job", aJob.Get() },
        { "refused_ms_ago",
          std::to_string(WholeMillis(host_.Now() - refused->second)) } });
  }
  refused_.erase(refused);
}

/// The answer to the write may arrive after the notifications of the job's end
/// or its next owner, which are not repeated.
void
JobIntake::StartAccepted(const Submission& aSubmission, FencingNumber aFence)
{
  const JobId& job = aSubmission.job_;
  if (runner_.Owns(job) || !open_) {
    return;
  }
  if (!directory_.IsCurrent(job, aFence)) {
    LogEvent(LogLevel::Info,
             "job_not_started",
             { { "job", job.Get() },
               { "fence", std::to_string(aFence.Get()) },
               { "why", "it has ended or has a newer owner" } });
    return;
  }
  runner_.Add(job, aFence, aSubmission.record_, aSubmission.spec_, {}, {}, {});
}

/// A repeated id is a retry of the same submission, unless two customers chose
/// the same id.
void
JobIntake::AnswerKnown(const CustomerId& aOwner,
                       const CustomerId& aAsker,
                       HttpReply& aReply)
{
  if (aOwner.Get().empty() || aAsker.Get().empty() || aOwner == aAsker) {
    aReply.Send(JsonResponse(202, "{}"));
  } else {
    aReply.Send(ErrorResponse(
      409, "id_taken", "another customer's job has this id; take a new one"));
  }
}

/// A refusal promises that the job does not run, so it must not be sent if the
/// other process may have accepted the job.
void
JobIntake::ForwardToOwner(const SubmissionPtr& aSubmission,
                          const std::string& aOwner,
                          const HttpReplyPtr& aReply)
{
  RpcCall call;
  call.topic_ = RpcTopic::JobHandOn;
  call.timeout_ = kForwardTimeout;
  call.body_ = EncodeJobHandover(
    { aSubmission->job_.Get(), WriteSubmissionRecord(aSubmission->record_) });
  host_.Peers().Call(
    aOwner,
    std::move(call),
    [this, aSubmission, aOwner, aReply](const RpcReply& aAnswer) {
      const AcceptOutcome end = ReadForwardOutcome(aAnswer);
      LogEvent(LogLevel::Info,
               "job_handed_on",
               { { "job", aSubmission->job_.Get() },
                 { "to", aOwner },
                 { "outcome", std::string(NameOf(end)) },
                 { "error", aAnswer ? "" : aAnswer.error().message_ } });
      if (end == AcceptOutcome::Accepted || end == AcceptOutcome::Known) {
        OnAccepted(*aSubmission);
        Answer(*aSubmission, end, *aReply);
        return;
      }
      if (end == AcceptOutcome::Unknown) {
        unsettled_[aSubmission->job_] = host_.Now();
      }
      AcceptHere(
        aSubmission, [this, aSubmission, aReply, end](AcceptOutcome aLocal) {
          const bool mayBeAccepted =
            aLocal == AcceptOutcome::Refused && end == AcceptOutcome::Unknown;
          Answer(*aSubmission,
                 mayBeAccepted ? AcceptOutcome::Unknown : aLocal,
                 *aReply);
        });
    });
}

void
JobIntake::ServeForwarded(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto answer = [aDone](AcceptOutcome aOutcome) {
    aDone(EncodeJobHandoverReply(static_cast<std::uint8_t>(aOutcome)));
  };
  const auto forwarded = DecodeJobHandover(aCall.body_);
  auto record = forwarded ? ReadSubmissionRecord(forwarded.value().submission_)
                          : Result<JobSubmissionRecord>(forwarded.error());
  auto spec = record ? ReadSubmission(record.value().body_)
                     : Result<JobSpec>(record.error());
  if (!spec || !IsValidJobId(JobId{ forwarded.value().job_ })) {
    LogEvent(LogLevel::Warn,
             "job_hand_on_unreadable",
             { { "error", spec ? "bad id" : spec.error().message_ } });
    answer(AcceptOutcome::Refused);
    return;
  }
  const JobId job{ forwarded.value().job_ };
  if (FindAccepted(job) != nullptr) {
    answer(AcceptOutcome::Known);
    return;
  }
  if (!open_) {
    answer(MayBeAccepted(job) ? AcceptOutcome::Unknown
                              : AcceptOutcome::Refused);
    return;
  }
  AcceptHere(std::make_shared<const Submission>(Submission{
               job, std::move(record).value(), std::move(spec).value() }),
             answer);
}

void
JobIntake::Answer(const Submission& aSubmission,
                  AcceptOutcome aOutcome,
                  HttpReply& aReply) const
{
  switch (aOutcome) {
    case AcceptOutcome::Accepted:
      onAccepted_(aSubmission.job_, aSubmission.spec_.items_.size());
      aReply.Send(JsonResponse(202, "{}"));
      return;
    case AcceptOutcome::Known:
      aReply.Send(JsonResponse(202, "{}"));
      return;
    case AcceptOutcome::Refused:
      aReply.Send(RefusedResponse("the store took nothing", kJobRetryAfter));
      return;
    case AcceptOutcome::Unknown:
      aReply.Send(UnknownOutcomeResponse());
      return;
  }
}

} // namespace marjoramtally
