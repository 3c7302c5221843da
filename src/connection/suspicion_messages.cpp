#include "marjoramtally/connection/suspicion_messages.hpp"

#include "connection/wire.hpp"
#include "wire/suspicion.capnp.h"

#include <algorithm>

namespace marjoramtally {

namespace {

/// 30 days. Longer times from the wire are clamped, so that sums do not
/// overflow.
constexpr std::uint64_t kMaxMillis = 1000ULL * 60 * 60 * 24 * 30;

std::uint64_t
ToMillis(Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

Duration
FromMillis(std::uint64_t aMillis)
{
  return std::chrono::milliseconds(std::min(aMillis, kMaxMillis));
}

void
Write(wire::SuspicionUpdate::Builder aOut, const SuspicionUpdate& aUpdate)
{
  aOut.setFingerprint(aUpdate.fingerprint_.Get());
  aOut.setCleared(aUpdate.cleared_);
  aOut.setRefusedForMs(ToMillis(aUpdate.refusedFor_));
  const auto count = static_cast<std::uint32_t>(aUpdate.crashes_.size());
  auto crashes = aOut.initCrashes(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    crashes[i].setUpstream(aUpdate.crashes_[i].upstream_.Get());
    crashes[i].setAgeMs(ToMillis(aUpdate.crashes_[i].age_));
    crashes[i].setRanMs(ToMillis(aUpdate.crashes_[i].ran_));
    crashes[i].setUnproven(!aUpdate.crashes_[i].proven_);
  }
}

SuspicionUpdate
Read(wire::SuspicionUpdate::Reader aIn)
{
  SuspicionUpdate update;
  update.fingerprint_ = Fingerprint{ aIn.getFingerprint() };
  update.cleared_ = aIn.getCleared();
  update.refusedFor_ = FromMillis(aIn.getRefusedForMs());
  for (const auto crash : aIn.getCrashes()) {
    update.crashes_.push_back({ UpstreamId{ crash.getUpstream().cStr() },
                                FromMillis(crash.getAgeMs()),
                                FromMillis(crash.getRanMs()),
                                !crash.getUnproven() });
  }
  return update;
}

} // namespace

std::string
Encode(const std::vector<SuspicionUpdate>& aUpdates)
{
  capnp::MallocMessageBuilder builder;
  const auto count = static_cast<std::uint32_t>(aUpdates.size());
  auto updates = builder.initRoot<wire::SuspicionUpdates>().initUpdates(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    Write(updates[i], aUpdates[i]);
  }
  return impl::Flatten(builder);
}

Result<std::vector<SuspicionUpdate>>
DecodeSuspicionUpdates(std::string_view aBytes)
{
  using Updates = std::vector<SuspicionUpdate>;
  return impl::ReadMessage<wire::SuspicionUpdates, Updates>(
    aBytes, [](wire::SuspicionUpdates::Reader aIn) -> Result<Updates> {
      Updates updates;
      for (const auto update : aIn.getUpdates()) {
        updates.push_back(Read(update));
      }
      return updates;
    });
}

} // namespace marjoramtally
