/// Decides which process should own the jobs of a trainer.
/// Steps of one trainer overlap and compete for the same upstreams. A single
/// owner sees all items in flight of these steps, finishes the older step
/// first, keeps its connections to the model's upstreams, and has the texts of
/// groups that reappear in a later step. Every process computes the plan from
/// the liveness records; if views differ, a job gets a different owner and
/// nothing is lost.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <map>
#include <string>
#include <string_view>

namespace marjoramtally {

/// The plan as computed by one process.
class OwnerPlan
{
public:
  /// @param aSelf this process's incarnation
  explicit OwnerPlan(std::string aSelf);

  /// @param aAddress address for calls by peers; empty: it cannot be called
  void OnAlive(const std::string& aIncarnation, std::string aAddress);
  void OnGone(const std::string& aIncarnation);

  /// @returns the address of the process that should own a trainer's jobs;
  /// empty: this one
  [[nodiscard]] std::string OwnerOf(std::string_view aTrainer) const;

private:
  struct Process
  {
    std::string incarnation_;
    std::string address_;
  };

  std::string self_;
  /// The newest incarnation of each instance. Earlier ones have ended, even if
  /// their leases have not expired.
  std::map<InstanceId, Process> processes_;
};

} // namespace marjoramtally
