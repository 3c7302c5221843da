/// Which process is to own the jobs of a trainer.
///
/// Steps of one trainer overlap and compete for the same upstreams. One owner
/// sees all items in flight of both, finishes the older step first, keeps its
/// connections to the model's upstreams, and has the texts of groups that come
/// again in a later step. Every process works the plan out from the signs of
/// life; where views differ, a job has another owner and nothing is lost.
#pragma once

#include "marjoramtally/base/ids.hpp"

#include <map>
#include <string>
#include <string_view>

namespace marjoramtally {

/// The plan as one process sees it.
class OwnerPlan
{
public:
  /// @param aSelf this process's incarnation
  explicit OwnerPlan(std::string aSelf);

  /// @param aAddress where peers call the process; empty: it cannot be called
  void OnAlive(const std::string& aIncarnation, std::string aAddress);
  void OnGone(const std::string& aIncarnation);

  /// @returns the address of the process that is to own a trainer's jobs;
  /// empty: this one
  [[nodiscard]] std::string OwnerOf(std::string_view aTrainer) const;

private:
  struct Process
  {
    std::string incarnation_;
    std::string address_;
  };

  std::string self_;
  /// The newest incarnation of each instance: the one before has ended,
  /// whatever its lease says.
  std::map<InstanceId, Process> processes_;
};

} // namespace marjoramtally
