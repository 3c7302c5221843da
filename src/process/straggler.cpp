#include "marjoramtally/process/straggler.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Decay of the maximum length ratio per answer.
constexpr double kMaxLengthDecay = 0.002;

} // namespace

void
StragglerPolicy::OnStarted(const MemberStart& aMember, TimePoint aNow)
{
  Member member;
  member.start_ = aMember;
  member.start_.expectedTokens_ = std::max(aMember.expectedTokens_, 1.0);
  member.startedAt_ = aNow;
  members_.insert_or_assign(aMember.ticket_, member);
}

void
StragglerPolicy::OnProgress(TicketId aTicket, double aTokens)
{
  const auto it = members_.find(aTicket);
  if (it != members_.end()) {
    it->second.tokens_ = aTokens;
  }
}

void
StragglerPolicy::OnEnded(TicketId aTicket,
                         std::optional<double> aTokens,
                         TimePoint aNow)
{
  const auto it = members_.find(aTicket);
  if (it == members_.end()) {
    return;
  }
  const Member member = it->second;
  members_.erase(it);
  const double expected = member.start_.expectedTokens_;
  if (member.acted_ && !member.start_.progressKnown_) {
    reservedTokens_ = std::max(0.0, reservedTokens_ - expected);
  }
  if (!aTokens || *aTokens < 1) {
    return;
  }
  generatedTokens_ += *aTokens;
  maxLengthRatio_ =
    std::max(*aTokens / expected, maxLengthRatio_ * (1 - kMaxLengthDecay));
  if (*aTokens < settings_.minTokens_) {
    return;
  }
  const auto took = static_cast<double>((aNow - member.startedAt_).count());
  medianTokenTime_.Add(took / *aTokens);
  p90TokenTime_.Add(took / *aTokens);
}

double
StragglerPolicy::TokensIn(Duration aTime) const noexcept
{
  const double tokenTime = medianTokenTime_.Get();
  return tokenTime <= 0 ? 0 : static_cast<double>(aTime.count()) / tokenTime;
}

double
StragglerPolicy::Lateness(const Member& aMember, TimePoint aNow) const
{
  const auto elapsed = static_cast<double>((aNow - aMember.startedAt_).count());
  if (aMember.start_.progressKnown_) {
    const double tokens = std::max(aMember.tokens_, settings_.minTokens_);
    return elapsed /
           (tokens * medianTokenTime_.Get() * settings_.lateTokenTimeFactor_);
  }
  return elapsed / (aMember.start_.expectedTokens_ * maxLengthRatio_ *
                    settings_.lateLengthFactor_ * p90TokenTime_.Get());
}

bool
StragglerPolicy::ReserveTokens(double aTokens)
{
  if (wastedTokens_ + reservedTokens_ + aTokens >
      settings_.extraTokenBudget_ * generatedTokens_) {
    return false;
  }
  reservedTokens_ += aTokens;
  return true;
}

std::vector<StragglerAction>
StragglerPolicy::Review(TimePoint aNow, std::size_t aIdleSlots)
{
  std::vector<LateMember> late;
  for (const auto& [ticket, member] : members_) {
    const double lateness =
      member.acted_ || medianTokenTime_.Get() <= 0 ? 0 : Lateness(member, aNow);
    if (lateness > 1) {
      late.push_back({ lateness, ticket });
    }
  }
  std::sort(late.rbegin(), late.rend());
  std::vector<StragglerAction> actions;
  for (const LateMember& candidate : late) {
    Member& member = members_.at(candidate.ticket_);
    if (actions.size() >= aIdleSlots) {
      break;
    }
    const bool resume = member.start_.progressKnown_;
    if (!resume && !ReserveTokens(member.start_.expectedTokens_)) {
      break;
    }
    member.acted_ = true;
    actions.push_back({ candidate.ticket_,
                        resume ? StragglerAction::Kind::Resume
                               : StragglerAction::Kind::Hedge });
  }
  return actions;
}

} // namespace marjoramtally
