/// Stragglers: members of a group that run late for a reason other than
/// their length, and what to do with them.
#pragma once

#include "marjoramtally/process/early_refusal.hpp"
#include "marjoramtally/process/fair_queue.hpp"

#include <map>

namespace marjoramtally {

/// When a member counts as late, and what may be spent on it.
struct StragglerSettings
{
  /// Multiple of the usual time a token at which a member is late.
  double lateTokenTimeFactor_ = 2;
  /// Share of the longest recent answers, at usual tokenTime, after which a
  /// member of unknown progress is late.
  double lateLengthFactor_ = 0.85;
  /// Tokens that a member must have generated before its tokenTime is judged;
  /// the time that so many usually take, where it has generated fewer.
  double minTokens_ = 12;
  /// Extra tokens over all tokens generated.
  double extraTokenBudget_ = 0.04;
};

/// A generation of one group that starts at an upstream.
struct MemberStart
{
  TicketId ticket_;
  /// Names the group within this process.
  std::uint64_t group_ = 0;
  double expectedTokens_ = 1;
  /// Whether the upstream tells how many tokens it has generated.
  bool progressKnown_ = false;
};

/// What to do with a late member.
struct StragglerAction
{
  enum class Kind : std::uint8_t
  {
    /// Cancel it and go on elsewhere from the tokens it has.
    Resume,
    /// Run it again elsewhere; the first whole one wins, the other is
    /// cancelled.
    Hedge,
  };
  TicketId ticket_;
  Kind kind_ = Kind::Hedge;
};

/// Decides which members are late. A long member is not late: a second run
/// takes as long, and preferring short answers would bias what the trainer
/// learns. So lateness is judged by time for each token where progress is
/// known, else by the time that the longest of recent answers would take. A
/// hedge must repeat the member's seed. Not thread-safe.
class StragglerPolicy
{
public:
  explicit StragglerPolicy(StragglerSettings aSettings = {}) noexcept
    : settings_(aSettings)
  {
  }

  void OnStarted(const MemberStart& aMember, TimePoint aNow);
  void OnProgress(TicketId aTicket, double aTokens);
  /// Ends a member whose answer is whole, or that failed or was cancelled.
  /// @param aTokens tokens generated if it is whole
  void OnEnded(TicketId aTicket, std::optional<double> aTokens, TimePoint aNow);
  /// Records tokens that were thrown away.
  void OnWasted(double aTokens) noexcept { wastedTokens_ += aTokens; }
  /// @returns tokens that a usual attempt generates in a time
  [[nodiscard]] double TokensIn(Duration aTime) const noexcept;
  /// @param aIdleSlots free slots at other upstreams
  /// @returns what to do, the latest member first; each member once
  [[nodiscard]] std::vector<StragglerAction> Review(TimePoint aNow,
                                                    std::size_t aIdleSlots);

private:
  struct Member
  {
    MemberStart start_;
    TimePoint startedAt_;
    double tokens_ = 0;
    bool acted_ = false;
  };
  struct LateMember
  {
    double lateness_ = 0;
    TicketId ticket_;
    auto operator<=>(const LateMember&) const = default;
  };

  /// @returns how far a member is beyond its limit; above 1 is late
  [[nodiscard]] double Lateness(const Member& aMember, TimePoint aNow) const;
  /// @returns whether the budget has room for a second run
  [[nodiscard]] bool ReserveTokens(double aTokens);

  StragglerSettings settings_;
  std::map<TicketId, Member> members_;
  /// Microseconds a token: the median, and what nearly all keep within.
  QuantileTracker medianTokenTime_{ 0.5 };
  QuantileTracker p90TokenTime_{ 0.9 };
  /// A slowly sinking bound of recent lengths over expected lengths.
  double maxLengthRatio_ = 1;
  double generatedTokens_ = 0;
  double wastedTokens_ = 0;
  /// Tokens of second runs that may still be thrown away.
  double reservedTokens_ = 0;
};

} // namespace marjoramtally
