#include "marjoramtally/process/claim_record.hpp"

#include <array>
#include <charconv>
#include <sstream>

namespace marjoramtally {

namespace {

constexpr std::array<std::string_view, 3> kStateNames{
  "claimed",
  "completed",
  "unknown",
};

constexpr int kHexBase = 16;

std::string
Hex(std::uint64_t aValue)
{
  std::array<char, 16> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aValue, kHexBase);
  return { digits.data(), end.ptr };
}

} // namespace

std::string
EncodeClaim(const ClaimRecord& aRecord)
{
  return aRecord.token_ + " " + Hex(aRecord.fingerprint_.Get()) + " " +
         std::string(kStateNames.at(static_cast<std::size_t>(aRecord.state_))) +
         " " + std::to_string(aRecord.status_);
}

std::optional<ClaimRecord>
DecodeClaim(std::string_view aText)
{
  std::istringstream in{ std::string(aText) };
  ClaimRecord record;
  std::string fingerprint;
  std::string state;
  if (!(in >> record.token_ >> fingerprint >> state >> record.status_)) {
    return std::nullopt;
  }
  std::uint64_t hash = 0;
  const char* end = fingerprint.data() + fingerprint.size();
  const auto read = std::from_chars(fingerprint.data(), end, hash, kHexBase);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  record.fingerprint_ = Fingerprint{ hash };
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == state) {
      record.state_ = static_cast<ClaimState>(i);
      return record;
    }
  }
  return std::nullopt;
}

std::string
ClaimName(const ServiceId& aService, const IdempotencyKey& aKey)
{
  const auto first = MakeFingerprint({ aService.Get(), aKey.Get() });
  const auto second = MakeFingerprint({ aKey.Get(), aService.Get() });
  return Hex(first.Get()) + "-" + Hex(second.Get());
}

} // namespace marjoramtally
