#include "marjoramtally/process/straggler.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// Part by which the bound of lengths sinks with each shorter answer.
constexpr double kLongestDecay = 0.002;

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
    pledged_ = std::max(0.0, pledged_ - expected);
  }
  if (!aTokens || *aTokens < 1) {
    return;
  }
  generated_ += *aTokens;
  longest_ = std::max(*aTokens / expected, longest_ * (1 - kLongestDecay));
  if (*aTokens < settings_.leastTokens_) {
    return;
  }
  const auto took = static_cast<double>((aNow - member.startedAt_).count());
  pace_.Add(took / *aTokens);
  usualPace_.Add(took / *aTokens);
}

double
StragglerPolicy::TokensIn(Duration aTime) const noexcept
{
  const double pace = pace_.Get();
  return pace <= 0 ? 0 : static_cast<double>(aTime.count()) / pace;
}

double
StragglerPolicy::Overdue(const Member& aMember, TimePoint aNow) const
{
  const auto elapsed = static_cast<double>((aNow - aMember.startedAt_).count());
  if (aMember.start_.progressKnown_) {
    const double tokens = std::max(aMember.tokens_, settings_.leastTokens_);
    return elapsed / (tokens * pace_.Get() * settings_.latePace_);
  }
  return elapsed / (aMember.start_.expectedTokens_ * longest_ *
                    settings_.lateLength_ * usualPace_.Get());
}

bool
StragglerPolicy::Afford(double aTokens)
{
  if (wasted_ + pledged_ + aTokens > settings_.budget_ * generated_) {
    return false;
  }
  pledged_ += aTokens;
  return true;
}

std::vector<StragglerAction>
StragglerPolicy::Review(TimePoint aNow, std::size_t aIdleSlots)
{
  std::vector<Late> late;
  for (const auto& [ticket, member] : members_) {
    const double overdue =
      member.acted_ || pace_.Get() <= 0 ? 0 : Overdue(member, aNow);
    if (overdue > 1) {
      late.push_back({ overdue, ticket });
    }
  }
  std::sort(late.rbegin(), late.rend());
  std::vector<StragglerAction> actions;
  for (const Late& candidate : late) {
    Member& member = members_.at(candidate.ticket_);
    if (actions.size() >= aIdleSlots) {
      break;
    }
    const bool resume = member.start_.progressKnown_;
    if (!resume && !Afford(member.start_.expectedTokens_)) {
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
