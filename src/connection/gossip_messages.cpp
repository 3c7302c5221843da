#include "marjoramtally/connection/gossip_messages.hpp"

#include "connection/wire.hpp"
#include "wire/gossip.capnp.h"

#include <algorithm>
#include <capnp/serialize-packed.h>
#include <kj/io.h>
#include <optional>

namespace marjoramtally {

namespace {

/// Read limit of one gossip message, in words of eight bytes.
constexpr std::uint64_t kMaxGossipWords = 64U * 1024U;
constexpr std::size_t kWordBytes = 8;
/// Upper bound of a packed word: Cap'n Proto packing adds at most two bytes.
constexpr std::size_t kPackedWordBytes = kWordBytes + 2;
/// Words of one list element, excluding its texts.
constexpr std::size_t kMemberWords = 2 + 5;
constexpr std::size_t kItemWords = 3 + 2;

std::size_t
TextWords(const std::string& aText) noexcept
{
  return aText.empty() ? 0 : (aText.size() + kWordBytes) / kWordBytes;
}

std::string
Text(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

/// Leaves the pointer null for an empty text.
template<typename Builder>
void
SetText(Builder aOut,
        void (Builder::*aSet)(capnp::Text::Reader),
        const std::string& aText)
{
  if (!aText.empty()) {
    (aOut.*aSet)(capnp::Text::Reader(aText.c_str(), aText.size()));
  }
}

std::uint32_t
Millis(Duration aDuration)
{
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(millis, 0, UINT32_MAX));
}

void
WriteMember(wire::GossipMember::Builder aOut, const Member& aMember)
{
  using Out = wire::GossipMember::Builder;
  SetText(aOut, &Out::setId, aMember.id_.Get());
  aOut.setIncarnation(aMember.incarnation_.Get());
  aOut.setRefutation(aMember.refutation_);
  aOut.setState(static_cast<std::uint8_t>(aMember.state_));
  aOut.setLeaving(aMember.leaving_);
  SetText(aOut, &Out::setRole, aMember.role_);
  SetText(aOut, &Out::setZone, aMember.zone_.Get());
  SetText(aOut, &Out::setHttp, aMember.http_);
  SetText(aOut, &Out::setRpc, aMember.rpc_);
}

Result<Member>
ReadMember(wire::GossipMember::Reader aIn)
{
  const auto last = static_cast<std::uint8_t>(MemberState::Dead);
  if (aIn.getState() > last || aIn.getId().size() == 0) {
    return Error{ ErrorKind::BadInput, "a member without id or known state" };
  }
  Member member;
  member.id_ = InstanceId{ Text(aIn.getId()) };
  member.incarnation_ = Incarnation{ aIn.getIncarnation() };
  member.refutation_ = aIn.getRefutation();
  member.state_ = static_cast<MemberState>(aIn.getState());
  member.leaving_ = aIn.getLeaving();
  member.role_ = Text(aIn.getRole());
  member.zone_ = ZoneId{ Text(aIn.getZone()) };
  member.http_ = Text(aIn.getHttp());
  member.rpc_ = Text(aIn.getRpc());
  return member;
}

void
WriteItem(wire::GossipItem::Builder aOut, const GossipItem& aItem)
{
  aOut.setKind(static_cast<std::uint16_t>(aItem.kind_));
  aOut.setZoneOnly(aItem.zoneOnly_);
  aOut.setAgeMs(Millis(aItem.age_));
  aOut.setTtlMs(Millis(aItem.ttl_));
  aOut.setVersion(aItem.version_);
  SetText(aOut, &wire::GossipItem::Builder::setKey, aItem.key_);
  if (!aItem.payload_.empty()) {
    aOut.setPayload({ reinterpret_cast<const kj::byte*>(aItem.payload_.data()),
                      aItem.payload_.size() });
  }
}

Result<GossipItem>
ReadItem(wire::GossipItem::Reader aIn)
{
  if (aIn.getKey().size() > kMaxItemKeyBytes ||
      aIn.getPayload().size() > kMaxItemPayloadBytes || aIn.getKind() == 0) {
    return Error{ ErrorKind::BadInput, "an item of a wrong kind or size" };
  }
  GossipItem item;
  item.kind_ = static_cast<GossipItemKind>(aIn.getKind());
  item.zoneOnly_ = aIn.getZoneOnly();
  item.age_ = std::chrono::milliseconds(aIn.getAgeMs());
  item.ttl_ = std::chrono::milliseconds(aIn.getTtlMs());
  item.version_ = aIn.getVersion();
  item.key_ = Text(aIn.getKey());
  const auto payload = aIn.getPayload();
  item.payload_.assign(reinterpret_cast<const char*>(payload.begin()),
                       payload.size());
  return item;
}

/// Converts a list; stops at the first invalid element.
/// @returns whether all elements are valid; otherwise `aError` is set
template<typename List, typename T, typename Function>
bool
ReadList(const List& aIn,
         std::vector<T>& aOut,
         Function aConvert,
         Error& aError)
{
  for (const auto element : aIn) {
    Result<T> converted = aConvert(element);
    if (!converted) {
      aError = converted.error();
      return false;
    }
    aOut.push_back(std::move(converted).value());
  }
  return true;
}

Result<GossipMessage>
ReadGossip(wire::GossipMessage::Reader aIn)
{
  const auto last = static_cast<std::uint8_t>(GossipKind::SyncPage);
  if (aIn.getKind() > last) {
    return Error{ ErrorKind::BadInput, "a message of an unknown kind" };
  }
  GossipMessage message;
  message.kind_ = static_cast<GossipKind>(aIn.getKind());
  message.from_ = InstanceId{ Text(aIn.getFrom()) };
  message.incarnation_ = Incarnation{ aIn.getIncarnation() };
  message.revision_ = ConfigRevision{ aIn.getRevision() };
  message.tableHash_ = aIn.getTableHash();
  message.target_ = Text(aIn.getTarget());
  message.cursor_ = Text(aIn.getCursor());
  for (const auto hash : aIn.getZoneHashes()) {
    message.zoneHashes_.push_back(
      { ZoneId{ Text(hash.getZone()) }, hash.getHash() });
  }
  Error error;
  if (!ReadList(aIn.getUpdates(), message.updates_, ReadMember, error) ||
      !ReadList(aIn.getItems(), message.items_, ReadItem, error)) {
    return error;
  }
  return message;
}

void
WriteLists(wire::GossipMessage::Builder aOut, const GossipMessage& aMessage)
{
  const auto count = [](const auto& aList) {
    return static_cast<std::uint32_t>(aList.size());
  };
  if (!aMessage.zoneHashes_.empty()) {
    auto out = aOut.initZoneHashes(count(aMessage.zoneHashes_));
    for (std::uint32_t i = 0; i < out.size(); ++i) {
      out[i].setZone(aMessage.zoneHashes_[i].zone_.Get());
      out[i].setHash(aMessage.zoneHashes_[i].hash_);
    }
  }
  if (!aMessage.updates_.empty()) {
    auto out = aOut.initUpdates(count(aMessage.updates_));
    for (std::uint32_t i = 0; i < out.size(); ++i) {
      WriteMember(out[i], aMessage.updates_[i]);
    }
  }
  if (!aMessage.items_.empty()) {
    auto out = aOut.initItems(count(aMessage.items_));
    for (std::uint32_t i = 0; i < out.size(); ++i) {
      WriteItem(out[i], aMessage.items_[i]);
    }
  }
}

} // namespace

std::string
Encode(const GossipMessage& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire::GossipMessage>();
  using Out = wire::GossipMessage::Builder;
  out.setKind(static_cast<std::uint8_t>(aMessage.kind_));
  out.setIncarnation(aMessage.incarnation_.Get());
  out.setRevision(aMessage.revision_.Get());
  out.setTableHash(aMessage.tableHash_);
  SetText(out, &Out::setFrom, aMessage.from_.Get());
  SetText(out, &Out::setTarget, aMessage.target_);
  SetText(out, &Out::setCursor, aMessage.cursor_);
  WriteLists(out, aMessage);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Result<GossipMessage>
DecodeGossipMessage(std::string_view aBytes)
{
  std::optional<Result<GossipMessage>> result;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxGossipWords;
    capnp::PackedMessageReader reader(stream, options);
    result.emplace(ReadGossip(reader.getRoot<wire::GossipMessage>()));
  });
  KJ_IF_MAYBE (exception, failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("unreadable gossip: ") +
                    exception->getDescription().cStr() };
  }
  return *std::move(result);
}

std::size_t
WireBytes(const Member& aMember) noexcept
{
  const std::size_t words = kMemberWords + TextWords(aMember.id_.Get()) +
                            TextWords(aMember.role_) +
                            TextWords(aMember.zone_.Get()) +
                            TextWords(aMember.http_) + TextWords(aMember.rpc_);
  return words * kPackedWordBytes;
}

std::size_t
WireBytes(const GossipItem& aItem) noexcept
{
  const std::size_t words =
    kItemWords + TextWords(aItem.key_) + TextWords(aItem.payload_);
  return words * kPackedWordBytes;
}

} // namespace marjoramtally
