/// Accepts jobs. Each job is accepted by the process that is to own it, or by
/// this one if the other does not answer.
#pragma once

#include "marjoramtally/runtime/http_server.hpp"
#include "programs/gatewayd/job_directory.hpp"
#include "programs/gatewayd/job_runner.hpp"

namespace marjoramtally {

/// Retry-After for requests about jobs that could not be answered.
inline constexpr auto kJobRetryAfter = std::chrono::milliseconds(300);

/// @returns the answer to a caller if the store may have applied a write
[[nodiscard]] HttpResponse
UnknownOutcomeResponse();

/// @returns whether the id may be part of a key in the store
[[nodiscard]] bool
IsValidJobId(const JobId& aJob);

/// Answers submissions from callers and from other gateways. Used on one loop.
class JobIntake
{
public:
  /// All arguments outlive this.
  JobIntake(GatewayContext& aHost,
            JobStore& aStore,
            JobDirectory& aDirectory,
            JobRunner& aRunner);

  /// Set before use. Called for each job that was accepted through this
  /// process.
  std::function<void(const JobId&, std::uint64_t aItems)> onAccepted_;

  /// @param aRevision the configuration whose routes matched the request
  /// @param aCustomer the customer that submits the job; empty if requests
  /// need no keys
  void Submit(HttpRequest aRequest,
              ConfigRevision aRevision,
              HttpReplyPtr aReply,
              const CustomerId& aCustomer);
  /// Reports a broken promise if the store lists a job first with this process
  /// as its owner although each of its writes of that job was refused.
  /// @param aMine whether this process owns the job
  void OnOwner(const JobId& aJob, bool aMine);
  /// Stops accepting jobs.
  void Stop() noexcept { open_ = false; }
  [[nodiscard]] bool Open() const noexcept { return open_; }

private:
  struct Submission
  {
    JobId job_;
    JobSubmissionRecord record_;
    JobSpec spec_;
  };
  using SubmissionPtr = std::shared_ptr<const Submission>;
  struct AcceptedJob
  {
    CustomerId customer_;
    TimePoint at_;
  };
  using AcceptDone = std::function<void(AcceptOutcome)>;

  /// @returns `BadInput`, with the place, also for what cannot be sent to an
  /// upstream
  [[nodiscard]] Result<JobSpec> ReadSubmission(std::string_view aBody) const;
  /// Writes the acceptance to the store and owns the job afterwards.
  void AcceptHere(const SubmissionPtr& aSubmission, AcceptDone aDone);
  /// @returns the outcome of all submissions of a job here, given that of the
  /// last one
  [[nodiscard]] AcceptOutcome Settle(const JobId& aJob, AcceptOutcome aLast);
  void OnAccepted(const Submission& aSubmission);
  /// @returns the customer of a job that is listed, or was accepted through
  /// this process and is not listed yet because no watch has reported it;
  /// nullptr for any other job
  [[nodiscard]] const CustomerId* FindAccepted(const JobId& aJob);
  /// @returns whether an earlier submission of a job through this process may
  /// be accepted
  [[nodiscard]] bool MayBeAccepted(const JobId& aJob) const;
  /// @returns a record for the holder of the order duty of the slots that the
  /// items of a model will want, if they are more than recorded before; else
  /// one without a key
  [[nodiscard]] StorePut GrownBurst(const JobSpec& aSpec);
  /// Starts a job that was accepted here, unless it has ended or changed its
  /// owner in the meantime.
  void StartAccepted(const Submission& aSubmission, FencingNumber aFence);
  void ForwardToOwner(const SubmissionPtr& aSubmission,
                      const std::string& aOwner,
                      const HttpReplyPtr& aReply);
  /// Accepts a job that another gateway forwards.
  void ServeForwarded(const RpcCall& aCall, const RpcDone& aDone);
  static void AnswerKnown(const CustomerId& aOwner,
                          const CustomerId& aAsker,
                          HttpReply& aReply);
  void Answer(const Submission& aSubmission,
              AcceptOutcome aOutcome,
              HttpReply& aReply) const;

  GatewayContext& host_;
  JobStore& store_;
  JobDirectory& directory_;
  JobRunner& runner_;
  /// Bursts recorded by this process, by model.
  std::map<std::string, std::uint64_t> recordedBursts_;
  /// Number of acceptances of each job that await the answer of the store.
  std::map<JobId, std::size_t> writing_;
  /// Jobs of which an acceptance, here or by the process that was to own the
  /// job, has an unknown outcome, with its time.
  std::map<JobId, TimePoint> unsettled_;
  /// Customers of the jobs that were accepted through this process lately.
  std::map<JobId, AcceptedJob> accepted_;
  /// Jobs that were refused here and not accepted here since, with the time.
  std::map<JobId, TimePoint> refused_;
  bool open_ = true;
};

} // namespace marjoramtally
