/// Results of jobs that other processes own, followed in the store while
/// somebody reads them here.
#pragma once

#include "daemon/prefix_follower.hpp"
#include "programs/gatewayd/job_store.hpp"

namespace marjoramtally {

/// Mirrors of results. Used on one loop.
class JobMirrors
{
public:
  explicit JobMirrors(GatewayHost& aHost);

  /// Called when results of a job came in, or its first reading failed.
  std::function<void(const JobId&)> onChange_;

  /// Follows a job from now on, or for longer.
  void Touch(const JobId& aJob);
  /// @returns the results known so far; nothing before the first reading
  [[nodiscard]] const std::vector<JobResult>* Find(const JobId& aJob) const;
  /// @returns whether the last reading failed
  [[nodiscard]] bool Failed(const JobId& aJob) const;

private:
  struct Mirror
  {
    std::unique_ptr<PrefixFollower> follower_;
    std::map<std::string, std::vector<JobResult>> records_;
    std::vector<JobResult> results_;
    TimePoint lastRead_;
    bool loaded_ = false;
    bool failed_ = false;
  };

  void Take(Mirror& aMirror, const StoreRecord& aRecord);
  void Settle(const JobId& aJob);
  void ForgetOld();

  GatewayHost& host_;
  std::map<JobId, Mirror> mirrors_;
  LoopTimerId forgetTimer_ = 0;
};

} // namespace marjoramtally
