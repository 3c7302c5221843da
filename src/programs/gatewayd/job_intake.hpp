/// Takes in jobs: each is accepted by the process that is to own it, or here
/// if that one does not answer.
#pragma once

#include "marjoramtally/runtime/http_server.hpp"
#include "programs/gatewayd/job_directory.hpp"
#include "programs/gatewayd/job_runner.hpp"

namespace marjoramtally {

/// Whoever could not be answered about a job comes back after this time.
inline constexpr auto kJobRetryAfter = std::chrono::milliseconds(300);

/// @returns whether the id can be part of keys in the store
[[nodiscard]] bool
IsValidJobId(const JobId& aJob);

/// Answers submissions of callers and of other gateways. Used on one loop.
class JobIntake
{
public:
  /// All arguments outlive this.
  JobIntake(GatewayContext& aHost,
            JobStore& aStore,
            JobDirectory& aDirectory,
            JobRunner& aRunner);

  /// Set before use. Told of each job that was accepted through this process.
  std::function<void(const JobId&, std::uint64_t aItems)> onAccepted_;

  /// @param aRevision the configuration whose routes took the request
  /// @param aCustomer whose job it is; empty: requests need no keys
  void Submit(HttpRequest aRequest,
              ConfigRevision aRevision,
              HttpReplyPtr aReply,
              const CustomerId& aCustomer);
  /// No more jobs are taken in.
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
  using AcceptDone = std::function<void(AcceptOutcome)>;

  /// Accepts a job in the store and owns it then.
  void AcceptHere(const SubmissionPtr& aSubmission, AcceptDone aDone);
  /// Starts a job that was accepted here, unless it has moved on since.
  void StartAccepted(const Submission& aSubmission, FencingNumber aFence);
  void ForwardToOwner(const SubmissionPtr& aSubmission,
                      const std::string& aOwner,
                      const HttpReplyPtr& aReply);
  /// Accepts a job that another gateway hands on.
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
  bool open_ = true;
};

} // namespace marjoramtally
