#include "marjoramtally/process/owner_plan.hpp"

#include "marjoramtally/process/job_takeover.hpp"

namespace marjoramtally {

OwnerPlan::OwnerPlan(std::string aSelf)
  : self_(std::move(aSelf))
{
}

void
OwnerPlan::OnAlive(const std::string& aIncarnation, std::string aAddress)
{
  Process& process = processes_[InstanceOf(aIncarnation)];
  // Names of an instance's incarnations sort by start time.
  if (process.incarnation_ <= aIncarnation) {
    process = { aIncarnation, std::move(aAddress) };
  }
}

void
OwnerPlan::OnGone(const std::string& aIncarnation)
{
  const auto it = processes_.find(InstanceOf(aIncarnation));
  if (it != processes_.end() && it->second.incarnation_ == aIncarnation) {
    processes_.erase(it);
  }
}

/// Chooses the process with the highest hash of trainer and instance. A process
/// that joins or leaves changes the owner of few trainers, and a restart
/// changes none.
std::string
OwnerPlan::OwnerOf(std::string_view aTrainer) const
{
  const std::hash<std::string> hash;
  const Process* first = nullptr;
  std::size_t best = 0;
  for (const auto& [instance, process] : processes_) {
    const std::size_t rank = hash(std::string(aTrainer) + '/' + instance.Get());
    const bool callable =
      process.incarnation_ == self_ || !process.address_.empty();
    if (callable && (first == nullptr || rank > best)) {
      first = &process;
      best = rank;
    }
  }
  return first == nullptr || first->incarnation_ == self_ ? std::string()
                                                          : first->address_;
}

} // namespace marjoramtally
