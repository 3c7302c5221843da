/// Message authentication between instances by shared keys.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace marjoramtally {

/// Sent with a call to prove who made it and when.
struct RpcStamp
{
  /// Milliseconds since 1970, by the sender's clock.
  std::uint64_t unixMillis_ = 0;
  /// Unique for each call.
  std::uint64_t nonce_ = 0;
  std::string mac_;
};

/// The fields of a call that its authentication code covers.
struct RpcSigned
{
  std::uint16_t topic_ = 0;
  /// The address that is called, so that a call cannot be replayed to another
  /// peer.
  std::string_view target_;
  std::string_view body_;
};

/// Result of verifying a call.
enum class RpcVerdict
{
  Accepted,
  BadMac,
  /// Its time is outside the window.
  OutOfTime,
  /// Its nonce was already used within the window.
  Replayed,
};

/// Maximum difference between the clocks of two instances plus the duration of
/// a call.
inline constexpr std::uint64_t kRpcWindowMillis = 30'000;

/// Signs with the first key and accepts all keys, so that keys can be rotated
/// without an interruption: add the new key at the end everywhere, then move it
/// to the front, then remove the old one. Not thread-safe.
class RpcMac
{
public:
  /// @param aKeys if empty, nothing is signed and every call is accepted
  explicit RpcMac(std::vector<std::string> aKeys);

  [[nodiscard]] bool Enabled() const noexcept { return !keys_.empty(); }
  [[nodiscard]] RpcStamp Stamp(const RpcSigned& aCall,
                               std::uint64_t aNowMillis,
                               std::uint64_t aNonce) const;
  /// Verifies a call and records its nonce.
  [[nodiscard]] RpcVerdict Accept(const RpcSigned& aCall,
                                  const RpcStamp& aStamp,
                                  std::uint64_t aNowMillis);
  /// @returns the authentication code of the reply to the call that had this
  /// stamp
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
  /// In order of arrival.
  std::deque<Seen> seen_;
  std::unordered_set<std::uint64_t> nonces_;
};

[[nodiscard]] std::string_view
ToString(RpcVerdict aVerdict) noexcept;

} // namespace marjoramtally
