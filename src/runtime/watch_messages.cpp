#include "marjoramtally/runtime/watch_messages.hpp"

#include "connection/wire.hpp"
#include "wire/watch.capnp.h"

#include <algorithm>
#include <zlib.h>

namespace marjoramtally {

namespace {

/// Upper bound of waits and ages in messages.
constexpr std::uint32_t kMaxWaitMillis = 60'000;

/// Smaller messages are not deflated.
constexpr std::size_t kMinDeflatedBytes = 1024;
/// Records of one type are very similar, so the fastest level compresses them
/// well.
constexpr int kDeflateLevel = Z_BEST_SPEED;
/// Largest message that is inflated, in bytes; the history of a relay is
/// smaller.
constexpr std::uint32_t kMaxInflatedBytes = 8U * 1024U * 1024U;

std::uint32_t
ToMillis(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(WholeMillis(aDuration), 0, kMaxWaitMillis));
}

void
Write(wire::WatchChange::Builder aOut, const StoreEvent& aEvent)
{
  const StoreRecord& record = aEvent.record_;
  // Converted from a string alone, a key would end at its first zero byte.
  aOut.setKey(capnp::Text::Reader(record.key_.c_str(), record.key_.size()));
  aOut.setValue(
    kj::arrayPtr(reinterpret_cast<const kj::byte*>(record.value_.data()),
                 record.value_.size()));
  aOut.setRevision(record.modRevision_);
  aOut.setCreated(record.createRevision_);
  aOut.setLease(record.lease_);
  aOut.setDeleted(aEvent.deleted_);
}

StoreEvent
Read(wire::WatchChange::Reader aIn)
{
  StoreEvent event;
  const auto value = aIn.getValue();
  event.deleted_ = aIn.getDeleted();
  event.record_.key_.assign(aIn.getKey().cStr(), aIn.getKey().size());
  event.record_.value_.assign(reinterpret_cast<const char*>(value.begin()),
                              value.size());
  event.record_.modRevision_ = aIn.getRevision();
  event.record_.createRevision_ = aIn.getCreated();
  event.record_.lease_ = aIn.getLease();
  return event;
}

std::string
EncodePlain(const StoreWatchBatch& aBatch)
{
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::WatchChanges>();
  message.setRevision(aBatch.revision_);
  message.setAgeMs(ToMillis(aBatch.age_));
  message.setLatest(aBatch.latest_);
  const auto count = static_cast<std::uint32_t>(aBatch.events_.size());
  auto changes = message.initChanges(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    Write(changes[i], aBatch.events_[i]);
  }
  return impl::Flatten(builder);
}

/// @returns a message that holds the deflated one; empty if deflating fails
std::string
Deflate(const std::string& aPlain)
{
  uLongf size = compressBound(aPlain.size());
  std::vector<Bytef> packed(size);
  if (compress2(packed.data(),
                &size,
                reinterpret_cast<const Bytef*>(aPlain.data()),
                aPlain.size(),
                kDeflateLevel) != Z_OK) {
    return {};
  }
  capnp::MallocMessageBuilder builder;
  auto message = builder.initRoot<wire::WatchChanges>();
  message.setPacked(kj::arrayPtr(packed.data(), size));
  message.setUnpackedBytes(static_cast<std::uint32_t>(aPlain.size()));
  return impl::Flatten(builder);
}

Result<std::string>
Inflate(wire::WatchChanges::Reader aIn)
{
  const auto packed = aIn.getPacked();
  if (aIn.getUnpackedBytes() > kMaxInflatedBytes) {
    return Error{ ErrorKind::BadInput,
                  "deflated message exceeds the size limit" };
  }
  std::string plain(aIn.getUnpackedBytes(), '\0');
  uLongf size = plain.size();
  if (uncompress(reinterpret_cast<Bytef*>(plain.data()),
                 &size,
                 packed.begin(),
                 packed.size()) != Z_OK ||
      size != plain.size()) {
    return Error{ ErrorKind::BadInput, "deflated message cannot be inflated" };
  }
  return plain;
}

Result<StoreWatchBatch>
ReadPlain(wire::WatchChanges::Reader aIn)
{
  StoreWatchBatch batch;
  batch.revision_ = aIn.getRevision();
  batch.age_ = std::chrono::milliseconds(aIn.getAgeMs());
  batch.latest_ = std::max(batch.revision_, aIn.getLatest());
  for (const auto change : aIn.getChanges()) {
    batch.events_.push_back(Read(change));
  }
  return batch;
}

} // namespace

std::string
EncodeWatchAsk(const WatchAsk& aAsk)
{
  capnp::MallocMessageBuilder builder;
  auto ask = builder.initRoot<wire::WatchAsk>();
  ask.setPrefix(aAsk.prefix_);
  ask.setAfter(aAsk.after_);
  ask.setWaitMs(ToMillis(aAsk.wait_));
  ask.setInflates(aAsk.inflates_);
  ask.setRemovalsAfter(aAsk.removalsAfter_);
  return impl::Flatten(builder);
}

Result<WatchAsk>
DecodeWatchAsk(std::string_view aBytes)
{
  return impl::ReadMessage<wire::WatchAsk, WatchAsk>(
    aBytes, [](wire::WatchAsk::Reader aIn) -> Result<WatchAsk> {
      const std::uint32_t wait = std::min(aIn.getWaitMs(), kMaxWaitMillis);
      return WatchAsk{ aIn.getPrefix().cStr(),
                       aIn.getAfter(),
                       std::chrono::milliseconds(wait),
                       aIn.getInflates(),
                       aIn.getRemovalsAfter() };
    });
}

std::string
EncodeWatchBatch(const StoreWatchBatch& aBatch, bool aDeflated)
{
  std::string plain = EncodePlain(aBatch);
  if (!aDeflated || plain.size() < kMinDeflatedBytes ||
      plain.size() > kMaxInflatedBytes) {
    return plain;
  }
  std::string packed = Deflate(plain);
  return packed.empty() ? plain : packed;
}

Result<StoreWatchBatch>
DecodeWatchBatch(std::string_view aBytes)
{
  return impl::ReadMessage<wire::WatchChanges, StoreWatchBatch>(
    aBytes, [](wire::WatchChanges::Reader aIn) -> Result<StoreWatchBatch> {
      if (!aIn.hasPacked()) {
        return ReadPlain(aIn);
      }
      const auto plain = Inflate(aIn);
      if (!plain) {
        return plain.error();
      }
      return impl::ReadMessage<wire::WatchChanges, StoreWatchBatch>(
        plain.value(), ReadPlain);
    });
}

} // namespace marjoramtally
