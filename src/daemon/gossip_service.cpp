#include "daemon/gossip_service.hpp"

namespace marjoramtally {

namespace {

constexpr auto kTickPeriod = std::chrono::milliseconds(200);

std::uint64_t
WallMillis()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

/// Changes to pass to the listeners, collected under the lock.
struct PendingNotifications
{
  std::optional<std::vector<Member>> members_;
  std::optional<ConfigRevision> revision_;
  std::string revisionAddress_;
  std::vector<GossipItem> storeRevisions_;
};

} // namespace

GossipService::GossipService(Timers& aTimers, Metrics& aMetrics)
  : timers_(aTimers)
  , metrics_(aMetrics)
{
}

void
GossipService::Start(Member aSelf, RpcNode& aRpc)
{
  const std::uint64_t wall = WallMillis();
  aSelf.incarnation_ = Incarnation{ wall };
  {
    const std::lock_guard lock(mutex_);
    rpc_ = &aRpc;
    const std::uint64_t seed = wall ^ std::hash<std::string>{}(aSelf.id_.Get());
    core_ =
      std::make_unique<Membership>(MembershipOptions{}, std::move(aSelf), seed);
  }
  Notify();
  timers_.Every(kTickPeriod, [this] { Tick(); });
}

/// Passes one event to the core under the lock, then runs the resulting
/// actions without it.
template<typename Event>
void
GossipService::Feed(Event aEvent)
{
  GossipActions actions;
  {
    const std::lock_guard lock(mutex_);
    if (core_ == nullptr) {
      return;
    }
    actions = aEvent(*core_, clock_.Now());
  }
  Run(std::move(actions));
  Notify();
}

void
GossipService::Tick()
{
  Feed([](Membership& aCore, TimePoint aNow) { return aCore.Tick(aNow); });
  PublishMetrics();
}

void
GossipService::Serve(const RpcCall& aCall, RpcDone aDone)
{
  auto message = DecodeGossipMessage(aCall.body_);
  if (!message) {
    aDone(message.error());
    return;
  }
  metrics_.Count("gossip_received_bytes", aCall.body_.size());
  GossipCall inbound;
  {
    const std::lock_guard lock(mutex_);
    if (core_ == nullptr) {
      aDone(Error{ ErrorKind::Unavailable, "not started yet" });
      return;
    }
    inbound = GossipCall{ nextInbound_++ };
    inbound_.emplace(inbound, std::move(aDone));
  }
  Feed([&](Membership& aCore, TimePoint aNow) {
    return aCore.OnRequest(inbound, message.value(), aNow);
  });
}

void
GossipService::Leave()
{
  Feed([](Membership& aCore, TimePoint aNow) {
    aCore.Leave(aNow);
    return aCore.Tick(aNow);
  });
}

void
GossipService::SetSeeds(std::vector<std::string> aAddresses)
{
  const std::lock_guard lock(mutex_);
  if (core_ != nullptr) {
    core_->SetSeeds(std::move(aAddresses));
  }
}

void
GossipService::TakePlatformList(const std::vector<PlatformInstance>& aList)
{
  Feed([&](Membership& aCore, TimePoint aNow) {
    aCore.TakePlatformList(aList, aNow);
    return GossipActions{};
  });
}

void
GossipService::SetRevision(ConfigRevision aRevision)
{
  Feed([&](Membership& aCore, TimePoint /*aNow*/) {
    aCore.SetRevision(aRevision);
    return GossipActions{};
  });
}

void
GossipService::Publish(const GossipItem& aItem)
{
  Feed([&](Membership& aCore, TimePoint aNow) {
    aCore.Publish(aItem, aNow);
    return GossipActions{};
  });
}

std::vector<GossipItem>
GossipService::Items(GossipItemKind aKind) const
{
  const std::lock_guard lock(mutex_);
  return core_ == nullptr ? std::vector<GossipItem>{}
                          : core_->Items().OfKind(aKind, clock_.Now());
}

bool
GossipService::IsBridge() const
{
  const std::lock_guard lock(mutex_);
  return core_ == nullptr || core_->IsBridge();
}

void
GossipService::Run(GossipActions aActions)
{
  for (const GossipAction& action : aActions) {
    if (const auto* send = std::get_if<GossipSend>(&action)) {
      Send(*send);
    } else {
      Answer(std::get<GossipReply>(action));
    }
  }
}

void
GossipService::Send(const GossipSend& aSend)
{
  RpcCall call;
  call.topic_ = RpcTopic::Gossip;
  call.timeout_ = aSend.timeout_;
  call.body_ = Encode(aSend.message_);
  metrics_.Count("gossip_sent_bytes", call.body_.size());
  metrics_.Count("gossip_messages_sent");
  rpc_->Call(
    aSend.address_, std::move(call), [this, id = aSend.call_](RpcReply aReply) {
      auto message = aReply ? DecodeGossipMessage(aReply.value())
                            : Result<GossipMessage>(aReply.error());
      if (aReply) {
        metrics_.Count("gossip_received_bytes", aReply.value().size());
      }
      Feed([&](Membership& aCore, TimePoint aNow) {
        return message ? aCore.OnReply(id, message.value(), aNow)
                       : aCore.OnFailed(id, aNow);
      });
    });
}

void
GossipService::Answer(const GossipReply& aReply)
{
  RpcDone done;
  {
    const std::lock_guard lock(mutex_);
    const auto it = inbound_.find(aReply.call_);
    if (it == inbound_.end()) {
      return;
    }
    done = std::move(it->second);
    inbound_.erase(it);
  }
  std::string body = Encode(aReply.message_);
  metrics_.Count("gossip_sent_bytes", body.size());
  done(std::move(body));
}

void
GossipService::Notify()
{
  PendingNotifications pending;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.Now();
    if (core_->ChangeCount() != notifiedChanges_) {
      notifiedChanges_ = core_->ChangeCount();
      pending.members_ = core_->Usable(now);
      for (const GossipItem& item :
           core_->Items().OfKind(GossipItemKind::StoreRevision, now)) {
        std::uint64_t& known = notifiedStore_[item.key_];
        if (item.version_ > known) {
          known = item.version_;
          pending.storeRevisions_.push_back(item);
        }
      }
    }
    if (core_->HighestRevision() > notifiedRevision_) {
      notifiedRevision_ = core_->HighestRevision();
      pending.revision_ = notifiedRevision_;
      const auto* source = core_->Table().Find(core_->RevisionSource());
      if (source != nullptr && core_->RevisionSource() != core_->Self().id_) {
        pending.revisionAddress_ = source->member_.rpc_;
      }
    }
  }
  if (pending.members_ && onMembers_) {
    onMembers_(*pending.members_);
  }
  if (pending.revision_ && onRevision_) {
    onRevision_(*pending.revision_, pending.revisionAddress_);
  }
  for (const GossipItem& item : pending.storeRevisions_) {
    if (onStoreRevision_) {
      onStoreRevision_(item);
    }
  }
}

void
GossipService::PublishMetrics()
{
  const std::lock_guard lock(mutex_);
  const MembershipCounters& counters = core_->Counters();
  metrics_.Set("gossip_members",
               static_cast<double>(core_->Table().All().size()));
  metrics_.Set("gossip_suspicions", static_cast<double>(counters.suspicions_));
  metrics_.Set("gossip_deaths", static_cast<double>(counters.deaths_));
  metrics_.Set("gossip_refutations",
               static_cast<double>(counters.refutations_));
  metrics_.Set("gossip_syncs", static_cast<double>(counters.syncs_));
  metrics_.Set("gossip_pauses", static_cast<double>(counters.pauses_));
  metrics_.Set("gossip_isolated", core_->Isolated() ? 1 : 0);
  metrics_.Set("gossip_bridge", core_->IsBridge() ? 1 : 0);
  if (core_->Superseded() && !warnedSuperseded_) {
    warnedSuperseded_ = true;
    LogEvent(LogLevel::Error,
             "instance_superseded",
             { { "instance", core_->Self().id_.Get() } });
  }
}

} // namespace marjoramtally
