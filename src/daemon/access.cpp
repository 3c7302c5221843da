#include "daemon/access.hpp"

#include "daemon/manifest.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <openssl/crypto.h>

namespace marjoramtally {

namespace {

constexpr std::string_view kScheme = "Bearer ";

/// @returns the hash of the request's bearer token; empty if there is none
std::string
HashOfToken(const HttpHeaders& aHeaders)
{
  const auto header = FindHeader(aHeaders, "authorization");
  if (!header || !header->starts_with(kScheme)) {
    return {};
  }
  return ContentHash(header->substr(kScheme.size()));
}

/// Compares in constant time, against timing attacks.
bool
IsSameHash(const std::string& aOne, const std::string& aTwo)
{
  return aOne.size() == aTwo.size() &&
         CRYPTO_memcmp(aOne.data(), aTwo.data(), aOne.size()) == 0;
}

Error
Refuse(const std::string& aSubject, bool aTokenGiven)
{
  const std::string reason = aTokenGiven
                               ? "the bearer token is not the right one"
                               : "a bearer token is needed";
  LogEvent(LogLevel::Warn,
           "access_refused",
           { { "subject", aSubject }, { "reason", reason } });
  return { ErrorKind::Refused, reason };
}

} // namespace

Result<bool>
CheckTrainerAccess(const Rules& aRules,
                   const TrainerId& aTrainer,
                   const HttpHeaders& aHeaders)
{
  const auto rule = aRules.trainers_.find(aTrainer);
  if (rule == aRules.trainers_.end() || rule->second.tokenHash_.empty()) {
    return true;
  }
  const std::string given = HashOfToken(aHeaders);
  if (IsSameHash(given, rule->second.tokenHash_)) {
    return true;
  }
  return Refuse("trainer/" + aTrainer.Get(), !given.empty());
}

Result<OperatorId>
CheckOperatorAccess(const Rules& aRules, const HttpHeaders& aHeaders)
{
  const std::string given = HashOfToken(aHeaders);
  const OperatorRule* found = nullptr;
  // Compares with all operators, so that the run time does not reveal which
  // one matched.
  for (const auto& [id, rule] : aRules.operators_) {
    if (IsSameHash(given, rule.tokenHash_)) {
      found = &rule;
    }
  }
  if (found == nullptr) {
    return Refuse("operator", !given.empty());
  }
  return found->id_;
}

} // namespace marjoramtally
