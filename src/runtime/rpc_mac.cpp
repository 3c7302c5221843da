#include "marjoramtally/runtime/rpc_mac.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace marjoramtally {

namespace {

constexpr std::string_view kCallLabel = "call";
constexpr std::string_view kReplyLabel = "reply";

void
AppendNumber(std::string& aOut, std::uint64_t aNumber)
{
  constexpr unsigned kByteBits = 8;
  for (unsigned shift = 0; shift < 64; shift += kByteBits) {
    aOut += static_cast<char>((aNumber >> shift) & 0xffU);
  }
}

/// Writes the length first, so that different field values never give the same
/// bytes.
void
AppendText(std::string& aOut, std::string_view aText)
{
  AppendNumber(aOut, aText.size());
  aOut += aText;
}

std::string
CallText(const RpcSigned& aCall, const RpcStamp& aStamp)
{
  std::string text;
  AppendText(text, kCallLabel);
  AppendNumber(text, aCall.topic_);
  AppendNumber(text, aStamp.unixMillis_);
  AppendNumber(text, aStamp.nonce_);
  AppendText(text, aCall.target_);
  AppendText(text, aCall.body_);
  return text;
}

std::string
ReplyText(const RpcStamp& aCall, std::uint16_t aError, std::string_view aBody)
{
  std::string text;
  AppendText(text, kReplyLabel);
  AppendText(text, aCall.mac_);
  AppendNumber(text, aError);
  AppendText(text, aBody);
  return text;
}

std::string
Authenticate(const std::string& aKey, const std::string& aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       mac.data(),
       &size);
  return { reinterpret_cast<const char*>(mac.data()), size };
}

} // namespace

RpcMac::RpcMac(std::vector<std::string> aKeys)
  : keys_(std::move(aKeys))
{
}

RpcStamp
RpcMac::Stamp(const RpcSigned& aCall,
              std::uint64_t aNowMillis,
              std::uint64_t aNonce) const
{
  RpcStamp stamp;
  if (Enabled()) {
    stamp.unixMillis_ = aNowMillis;
    stamp.nonce_ = aNonce;
    stamp.mac_ = Authenticate(keys_.front(), CallText(aCall, stamp));
  }
  return stamp;
}

RpcVerdict
RpcMac::Accept(const RpcSigned& aCall,
               const RpcStamp& aStamp,
               std::uint64_t aNowMillis)
{
  if (!Enabled()) {
    return RpcVerdict::Accepted;
  }
  if (!Matches(CallText(aCall, aStamp), aStamp.mac_)) {
    return RpcVerdict::BadMac;
  }
  const std::uint64_t sent = aStamp.unixMillis_;
  const std::uint64_t difference =
    sent > aNowMillis ? sent - aNowMillis : aNowMillis - sent;
  if (difference > kRpcWindowMillis) {
    return RpcVerdict::OutOfTime;
  }
  RemoveOldNonces(aNowMillis);
  if (!nonces_.insert(aStamp.nonce_).second) {
    return RpcVerdict::Replayed;
  }
  seen_.push_back({ aNowMillis, aStamp.nonce_ });
  return RpcVerdict::Accepted;
}

void
RpcMac::RemoveOldNonces(std::uint64_t aNowMillis)
{
  // A stamp of a sender whose clock is ahead stays valid for up to two windows.
  while (!seen_.empty() &&
         seen_.front().unixMillis_ + 2 * kRpcWindowMillis < aNowMillis) {
    nonces_.erase(seen_.front().nonce_);
    seen_.pop_front();
  }
}

std::string
RpcMac::SignReply(const RpcStamp& aCall,
                  std::uint16_t aError,
                  std::string_view aBody) const
{
  return Enabled()
           ? Authenticate(keys_.front(), ReplyText(aCall, aError, aBody))
           : std::string{};
}

bool
RpcMac::VerifyReply(const RpcStamp& aCall,
                    std::uint16_t aError,
                    std::string_view aBody,
                    std::string_view aMac) const
{
  return !Enabled() || Matches(ReplyText(aCall, aError, aBody), aMac);
}

bool
RpcMac::Matches(const std::string& aText, std::string_view aMac) const
{
  bool matches = false;
  for (const std::string& key : keys_) {
    const std::string mac = Authenticate(key, aText);
    const bool same = mac.size() == aMac.size() &&
                      CRYPTO_memcmp(mac.data(), aMac.data(), mac.size()) == 0;
    matches = matches || same;
  }
  return matches;
}

std::string_view
ToString(RpcVerdict aVerdict) noexcept
{
  switch (aVerdict) {
    case RpcVerdict::Accepted:
      return "accepted";
    case RpcVerdict::BadMac:
      return "bad_mac";
    case RpcVerdict::OutOfTime:
      return "out_of_time";
    case RpcVerdict::Replayed:
      return "replayed";
  }
  return "unknown";
}

} // namespace marjoramtally
