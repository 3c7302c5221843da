/// Message authentication between instances by shared keys.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace marjoramtally {

/// What goes with a call to prove who made it and when.
struct RpcStamp
{
  /// Milliseconds since 1970, by the sender's clock.
  std::uint64_t unixMillis_ = 0;
  /// Differs from call to call.
  std::uint64_t nonce_ = 0;
  std::string mac_;
};

/// What of a call the proof covers.
struct RpcSigned
{
  std::uint16_t topic_ = 0;
  /// The address that is called, so that a call cannot be sent elsewhere.
  std::string_view target_;
  std::string_view body_;
};

/// Why a call is refused.
enum class RpcVerdict
{
  Accepted,
  BadMac,
  /// Its time is outside the window.
  OutOfTime,
  /// Its nonce was seen within the window.
  Replayed,
};

/// Longest difference between the clocks of two instances plus the time that
/// a call takes.
inline constexpr std::uint64_t kRpcWindowMillis = 30'000;

/// Signs with the first key and accepts all, so that keys are replaced
/// without a gap: add the new key last everywhere, then put it first, then
/// take the old one out. Not thread-safe.
class RpcMac
{
public:
  /// @param aKeys none: everything is accepted and nothing is signed
  explicit RpcMac(std::vector<std::string> aKeys);

  [[nodiscard]] bool Enabled() const noexcept { return !keys_.empty(); }
  [[nodiscard]] RpcStamp Stamp(const RpcSigned& aCall,
                               std::uint64_t aNowMillis,
                               std::uint64_t aNonce) const;
  /// Verifies a call and remembers it.
  [[nodiscard]] RpcVerdict Accept(const RpcSigned& aCall,
                                  const RpcStamp& aStamp,
                                  std::uint64_t aNowMillis);
  /// @returns the proof of an answer to the call that had this stamp
  [[nodiscard]] std::string SignReply(const RpcStamp& aCall,
                                      std::uint16_t aError,
                                      std::string_view aBody) const;
  [[nodiscard]] bool VerifyReply(const RpcStamp& aCall,
                                 std::uint16_t aError,
                                 std::string_view aBody,
                                 std::string_view aMac) const;

private:
  struct Seen
  {
    std::uint64_t unixMillis_;
    std::uint64_t nonce_;
  };

  void RemoveOldNonces(std::uint64_t aNowMillis);
  [[nodiscard]] bool Matches(const std::string& aText,
                             std::string_view aMac) const;

  std::vector<std::string> keys_;
  /// In the order of arrival.
  std::deque<Seen> seen_;
  std::unordered_set<std::uint64_t> nonces_;
};

[[nodiscard]] std::string_view
ToString(RpcVerdict aVerdict) noexcept;

} // namespace marjoramtally
