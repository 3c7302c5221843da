/// Stragglers: members of a group that are late for a reason other than their
/// length, and the actions against them.
#pragma once

#include "marjoramtally/process/early_refusal.hpp"
#include "marjoramtally/process/fair_queue.hpp"

#include <map>

namespace marjoramtally {

/// When a member counts as late, and the budget for second runs.
struct StragglerSettings
{
  /// A member of known progress is late if its time per token exceeds the
  /// median by this factor.
  double lateTokenTimeFactor_ = 2;
  /// A member of unknown progress is late after this fraction of the time that
  /// the longest recent answers would take.
  double lateLengthFactor_ = 0.85;
  /// Answers with fewer tokens are left out of the usual time per token. A
  /// member with fewer tokens is treated as if it had generated this many.
  double minTokens_ = 12;
  /// Maximum tokens of second runs as a fraction of all generated tokens.
  double extraTokenBudget_ = 0.04;
};

/// A member of a group whose generation starts at an upstream.
struct MemberStart
{
  TicketId ticket_;
  /// Identifies the group within this process.
  std::uint64_t group_ = 0;
  double expectedTokens_ = 1;
  /// Whether the upstream reports how many tokens it has generated.
  bool progressKnown_ = false;
};

/// Action against a late member.
struct StragglerAction
{
  enum class Kind : std::uint8_t
  {
    /// Cancel it and continue elsewhere from the tokens generated so far.
    Resume,
    /// Run it a second time elsewhere; the first complete answer is used and
    /// the other run is cancelled.
    Hedge,
  };
  TicketId ticket_;
  Kind kind_ = Kind::Hedge;
};

/// Decides which members are late. A long member is not late: a second run
/// takes as long, and a preference for short answers would bias the training
/// data. Lateness is therefore measured by the time per token if progress is
/// known, and otherwise by the time that the longest recent answers would take.
/// A hedge must use the same seed as the member. Not thread-safe.
class StragglerPolicy
{
public:
  explicit StragglerPolicy(StragglerSettings aSettings = {}) noexcept
    : settings_(aSettings)
  {
  }

  void OnStarted(const MemberStart& aMember, TimePoint aNow);
  void OnProgress(TicketId aTicket, double aTokens);
  /// Ends a member that completed, failed or was cancelled.
  /// @param aTokens generated tokens if it completed
  void OnEnded(TicketId aTicket, std::optional<double> aTokens, TimePoint aNow);
  /// Records generated tokens that were discarded.
  void OnWasted(double aTokens) noexcept { wastedTokens_ += aTokens; }
  /// @returns tokens that an attempt generates in this time at the median rate
  [[nodiscard]] double TokensIn(Duration aTime) const noexcept;
  /// @param aIdleSlots free slots at other upstreams
  /// @returns actions, the latest member first; at most one action per member
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

  /// @returns elapsed time relative to the limit; a member is late above 1
  [[nodiscard]] double Lateness(const Member& aMember, TimePoint aNow) const;
  /// Reserves tokens of the budget for a second run.
  /// @returns whether the budget suffices
  [[nodiscard]] bool ReserveTokens(double aTokens);

  StragglerSettings settings_;
  std::map<TicketId, Member> members_;
  /// Microseconds per token: median and 90th percentile.
  QuantileTracker medianTokenTime_{ 0.5 };
  QuantileTracker p90TokenTime_{ 0.9 };
  /// Slowly decaying maximum of the ratio of actual to expected length.
  double maxLengthRatio_ = 1;
  double generatedTokens_ = 0;
  double wastedTokens_ = 0;
  /// Tokens of second runs in progress that may still be discarded.
  double reservedTokens_ = 0;
};

} // namespace marjoramtally
