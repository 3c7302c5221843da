/// The path of a request: no lock, and work that does not grow with the
/// fleet.

#include "marjoramtally/process/router.hpp"
#include "process/completion_cost.hpp"

#include <algorithm>
#include <limits>

namespace marjoramtally {

namespace {

/// Draws made when those before found none that may take the request.
constexpr std::size_t kMoreDraws = 28;
/// Of four draws, those in our own zone if it has upstreams.
constexpr std::uint64_t kDrawsOfFour = 4;
constexpr std::uint64_t kNearOfFour = 3;
/// One in so many requests tests an upstream on probation, if it sees one.
constexpr std::uint64_t kProbeOneIn = 32;

/// Why an upstream may or may not take a request; the best first.
enum class Standing : std::uint8_t
{
  /// On probation and due for a test.
  Untested,
  Open,
  /// It failed this request before.
  Tried,
  /// Ejected: taken only if all that were seen are.
  Ejected,
  /// At its limit.
  Full,
};

/// The best of the candidates seen so far.
class Choice
{
public:
  Choice(const RequestSpec& aRequest,
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

  void Consider(const RoutedPtr& aUpstream, double aTrust, bool aFar)
  {
    const Standing standing = Judge(*aUpstream);
    sawFull_ = sawFull_ || standing == Standing::Full;
    if (standing == Standing::Full || standing > standing_) {
      return;
    }
    const double cost =
      CompletionCost(*aUpstream, request_, aTrust, aFar, tuning_, now_) *
      (1 + tuning_.blur_ * random_.Unit());
    if (standing < standing_ || cost < cost_) {
      standing_ = standing;
      cost_ = cost;
      best_ = &aUpstream;
    }
  }

  [[nodiscard]] bool Found() const noexcept
  {
    return best_ != nullptr && standing_ <= Standing::Open;
  }

  /// @returns the best, or null; waiting for a full upstream is better than
  /// an ejected one
  [[nodiscard]] UpstreamPtr Take() const
  {
    const bool wait = standing_ == Standing::Ejected && sawFull_;
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

  [[nodiscard]] Standing Judge(const RoutedUpstream& aUpstream) const
  {
    const UpstreamState& state = *aUpstream.state_;
    if (state.load_.InFlight() >= Limit(aUpstream)) {
      return Standing::Full;
    }
    const bool untested = state.health_.OnProbation();
    if (state.health_.Ejected(now_) ||
        (untested && !probe_ && request_.class_ == RequestClass::Live)) {
      return Standing::Ejected;
    }
    const bool tried =
      std::find(tried_.begin(), tried_.end(), aUpstream.view_.id_) !=
      tried_.end();
    return tried                ? Standing::Tried
           : untested && probe_ ? Standing::Untested
                                : Standing::Open;
  }

  const RequestSpec& request_;
  const std::vector<UpstreamId>& tried_;
  const RouterTuning& tuning_;
  Random& random_;
  bool probe_;
  TimePoint now_;
  Standing standing_ = Standing::Full;
  double cost_ = std::numeric_limits<double>::max();
  const RoutedPtr* best_ = nullptr;
  bool sawFull_ = false;
};

/// The part of a pool that is eligible by version.
struct Eligible
{
  std::span<const PoolMember> near_;
  std::span<const PoolMember> far_;

  [[nodiscard]] std::size_t size() const noexcept
  {
    return near_.size() + far_.size();
  }
};

/// Trust that a hint gives to an upstream; 0 without hint.
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

/// Considers one member by its place, the near ones first.
void
ConsiderAt(Choice& aChoice,
           const Eligible& aEligible,
           std::size_t aIndex,
           const PrefixHints::Hints& aHints)
{
  const bool far = aIndex >= aEligible.near_.size();
  const RoutedPtr& upstream =
    far ? aEligible.far_[aIndex - aEligible.near_.size()].upstream_
        : aEligible.near_[aIndex].upstream_;
  aChoice.Consider(upstream, TrustOf(aHints, upstream->slot_), far);
}

/// @returns the place of a member drawn at random, near ones more often
std::size_t
Draw(const Eligible& aEligible, Random& aRandom)
{
  const bool near =
    aEligible.far_.empty() ||
    (!aEligible.near_.empty() && aRandom.Below(kDrawsOfFour) < kNearOfFour);
  return near ? aRandom.Below(aEligible.near_.size())
              : aEligible.near_.size() + aRandom.Below(aEligible.far_.size());
}

/// Considers members until enough were seen, and some more if none of them
/// may take the request.
void
ConsiderSome(Choice& aChoice,
             const Eligible& aEligible,
             std::size_t aChoices,
             const PrefixHints::Hints& aHints,
             Random& aRandom)
{
  if (aEligible.size() <= aChoices) {
    for (std::size_t i = 0; i < aEligible.size(); ++i) {
      ConsiderAt(aChoice, aEligible, i, aHints);
    }
    return;
  }
  std::size_t last = aEligible.size();
  for (std::size_t i = 0; i < aChoices; ++i) {
    const std::size_t drawn = Draw(aEligible, aRandom);
    last = drawn == last ? (drawn + 1) % aEligible.size() : drawn;
    ConsiderAt(aChoice, aEligible, last, aHints);
  }
  const std::size_t start = aRandom.Below(aEligible.size());
  const std::size_t more = std::min(kMoreDraws, aEligible.size());
  for (std::size_t i = 0; i < more && !aChoice.Found(); ++i) {
    ConsiderAt(aChoice, aEligible, (start + i) % aEligible.size(), aHints);
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
  const Eligible eligible{ AtLeast(pool->near_, aRequest.minVersion_),
                           AtLeast(pool->far_, aRequest.minVersion_) };
  if (eligible.size() == 0) {
    return nullptr;
  }
  Random random(seed_ + picks_.fetch_add(1, std::memory_order_relaxed));
  PrefixHints::Hints hints{};
  if (tuning_.prefixHints_ && aRequest.prefixHash_ != 0) {
    hints = hints_.Find(aRequest.prefixHash_, aNow);
  }
  Choice choice(aRequest, aTried, tuning_, random, aNow);
  for (const PrefixHints::Hint& hint : hints) {
    const auto hinted = hint.trust_ > 0 ? snapshot.bySlot_.find(hint.slot_)
                                        : snapshot.bySlot_.end();
    if (hinted != snapshot.bySlot_.end() &&
        hinted->second->view_.service_ == aRequest.service_ &&
        hinted->second->view_.TakesWork() &&
        hinted->second->Serves(aRequest.model_, aRequest.minVersion_)) {
      choice.Consider(
        hinted->second, hint.trust_, hinted->second->view_.zone_ != zone_);
    }
  }
  ConsiderSome(choice, eligible, tuning_.choices_, hints, random);
  return choice.Take();
}

} // namespace marjoramtally
