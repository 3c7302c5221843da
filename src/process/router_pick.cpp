/// Selection of an upstream on the request path: lock-free, at a cost that does
/// not depend on the fleet size.

#include "marjoramtally/process/router.hpp"
#include "process/completion_cost.hpp"

#include <algorithm>
#include <limits>

namespace marjoramtally {

namespace {

/// Further upstreams examined when no drawn candidate accepts the request.
constexpr std::size_t kMaxFallbackCandidates = 28;
/// Three of four draws are made in the local zone if it has upstreams.
constexpr std::uint64_t kZoneDrawRange = 4;
constexpr std::uint64_t kLocalZoneDraws = 3;
/// One in this many requests may probe an upstream on probation.
constexpr std::uint64_t kProbeOneIn = 32;

/// Rank of a candidate, best first.
enum class CandidateRank : std::uint8_t
{
  /// On probation and due for a probe.
  Probe,
  Open,
  /// It has already failed this request.
  Tried,
  /// Ejected: selected only if all examined candidates are ejected.
  Ejected,
  /// At its concurrency limit.
  Full,
};

/// Keeps the best candidate considered so far.
class CandidateSelection
{
public:
  CandidateSelection(const RequestSpec& aRequest,
                     const std::vector<UpstreamId>& aTried,
                     const RouterTuning& aTuning,
                     Random& aRandom,
                     TimePoint aNow) noexcept
    : request_(aRequest)
    , tried_(aTried)
    , tuning_(aTuning)
    , random_(aRandom)
    , probe_(aRandom.Below(kProbeOneIn) == 0)
    , now_(aNow)
  {
  }

  void Consider(const RoutedPtr& aUpstream, double aTrust, bool aRemote)
  {
    const CandidateRank rank = RankOf(*aUpstream);
    sawFull_ = sawFull_ || rank == CandidateRank::Full;
    if (rank == CandidateRank::Full || rank > bestRank_) {
      return;
    }
    const double cost =
      CompletionCost(*aUpstream, request_, aTrust, aRemote, tuning_, now_) *
      (1 + tuning_.costJitter_ * random_.Unit());
    if (rank < bestRank_ || cost < cost_) {
      bestRank_ = rank;
      cost_ = cost;
      best_ = &aUpstream;
    }
  }

  [[nodiscard]] bool Found() const noexcept
  {
    return best_ != nullptr && bestRank_ <= CandidateRank::Open;
  }

  /// @returns the best candidate, or null. A request waits for a full upstream
  /// rather than use an ejected one.
  [[nodiscard]] UpstreamPtr Best() const
  {
    const bool wait = bestRank_ == CandidateRank::Ejected && sawFull_;
    return best_ == nullptr || wait ? nullptr
                                    : UpstreamPtr(*best_, &(*best_)->view_);
  }

private:
  [[nodiscard]] std::uint64_t Limit(const RoutedUpstream& aUpstream) const
  {
    const std::uint64_t most = std::min(
      aUpstream.view_.limit_, aUpstream.state_->health_.SlowStartLimit(now_));
    const bool bound =
      tuning_.adaptiveLimit_ && request_.class_ != RequestClass::Live;
    return bound ? std::min(most, aUpstream.state_->limit_.Get()) : most;
  }

  [[nodiscard]] CandidateRank RankOf(const RoutedUpstream& aUpstream) const
  {
    const UpstreamState& state = *aUpstream.state_;
    if (state.load_.InFlight() >= Limit(aUpstream)) {
      return CandidateRank::Full;
    }
    const bool onProbation = state.health_.OnProbation();
    if (state.health_.Ejected(now_) ||
        (onProbation && !probe_ && request_.class_ == RequestClass::Live)) {
      return CandidateRank::Ejected;
    }
    const bool tried =
      std::find(tried_.begin(), tried_.end(), aUpstream.view_.id_) !=
      tried_.end();
    return tried                   ? CandidateRank::Tried
           : onProbation && probe_ ? CandidateRank::Probe
                                   : CandidateRank::Open;
  }

  const RequestSpec& request_;
  const std::vector<UpstreamId>& tried_;
  const RouterTuning& tuning_;
  Random& random_;
  bool probe_;
  TimePoint now_;
  CandidateRank bestRank_ = CandidateRank::Full;
  double cost_ = std::numeric_limits<double>::max();
  const RoutedPtr* best_ = nullptr;
  bool sawFull_ = false;
};

/// Pool members with a sufficient weight version.
struct Eligible
{
  std::span<const PoolMember> local_;
  std::span<const PoolMember> remote_;

  [[nodiscard]] std::size_t size() const noexcept
  {
    return local_.size() + remote_.size();
  }
};

/// @returns the trust that hints give to an upstream; 0 without a hint
double
TrustOf(const PrefixHints::Hints& aHints, UpstreamSlot aSlot) noexcept
{
  for (const PrefixHints::Hint& hint : aHints) {
    if (hint.trust_ > 0 && hint.slot_ == aSlot) {
      return hint.trust_;
    }
  }
  return 0;
}

/// Considers the member at an index, counting the local zone first.
void
ConsiderAt(CandidateSelection& aSelection,
           const Eligible& aEligible,
           std::size_t aIndex,
           const PrefixHints::Hints& aHints)
{
  const bool remote = aIndex >= aEligible.local_.size();
  const RoutedPtr& upstream =
    remote ? aEligible.remote_[aIndex - aEligible.local_.size()].upstream_
           : aEligible.local_[aIndex].upstream_;
  aSelection.Consider(upstream, TrustOf(aHints, upstream->slot_), remote);
}

/// @returns the index of a random member, with a preference for the local zone
std::size_t
Draw(const Eligible& aEligible, Random& aRandom)
{
  const bool local = aEligible.remote_.empty() ||
                     (!aEligible.local_.empty() &&
                      aRandom.Below(kZoneDrawRange) < kLocalZoneDraws);
  return local
           ? aRandom.Below(aEligible.local_.size())
           : aEligible.local_.size() + aRandom.Below(aEligible.remote_.size());
}

/// Considers random members, and further ones if none of them accepts the
/// request.
void
ConsiderSample(CandidateSelection& aSelection,
               const Eligible& aEligible,
               std::size_t aCandidates,
               const PrefixHints::Hints& aHints,
               Random& aRandom)
{
  if (aEligible.size() <= aCandidates) {
    for (std::size_t i = 0; i < aEligible.size(); ++i) {
      ConsiderAt(aSelection, aEligible, i, aHints);
    }
    return;
  }
  std::size_t last = aEligible.size();
  for (std::size_t i = 0; i < aCandidates; ++i) {
    const std::size_t drawn = Draw(aEligible, aRandom);
    last = drawn == last ? (drawn + 1) % aEligible.size() : drawn;
    ConsiderAt(aSelection, aEligible, last, aHints);
  }
  const std::size_t start = aRandom.Below(aEligible.size());
  const std::size_t more = std::min(kMaxFallbackCandidates, aEligible.size());
  for (std::size_t i = 0; i < more && !aSelection.Found(); ++i) {
    ConsiderAt(aSelection, aEligible, (start + i) % aEligible.size(), aHints);
  }
}

} // namespace

UpstreamPtr
Router::Pick(const RequestSpec& aRequest,
             const std::vector<UpstreamId>& aTried,
             TimePoint aNow) const
{
  const RcuReadGuard guard;
  const RoutingSnapshot& snapshot = snapshot_.Read(guard);
  const Pool* pool = snapshot.FindPool(aRequest.service_, aRequest.model_);
  if (pool == nullptr) {
    return nullptr;
  }
  const Eligible eligible{ AtLeast(pool->local_, aRequest.minVersion_),
                           AtLeast(pool->remote_, aRequest.minVersion_) };
  if (eligible.size() == 0) {
    return nullptr;
  }
  Random random(seed_ + picks_.fetch_add(1, std::memory_order_relaxed));
  PrefixHints::Hints hints{};
  if (tuning_.prefixHints_ && aRequest.prefixHash_ != 0) {
    hints = hints_.Find(aRequest.prefixHash_, aNow);
  }
  CandidateSelection selection(aRequest, aTried, tuning_, random, aNow);
  for (const PrefixHints::Hint& hint : hints) {
    const auto hinted = hint.trust_ > 0 ? snapshot.bySlot_.find(hint.slot_)
                                        : snapshot.bySlot_.end();
    if (hinted != snapshot.bySlot_.end() &&
        hinted->second->view_.service_ == aRequest.service_ &&
        hinted->second->view_.TakesWork() &&
        hinted->second->Serves(aRequest.model_, aRequest.minVersion_)) {
      selection.Consider(
        hinted->second, hint.trust_, hinted->second->view_.zone_ != zone_);
    }
  }
  ConsiderSample(selection, eligible, tuning_.candidates_, hints, random);
  return selection.Best();
}

} // namespace marjoramtally
