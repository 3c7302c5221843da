/// Which suspicions lead to a quarantine: crashes that a request was involved
/// in, and other requests that explain them.

#include "marjoramtally/process/quarantine.hpp"

#include <algorithm>

namespace marjoramtally {

/// Attempts that overlapped at one upstream were broken by the same crash.
bool
Quarantine::SameCrash(const Crash& aOne, const Crash& aOther) noexcept
{
  return aOther.upstream_ == aOne.upstream_ &&
         aOther.startedAt_ <= aOne.crashedAt_ &&
         aOne.startedAt_ <= aOther.crashedAt_;
}

void
Quarantine::AddCrash(Suspicion& aSuspicion, Crash aCrash)
{
  const auto known = std::find_if(
    aSuspicion.crashes_.begin(),
    aSuspicion.crashes_.end(),
    [&](const Crash& aOther) { return SameCrash(aOther, aCrash); });
  if (known == aSuspicion.crashes_.end()) {
    aSuspicion.crashes_.push_back(std::move(aCrash));
  } else {
    known->proven_ = known->proven_ || aCrash.proven_;
  }
}

bool
Quarantine::WasInvolvedIn(const Suspicion& aSuspicion, const Crash& aCrash)
{
  return std::any_of(
    aSuspicion.crashes_.begin(),
    aSuspicion.crashes_.end(),
    [&](const Crash& aOther) { return SameCrash(aOther, aCrash); });
}

std::vector<Quarantine::Crash>
Quarantine::SettledCrashes(const Suspicion& aSuspicion, TimePoint aNow) const
{
  std::vector<Crash> crashes;
  std::copy_if(aSuspicion.crashes_.begin(),
               aSuspicion.crashes_.end(),
               std::back_inserter(crashes),
               [&](const Crash& aCrash) {
                 return aNow - aCrash.reportedAt_ >= options_.settlingTime_;
               });
  return crashes;
}

std::vector<Quarantine::Crash>
Quarantine::UnexplainedCrashes(const Suspicion& aSuspicion,
                               TimePoint aNow) const
{
  std::vector<Crash> crashes = SettledCrashes(aSuspicion, aNow);
  if (options_.crashesInCommon_ <= options_.crashes_ ||
      crashes.size() < options_.crashes_) {
    return crashes;
  }
  for (const auto& [fingerprint, other] : suspicions_) {
    if (aNow < other.refusedUntil_ &&
        other.crashes_.size() > aSuspicion.crashes_.size()) {
      std::erase_if(crashes, [&other = other](const Crash& aCrash) {
        return WasInvolvedIn(other, aCrash);
      });
    }
  }
  return crashes;
}

std::optional<CoSuspect>
Quarantine::FindCoSuspect(const Suspicion& aSuspicion,
                          const std::vector<Crash>& aCrashes) const
{
  std::optional<CoSuspect> found;
  for (const auto& [fingerprint, other] : suspicions_) {
    const bool atEach = &other != &aSuspicion &&
                        std::all_of(aCrashes.begin(),
                                    aCrashes.end(),
                                    [&other = other](const Crash& aCrash) {
                                      return WasInvolvedIn(other, aCrash);
                                    });
    if (atEach && (!found || other.crashes_.size() > found->crashes_)) {
      found = CoSuspect{ fingerprint, other.crashes_.size() };
    }
  }
  return found;
}

bool
Quarantine::IsQuarantineDue(const Suspicion& aSuspicion, TimePoint aNow) const
{
  if (aNow < aSuspicion.refusedUntil_ || aSuspicion.crashes_.empty()) {
    return false;
  }
  const std::vector<Crash> crashes = UnexplainedCrashes(aSuspicion, aNow);
  // After a quarantine, a single further crash is sufficient.
  if (aSuspicion.quarantines_ > 0) {
    return std::any_of(
      crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
        return aCrash.reportedAt_ >= aSuspicion.refusedUntil_;
      });
  }
  if (crashes.size() < options_.crashes_ ||
      options_.crashesInCommon_ <= options_.crashes_) {
    return crashes.size() >= options_.crashes_;
  }
  const auto coSuspect = FindCoSuspect(aSuspicion, crashes);
  const std::size_t others = coSuspect ? coSuspect->crashes_ : 0;
  const std::size_t own = SettledCrashes(aSuspicion, aNow).size();
  return others < own ||
         (others == own && crashes.size() >= options_.crashesInCommon_);
}

bool
Quarantine::IsExonerated(const Suspicion& aSuspicion, TimePoint aNow) const
{
  if (aNow >= aSuspicion.refusedUntil_ ||
      options_.crashesInCommon_ <= options_.crashes_) {
    return false;
  }
  const auto coSuspect = FindCoSuspect(aSuspicion, aSuspicion.crashes_);
  if (!coSuspect || coSuspect->crashes_ <= aSuspicion.crashes_.size()) {
    return false;
  }
  return aNow < suspicions_.at(coSuspect->fingerprint_).refusedUntil_;
}

void
Quarantine::QuarantineIfDue(Suspicion& aSuspicion, TimePoint aNow) const
{
  if (!IsQuarantineDue(aSuspicion, aNow)) {
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 16;
  const auto factor = 1U << std::min(aSuspicion.quarantines_, kMaxDoublings);
  aSuspicion.refusedUntil_ = aNow + std::min(options_.firstQuarantine_ * factor,
                                             options_.maxQuarantine_);
  ++aSuspicion.quarantines_;
}

} // namespace marjoramtally
