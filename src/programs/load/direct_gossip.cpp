#include "programs/load/direct_gossip.hpp"

namespace marjoramtally {

namespace {

constexpr std::size_t kSeeds = 3;
/// Incarnation at simulated time 0, in milliseconds of wall time.
constexpr std::uint64_t kFirstIncarnation = 1'700'000'000'000;

std::uint64_t
IncarnationAt(TimePoint aNow)
{
  return kFirstIncarnation +
         static_cast<std::uint64_t>(aNow.sinceStart_.count() / 1000);
}

} // namespace

std::size_t
DirectGossip::Add(const std::string& aName,
                  const std::string& aZone,
                  MembershipOptions aOptions)
{
  const std::size_t number = nodes_.size();
  Member self;
  self.id_ = InstanceId{ aName };
  self.incarnation_ = Incarnation{ IncarnationAt(Now()) };
  self.role_ = number % 2 == 0 ? "entry" : "control";
  self.zone_ = ZoneId{ aZone };
  const std::string host = "10.20." + std::to_string(number / 200) + "." +
                           std::to_string(number % 200 + 1);
  self.http_ = host + ":8080";
  self.rpc_ = host + ":8081";
  Node node;
  node.options_ = aOptions;
  node.core_ = std::make_unique<Membership>(aOptions, self, random_.Next());
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < kSeeds && number > 0; ++i) {
    seeds.push_back(At(random_.Below(number)).Self().rpc_);
  }
  node.core_->SetSeeds(std::move(seeds));
  nodes_.push_back(std::move(node));
  byAddress_[self.rpc_] = number;
  return number;
}

void
DirectGossip::Restart(std::size_t aNumber)
{
  Node& node = nodes_.at(aNumber);
  Member self = node.core_->Self();
  self.incarnation_ = Incarnation{ IncarnationAt(Now()) };
  self.refutation_ = 0;
  self.leaving_ = false;
  node.core_ =
    std::make_unique<Membership>(node.options_, self, random_.Next());
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < kSeeds; ++i) {
    seeds.push_back(At(random_.Below(Count())).Self().rpc_);
  }
  node.core_->SetSeeds(std::move(seeds));
  node.stopped_ = false;
}

void
DirectGossip::Run(Duration aTime)
{
  const TimePoint end = Now() + aTime;
  while (Now() < end) {
    clock_.Advance(step_);
    FailTimedOut();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].stopped_) {
        Dispatch(i, nodes_[i].core_->Tick(Now()));
      }
    }
  }
}

void
DirectGossip::Dispatch(std::size_t aFrom, GossipActions aActions)
{
  for (const GossipAction& action : aActions) {
    if (const auto* send = std::get_if<GossipSend>(&action)) {
      Deliver(aFrom, *send);
    } else {
      DeliverReply(aFrom, std::get<GossipReply>(action));
    }
  }
}

void
DirectGossip::Deliver(std::size_t aFrom, const GossipSend& aSend)
{
  const auto target = byAddress_.find(aSend.address_);
  const std::uint64_t inbound = nextInbound_++;
  const std::size_t to = target == byAddress_.end() ? aFrom : target->second;
  pending_[inbound] = { aFrom, aSend.call_, to };
  timeouts_.emplace(Now() + aSend.timeout_, inbound);
  const GossipMessage message = PassThroughWire(aFrom, to, aSend.message_);
  if (target == byAddress_.end() || !IsDelivered(aFrom, to)) {
    return;
  }
  ++nodes_[to].traffic_.handled_;
  Dispatch(to,
           nodes_[to].core_->OnRequest(GossipCall{ inbound }, message, Now()));
}

void
DirectGossip::DeliverReply(std::size_t aFrom, const GossipReply& aReply)
{
  const auto it = pending_.find(aReply.call_.Get());
  if (it == pending_.end()) {
    return;
  }
  const PendingCall pending = it->second;
  const GossipMessage message =
    PassThroughWire(aFrom, pending.from_, aReply.message_);
  if (!IsDelivered(aFrom, pending.from_)) {
    return;
  }
  pending_.erase(it);
  ++nodes_[pending.from_].traffic_.handled_;
  Dispatch(pending.from_,
           nodes_[pending.from_].core_->OnReply(pending.call_, message, Now()));
}

void
DirectGossip::FailTimedOut()
{
  while (!timeouts_.empty() && timeouts_.begin()->first <= Now()) {
    const std::uint64_t inbound = timeouts_.begin()->second;
    timeouts_.erase(timeouts_.begin());
    const auto it = pending_.find(inbound);
    if (it == pending_.end()) {
      continue;
    }
    const PendingCall pending = it->second;
    pending_.erase(it);
    if (!nodes_[pending.from_].stopped_) {
      Dispatch(pending.from_,
               nodes_[pending.from_].core_->OnFailed(pending.call_, Now()));
    }
  }
}

bool
DirectGossip::IsDelivered(std::size_t aFrom, std::size_t aTo)
{
  constexpr std::uint64_t kPerMille = 1000;
  if (nodes_[aTo].stopped_ || (reaches_ && !reaches_(aFrom, aTo))) {
    return false;
  }
  return random_.Below(kPerMille) >= lostPerMille_;
}

GossipMessage
DirectGossip::PassThroughWire(std::size_t aFrom,
                              std::size_t aTo,
                              const GossipMessage& aMessage)
{
  if (!encodeMessages_) {
    return aMessage;
  }
  const std::string bytes = Encode(aMessage);
  nodes_[aFrom].traffic_.bytesSent_ += bytes.size();
  if (!nodes_[aTo].stopped_) {
    nodes_[aTo].traffic_.bytesReceived_ += bytes.size();
  }
  auto decoded = DecodeGossipMessage(bytes);
  return decoded ? std::move(decoded).value() : GossipMessage{};
}

} // namespace marjoramtally
