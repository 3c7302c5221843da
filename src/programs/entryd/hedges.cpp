#include "programs/entryd/hedges.hpp"

namespace marjoramtally {

namespace {

/// Members of groups sent a second time in one review.
constexpr std::size_t kHedgesPerReview = 4;

bool
MayHedge(const Flight& aFlight)
{
  return aFlight.sent_.size() == 1 && !aFlight.won_ &&
         aFlight.spec_.idempotent_ && !aFlight.message_.sink_;
}

} // namespace

void
Hedges::OnStarted(TicketId aTicket,
                  const Flight& aFlight,
                  double aExpectedTokens,
                  TimePoint aNow)
{
  if (aFlight.spec_.class_ == RequestClass::Trainer &&
      aFlight.sent_.size() == 1) {
    policy_.OnStarted({ aTicket, 0, aExpectedTokens, false }, aNow);
  }
}

void
Hedges::OnDecided(TicketId aTicket,
                  const Flight& aFlight,
                  std::optional<std::uint64_t> aTokens,
                  TimePoint aNow)
{
  for (const SentAttempt& loser : aFlight.sent_) {
    policy_.OnWasted(policy_.TokensIn(aNow - loser.at_));
  }
  policy_.OnEnded(aTicket,
                  aTokens ? std::optional(static_cast<double>(*aTokens))
                          : std::nullopt,
                  aNow);
}

std::vector<AttemptStart>
Hedges::Review(const Flights& aFlights, bool aIdle, TimePoint aNow)
{
  std::vector<AttemptStart> starts;
  const std::size_t idle = aIdle ? kHedgesPerReview : 0;
  for (const StragglerAction& late : policy_.Review(aNow, idle)) {
    const auto flight = aFlights.find(late.ticket_);
    if (flight == aFlights.end() || !MayHedge(*flight->second)) {
      continue;
    }
    if (UpstreamPtr upstream = Pick(*flight->second, aNow)) {
      router_.OnSent(upstream->id_, flight->second->spec_, aNow);
      starts.push_back({ late.ticket_, flight->second, std::move(upstream) });
    }
  }
  return starts;
}

UpstreamPtr
Hedges::Pick(const Flight& aFlight, TimePoint aNow)
{
  const RequestSpec& spec = aFlight.spec_;
  const UpstreamId& slow = aFlight.sent_.front().upstream_;
  std::vector<UpstreamId> avoid = aFlight.tried_;
  avoid.push_back(slow);
  UpstreamPtr upstream = router_.Pick(spec, crashes_.Avoid(spec, avoid), aNow);
  if (!upstream || upstream->id_ == slow ||
      !crashes_.TryStart(spec, upstream->id_)) {
    return nullptr;
  }
  return upstream;
}

} // namespace marjoramtally
