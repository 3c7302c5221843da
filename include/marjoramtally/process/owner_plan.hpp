/// Decides which process should own the jobs of a trainer.
/// Steps of one trainer overlap and compete for the same upstreams. A single
/// owner sees all items in flight of these steps, finishes the older step
/// first, keeps its connections to the model's upstreams, and has the texts of
/// groups that reappear in a later step. Every process computes the plan from
/// the liveness records; if views differ, a job gets a different owner and
/// nothing is lost.
///
/// An owner passes on hundreds of streams at once. On an instance with too
/// little capacity the streams of a whole step are late, so trainers share the
/// capacity of uneven instances: each trainer in turn gets the instance with
/// the most capacity left for one more.
#pragma once

#include "marjoramtally/base/capacity.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <set>
#include <string>

namespace marjoramtally {

/// The plan as computed by one process.
class OwnerPlan
{
public:
  /// @param aSelf this process's incarnation
  explicit OwnerPlan(std::string aSelf);

  /// @param aAddress address for calls by peers; empty: it cannot be called
  void OnAlive(const std::string& aIncarnation,
               std::string aAddress,
               Capacity aCapacity = {});
  void OnGone(const std::string& aIncarnation);
  /// Sets all trainers of the configuration.
  void SetTrainers(std::set<std::string> aTrainers);

  /// @returns the address of the process that should own a trainer's jobs;
  /// empty: this one
  [[nodiscard]] std::string OwnerOf(const std::string& aTrainer) const;

private:
  struct Process
  {
    std::string incarnation_;
    std::string address_;
    Capacity capacity_;
  };
  /// Trainers of each instance.
  using Assigned = std::map<InstanceId, std::uint32_t>;

  [[nodiscard]] bool Callable(const Process& aProcess) const noexcept
  {
    return aProcess.incarnation_ == self_ || !aProcess.address_.empty();
  }
  /// @returns whether instances differ in capacity
  [[nodiscard]] bool Uneven() const noexcept;
  /// @returns the instance with the most capacity for one more trainer; empty
  /// if there is none
  [[nodiscard]] InstanceId Choose(const std::string& aTrainer,
                                  const Assigned& aAssigned) const;
  /// Assigns all trainers in the order of their names.
  void AssignTrainers() const;
  [[nodiscard]] InstanceId InstanceFor(const std::string& aTrainer) const;

  std::string self_;
  /// The newest incarnation of each instance. Earlier ones have ended, even if
  /// their leases have not expired.
  std::map<InstanceId, Process> processes_;
  std::set<std::string> trainers_;
  /// Owners of the trainers, cached until processes or trainers change.
  mutable std::map<std::string, InstanceId> owners_;
  mutable Assigned assigned_;
};

} // namespace marjoramtally
