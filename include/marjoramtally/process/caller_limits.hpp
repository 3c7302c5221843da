/// Bounds what the callers of a process hold together: connections, memory for
/// requests that are not yet complete or not yet answered, and memory for
/// responses that are not yet read.
///
/// A request's first bytes are taken from a share of their own, so that large
/// bodies cannot keep small requests from being received. When a share is used
/// up, connections that make the least use of it give way: idle ones,
/// unfinished requests that have stalled or fallen behind, responses that are
/// not read. A request that was handed on never gives way.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/strong.hpp"

#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjoramtally {

/// Identifies a caller's connection within its process.
using CallerId = Strong<std::uint64_t, struct CallerTag>;

/// What all callers of a process may hold together.
struct CallerShares
{
  std::size_t connections_ = 0;
  /// For connections and the first bytes that each of them holds.
  std::uint64_t smallBytes_ = 0;
  /// For what a connection holds beyond that.
  std::uint64_t largeBytes_ = 0;
};

/// @param aMemoryBytes memory that the process may use in total
/// @param aDescriptors file descriptors that it may have open in total
[[nodiscard]] CallerShares
CallerSharesOf(std::uint64_t aMemoryBytes, std::uint64_t aDescriptors) noexcept;

/// How long a caller may take.
struct CallerTimeouts
{
  /// From the first byte of a request's head to its end, and for the rest of a
  /// request that was refused.
  Duration header_ = std::chrono::seconds(30);
  /// Between two requests, two parts of a body, or two parts of a response that
  /// the caller reads.
  Duration idle_ = std::chrono::minutes(10);

  auto operator<=>(const CallerTimeouts&) const = default;
};

/// Why a connection gives way.
enum class EvictionCause
{
  Memory,
  Descriptors,
  HeaderTimeout,
  IdleTimeout,
};

/// @returns the name of a cause, as logs and metrics have it
[[nodiscard]] std::string_view
NameOf(EvictionCause aCause) noexcept;

/// A connection that has to give way.
struct Eviction
{
  CallerId caller_;
  EvictionCause cause_ = EvictionCause::Memory;
  /// The unfinished request is refused and the connection stays; else it is
  /// closed.
  bool refuse_ = false;
};

/// Decides which connections stay and what is received of their requests. After
/// each call, the connections of `TakeEvictions` give way.
class CallerLimits
{
public:
  /// What each connection is charged with, whatever it holds.
  static constexpr std::uint64_t kConnectionBytes = 8U << 10U;
  /// Bytes of a connection that the share for small requests bears.
  static constexpr std::uint64_t kSmallBytes = 64U << 10U;
  /// An unfinished body that has received nothing for this long may have to
  /// give way, as may a response of which nothing was read.
  static constexpr auto kStallTime = std::chrono::seconds(1);
  /// So may one that has received fewer bytes a second since its first, this
  /// time excepted.
  static constexpr std::uint64_t kPaceBytesPerSecond = 64U << 10U;
  static constexpr auto kPaceGrace = std::chrono::seconds(2);

  explicit CallerLimits(CallerShares aShares)
    : shares_(aShares)
  {
  }

  void SetTimeouts(CallerTimeouts aTimeouts) noexcept { timeouts_ = aTimeouts; }
  [[nodiscard]] const CallerTimeouts& Timeouts() const noexcept
  {
    return timeouts_;
  }

  /// A caller has connected.
  /// @returns false if there is no room for it; it is then closed
  [[nodiscard]] bool OnOpened(CallerId aCaller, TimePoint aNow);
  void OnClosed(CallerId aCaller);
  /// A part of a request's head was received, or of the rest of one that was
  /// refused.
  /// @param aHeld bytes that the connection holds
  /// @returns false if there is no room; the connection is then closed
  [[nodiscard]] bool OnHead(CallerId aCaller,
                            std::uint64_t aHeld,
                            TimePoint aNow);
  /// @returns whether a body of that size can be received, if the bodies that
  /// are received now end as they are
  [[nodiscard]] bool HasRoomFor(std::uint64_t aBody, TimePoint aNow) const;
  /// A part of a request's body was received.
  /// @param aHeld bytes that the connection holds, with the new part
  /// @returns false if there is no room; the request is then refused
  [[nodiscard]] bool OnBody(CallerId aCaller,
                            std::uint64_t aHeld,
                            TimePoint aNow);
  /// A request was handed on, whole or refused.
  /// @param aHeld bytes that it holds until `OnAnswered`
  void OnRequest(CallerId aCaller, std::uint64_t aHeld);
  /// More of a response waits to be written.
  void OnResponse(CallerId aCaller, std::uint64_t aBytes, TimePoint aNow);
  /// The caller has read some of the response that waits.
  void OnProgress(CallerId aCaller, TimePoint aNow);
  /// A part of a response was written.
  void OnWritten(CallerId aCaller, std::uint64_t aBytes, TimePoint aNow);
  /// The response has ended.
  void OnAnswered(CallerId aCaller, TimePoint aNow);

  /// Takes memory for a response that is being received from elsewhere.
  /// @returns false if there is no room, and nothing was taken
  [[nodiscard]] bool Reserve(std::uint64_t aBytes, TimePoint aNow);
  void Release(std::uint64_t aBytes) noexcept { reserved_ -= aBytes; }

  /// Ends the connections whose time is up.
  /// @returns when it is to be called again; `kNever` without connections
  TimePoint Expire(TimePoint aNow);

  /// @returns the connections that have to give way, in order; each is reported
  /// once
  [[nodiscard]] std::vector<Eviction> TakeEvictions()
  {
    return std::exchange(evictions_, {});
  }

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return callers_.size();
  }
  /// @returns bytes that all callers hold
  [[nodiscard]] std::uint64_t HeldBytes() const noexcept
  {
    return small_ + large_ + reserved_;
  }

private:
  enum class Phase
  {
    /// Between two requests.
    Idle,
    Head,
    Body,
    /// The request was handed on.
    Running,
  };

  /// Position in an order of eviction: rank, time, connection.
  struct Place
  {
    int rank_ = 0;
    TimePoint time_;
    CallerId caller_;

    auto operator<=>(const Place&) const = default;
  };

  struct Caller
  {
    Phase phase_ = Phase::Idle;
    /// It has had a response.
    bool served_ = false;
    /// When it connected or its last response ended.
    TimePoint idleSince_;
    /// First byte of the request.
    TimePoint requestAt_;
    /// Last byte received, or written of the response.
    TimePoint progressAt_;
    /// Bytes held of the request, and of responses that wait to be written.
    std::uint64_t request_ = 0;
    std::uint64_t response_ = 0;
  };

  [[nodiscard]] static std::uint64_t SmallPart(const Caller& aCaller) noexcept;
  [[nodiscard]] static std::uint64_t LargePart(const Caller& aCaller) noexcept;
  /// @returns the place of a connection that may give way; its rank is
  /// `kStays` for one that may not
  [[nodiscard]] static Place PlaceOf(CallerId aId,
                                     const Caller& aCaller) noexcept;
  [[nodiscard]] static bool IsDue(const Place& aPlace, TimePoint aNow) noexcept;
  /// Takes a connection's charge and place out, before it changes.
  void Remove(CallerId aId, const Caller& aCaller);
  void Insert(CallerId aId, const Caller& aCaller);
  /// Applies a change to a connection, if it is known.
  template<typename Change>
  void Update(CallerId aId, Change aChange);
  /// Applies a change that needs memory, for which others may give way.
  /// @returns false if there is no room; the change is then undone
  template<typename Change>
  [[nodiscard]] bool Grow(CallerId aId, TimePoint aNow, Change aChange);
  [[nodiscard]] bool MakeSmallRoom(std::uint64_t aBytes, TimePoint aNow);
  [[nodiscard]] bool MakeLargeRoom(std::uint64_t aBytes, TimePoint aNow);
  void Evict(CallerId aId, EvictionCause aCause);
  /// @returns when the time of a connection is up; `kNever` while its request
  /// is running
  [[nodiscard]] TimePoint ExpiryOf(const Caller& aCaller) const noexcept;

  CallerShares shares_;
  CallerTimeouts timeouts_;
  std::unordered_map<CallerId, Caller> callers_;
  /// Order in which connections give way.
  std::set<Place> order_;
  /// The same for those that hold more than `kSmallBytes`.
  std::set<Place> largeOrder_;
  std::uint64_t small_ = 0;
  std::uint64_t large_ = 0;
  std::uint64_t reserved_ = 0;
  std::vector<Eviction> evictions_;
};

} // namespace marjoramtally
