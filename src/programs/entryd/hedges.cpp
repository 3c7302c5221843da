#include "programs/entryd/hedges.hpp"

namespace marjoramtally {

namespace {

/// Idle slots that one review assumes, hence its maximum number of hedges.
constexpr std::size_t kHedgesPerReview = 4;

bool
MayHedge(const InFlightRequest& aRequest)
{
  return aRequest.sent_.size() == 1 && !aRequest.answered_ &&
         aRequest.spec_.idempotent_ && !aRequest.message_.sink_;
}

} // namespace

void
Hedges::OnStarted(TicketId aTicket,
                  const InFlightRequest& aRequest,
                  double aExpectedTokens,
                  TimePoint aNow)
{
  if (aRequest.spec_.class_ == RequestClass::Trainer &&
      aRequest.sent_.size() == 1) {
    policy_.OnStarted({ aTicket, 0, aExpectedTokens, false }, aNow);
  }
}

void
Hedges::OnDecided(TicketId aTicket,
                  const InFlightRequest& aRequest,
                  std::optional<std::uint64_t> aTokens,
                  TimePoint aNow)
{
  for (const SentAttempt& unneeded : aRequest.sent_) {
    policy_.OnWasted(policy_.TokensIn(aNow - unneeded.at_));
  }
  policy_.OnEnded(aTicket,
                  aTokens ? std::optional(static_cast<double>(*aTokens))
                          : std::nullopt,
                  aNow);
}

std::vector<AttemptStart>
Hedges::Review(const InFlightRequests& aRequests, bool aIdle, TimePoint aNow)
{
  std::vector<AttemptStart> starts;
  const std::size_t idle = aIdle ? kHedgesPerReview : 0;
  for (const StragglerAction& straggler : policy_.Review(aNow, idle)) {
    const auto request = aRequests.find(straggler.ticket_);
    if (request == aRequests.end() || !MayHedge(*request->second)) {
      continue;
    }
    if (UpstreamPtr upstream = Pick(*request->second, aNow)) {
      router_.OnSent(upstream->id_, request->second->spec_, aNow);
      starts.push_back(
        { straggler.ticket_, request->second, std::move(upstream) });
    }
  }
  return starts;
}

UpstreamPtr
Hedges::Pick(const InFlightRequest& aRequest, TimePoint aNow)
{
  const RequestSpec& spec = aRequest.spec_;
  const UpstreamId& slow = aRequest.sent_.front().upstream_;
  std::vector<UpstreamId> avoid = aRequest.tried_;
  avoid.push_back(slow);
  UpstreamPtr upstream =
    router_.Pick(spec, crashGuard_.UpstreamsToAvoid(spec, avoid), aNow);
  if (!upstream || upstream->id_ == slow ||
      !crashGuard_.TryStart(spec, upstream->id_)) {
    return nullptr;
  }
  return upstream;
}

} // namespace marjoramtally
