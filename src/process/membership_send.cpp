/// Event handlers of the membership protocol and the messages that they send.

#include "marjoramtally/process/membership.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

/// @returns the fields that an update has to carry: the complete record if the
/// member is alive, otherwise only its identity and state
Member
Compact(const Member& aMember)
{
  if (aMember.state_ == MemberState::Alive) {
    return aMember;
  }
  Member update = aMember;
  update.role_.clear();
  update.zone_ = ZoneId{};
  update.http_.clear();
  update.rpc_.clear();
  return update;
}

} // namespace

GossipActions
Membership::Tick(TimePoint aNow)
{
  CheckPause(aNow);
  Expire(aNow);
  RefreshRoles();
  GossipActions out;
  PushUrgent(aNow, out);
  SyncIfDue(aNow, out);
  if (aNow >= nextProbe_) {
    nextProbe_ = std::max(nextProbe_ + options_.probePeriod_, aNow);
    ProbeNext(aNow, out);
    if (IsBridge()) {
      ProbeZone(aNow, out);
    }
  }
  return out;
}

GossipActions
Membership::OnRequest(GossipCall aCall,
                      const GossipMessage& aRequest,
                      TimePoint aNow)
{
  CheckPause(aNow);
  Receive(aRequest, aNow);
  GossipActions out;
  const MemberTable::Entry* sender = table_.Find(aRequest.from_);
  const Member* to = sender == nullptr ? nullptr : &sender->member_;
  switch (aRequest.kind_) {
    case GossipKind::IndirectProbe:
      out.emplace_back(Send({ CallKind::Relay, {}, aCall },
                            aRequest.target_,
                            Compose(GossipKind::Probe, nullptr, aNow),
                            options_.probeTimeout_));
      break;
    case GossipKind::Sync:
      out.emplace_back(GossipReply{ aCall, ComposePage(aRequest, aNow) });
      break;
    default:
      out.emplace_back(
        GossipReply{ aCall, Compose(GossipKind::Ack, to, aNow) });
  }
  return out;
}

GossipActions
Membership::OnReply(GossipCall aCall,
                    const GossipMessage& aReply,
                    TimePoint aNow)
{
  CheckPause(aNow);
  const auto it = calls_.find(aCall);
  if (it == calls_.end()) {
    return {};
  }
  const Call call = it->second;
  calls_.erase(it);
  Receive(aReply, aNow);
  GossipActions out;
  if (call.kind_ == CallKind::Relay) {
    out.emplace_back(
      GossipReply{ call.inbound_, Compose(GossipKind::Ack, nullptr, aNow) });
  } else if (call.kind_ == CallKind::Indirect) {
    if (aReply.kind_ == GossipKind::Ack) {
      pendingIndirectProbes_.erase(call.target_);
    } else {
      EndIndirectProbe(call.target_, aNow);
    }
  } else if (call.kind_ == CallKind::Sync) {
    syncing_ = false;
    joined_ = true;
    syncCursor_ = aReply.cursor_;
    if (syncCursor_.empty()) {
      syncPeer_.clear();
    }
  }
  return out;
}

GossipActions
Membership::OnFailed(GossipCall aCall, TimePoint aNow)
{
  CheckPause(aNow);
  const auto it = calls_.find(aCall);
  if (it == calls_.end()) {
    return {};
  }
  const Call call = it->second;
  calls_.erase(it);
  GossipActions out;
  switch (call.kind_) {
    case CallKind::Direct:
      ProbeIndirectly(call.target_, aNow, out);
      break;
    case CallKind::Indirect:
      EndIndirectProbe(call.target_, aNow);
      break;
    case CallKind::Relay:
      out.emplace_back(
        GossipReply{ call.inbound_, Compose(GossipKind::Nack, nullptr, aNow) });
      break;
    case CallKind::Sync:
      syncing_ = false;
      nextSync_ = aNow + options_.probePeriod_;
      syncPeer_.clear();
      syncCursor_.clear();
      break;
    case CallKind::Remote:
    case CallKind::Push:
      break;
  }
  return out;
}

GossipMessage
Membership::Compose(GossipKind aKind, const Member* aTo, TimePoint aNow)
{
  GossipMessage message;
  message.kind_ = aKind;
  message.from_ = self_.id_;
  message.incarnation_ = self_.incarnation_;
  message.revision_ = revision_;
  message.tableHash_ = table_.Hash();
  if (aTo != nullptr && aTo->state_ != MemberState::Alive) {
    // Send the suspicion or death to the member itself, so that it can refute.
    message.updates_.push_back(Compact(*aTo));
  }
  AppendPending(message, aTo == nullptr || aTo->zone_ != self_.zone_, aNow);
  return message;
}

void
Membership::AppendPending(GossipMessage& aMessage, bool aRemote, TimePoint aNow)
{
  const auto takeMember = [&](const InstanceId& aId, std::size_t aLeft) {
    const MemberTable::Entry* entry = table_.Find(aId);
    if (entry == nullptr ||
        (aRemote && entry->member_.state_ == MemberState::Suspect)) {
      return std::size_t{ 0 };
    }
    Member update = Compact(entry->member_);
    const std::size_t bytes = WireBytes(update);
    if (bytes > aLeft) {
      return std::size_t{ 0 };
    }
    aMessage.updates_.push_back(std::move(update));
    return bytes;
  };
  const auto take = [&](const GossipSubject& aSubject, std::size_t aLeft) {
    if (aSubject.kind_ == 0) {
      return takeMember(InstanceId{ aSubject.key_ }, aLeft);
    }
    auto item = items_.Find(
      static_cast<GossipItemKind>(aSubject.kind_), aSubject.key_, aNow);
    const std::size_t bytes = item ? WireBytes(*item) : 0;
    if (!item || bytes > aLeft || (aRemote && item->zoneOnly_)) {
      return std::size_t{ 0 };
    }
    aMessage.items_.push_back(*std::move(item));
    return bytes;
  };
  GossipQueue& queue = aRemote ? remoteQueue_ : queue_;
  queue.Pick(options_.messageBudget_, SendLimit(aRemote), take);
}

GossipSend
Membership::Send(Call aCall,
                 const std::string& aAddress,
                 GossipMessage aMessage,
                 Duration aTimeout)
{
  const GossipCall id{ nextCall_++ };
  calls_.emplace(id, std::move(aCall));
  return { id, aAddress, aTimeout, std::move(aMessage) };
}

void
Membership::SendTo(CallKind aKind,
                   const InstanceId& aTarget,
                   TimePoint aNow,
                   GossipActions& aOut)
{
  const MemberTable::Entry* entry = table_.Find(aTarget);
  if (entry == nullptr) {
    return;
  }
  const Member& to = entry->member_;
  aOut.emplace_back(Send({ aKind, aTarget, {} },
                         to.rpc_,
                         Compose(GossipKind::Probe, &to, aNow),
                         options_.probeTimeout_));
}

} // namespace marjoramtally
