#include "marjoramtally/process/owner_plan.hpp"

#include "marjoramtally/process/job_takeover.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

OwnerPlan::OwnerPlan(std::string aSelf)
  : self_(std::move(aSelf))
{
}

void
OwnerPlan::OnAlive(const std::string& aIncarnation,
                   std::string aAddress,
                   Capacity aCapacity)
{
  Process& process = processes_[InstanceOf(aIncarnation)];
  // Names of an instance's incarnations sort by start time.
  if (process.incarnation_ <= aIncarnation) {
    process = { aIncarnation, std::move(aAddress), aCapacity };
    owners_.clear();
  }
}

void
OwnerPlan::OnGone(const std::string& aIncarnation)
{
  const auto it = processes_.find(InstanceOf(aIncarnation));
  if (it != processes_.end() && it->second.incarnation_ == aIncarnation) {
    processes_.erase(it);
    owners_.clear();
  }
}

void
OwnerPlan::SetTrainers(std::set<std::string> aTrainers)
{
  if (trainers_ != aTrainers) {
    trainers_ = std::move(aTrainers);
    owners_.clear();
  }
}

bool
OwnerPlan::Uneven() const noexcept
{
  return std::any_of(
    processes_.begin(), processes_.end(), [this](const auto& aEntry) {
      return aEntry.second.capacity_ != processes_.begin()->second.capacity_;
    });
}

/// Among instances with the same capacity left, the highest hash of trainer and
/// instance decides. An instance that joins or leaves changes the owner of few
/// trainers, and a restart changes none.
InstanceId
OwnerPlan::Choose(const std::string& aTrainer, const Assigned& aAssigned) const
{
  const std::hash<std::string> hash;
  const bool uneven = Uneven();
  InstanceId best;
  std::pair<double, std::size_t> bestRank;
  for (const auto& [instance, process] : processes_) {
    if (!Callable(process)) {
      continue;
    }
    const auto assigned = aAssigned.find(instance);
    const std::uint32_t trainers =
      1 + (assigned == aAssigned.end() ? 0 : assigned->second);
    const double left = uneven ? static_cast<double>(process.capacity_.Get()) /
                                   static_cast<double>(trainers)
                               : 0;
    const std::pair rank(left, hash(aTrainer + '/' + instance.Get()));
    if (best.Get().empty() || rank > bestRank) {
      best = instance;
      bestRank = rank;
    }
  }
  return best;
}

void
OwnerPlan::AssignTrainers() const
{
  assigned_.clear();
  for (const std::string& trainer : trainers_) {
    const InstanceId owner = Choose(trainer, assigned_);
    ++assigned_[owner];
    owners_[trainer] = owner;
  }
}

InstanceId
OwnerPlan::InstanceFor(const std::string& aTrainer) const
{
  if (owners_.empty()) {
    AssignTrainers();
  }
  const auto it = owners_.find(aTrainer);
  return it == owners_.end() ? Choose(aTrainer, assigned_) : it->second;
}

std::string
OwnerPlan::OwnerOf(const std::string& aTrainer) const
{
  const auto it = processes_.find(InstanceFor(aTrainer));
  return it == processes_.end() || it->second.incarnation_ == self_
           ? std::string()
           : it->second.address_;
}

} // namespace marjoramtally
