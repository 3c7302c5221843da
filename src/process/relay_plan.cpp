#include "marjoramtally/process/relay_plan.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/base/json_numbers.hpp"
#include "marjoramtally/process/job_takeover.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

} // namespace

std::string
WriteLivenessRecord(const LivenessRecord& aRecord)
{
  Json value{ { "zone", aRecord.zone_.Get() },
              { "address", aRecord.address_ } };
  if (aRecord.capacity_ != Capacity{}) {
    value["capacity"] = aRecord.capacity_.Get();
  }
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<LivenessRecord>
ReadLivenessRecord(std::string_view aText)
{
  try {
    const Json value = ParseJson(aText);
    return LivenessRecord{ ZoneId{ value.at("zone").get<std::string>() },
                           value.at("address").get<std::string>(),
                           Capacity{ WholeFieldOr(value, "capacity", 0U) } };
  } catch (const std::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("cannot parse liveness record: ") +
                    failure.what() };
  }
}

RelayPlan::RelayPlan(std::string aSelf, RelayPlanPolicy aPolicy)
  : self_(std::move(aSelf))
  , instance_(InstanceOf(self_))
  , policy_(aPolicy)
{
}

RelayPlan::Rank
RelayPlan::RankOf(const std::string& aPrefix, const Process& aProcess)
{
  return { -std::int64_t{ aProcess.record_.capacity_.Get() },
           std::hash<std::string>{}(aPrefix + aProcess.instance_.Get()),
           aProcess.instance_.Get() };
}

void
RelayPlan::AddToOrders(const Process& aProcess)
{
  if (aProcess.record_.address_.empty()) {
    return;
  }
  ++callable_;
  ++zones_[aProcess.record_.zone_];
  for (auto& [name, prefix] : prefixes_) {
    prefix.order_.emplace(RankOf(name, aProcess), &aProcess);
    prefix.current_ = false;
  }
}

void
RelayPlan::RemoveFromOrders(const Process& aProcess)
{
  if (aProcess.record_.address_.empty()) {
    return;
  }
  --callable_;
  const auto zone = zones_.find(aProcess.record_.zone_);
  if (--zone->second == 0) {
    zones_.erase(zone);
  }
  for (auto& [name, prefix] : prefixes_) {
    prefix.order_.erase(RankOf(name, aProcess));
    prefix.current_ = false;
  }
}

void
RelayPlan::OnAlive(const std::string& aIncarnation, LivenessRecord aRecord)
{
  ++inspected_;
  const InstanceId instance = InstanceOf(aIncarnation);
  const auto [it, added] = processes_.try_emplace(instance);
  Process& process = it->second;
  // Names of an instance's incarnations sort by start time.
  if (!added && aIncarnation < process.incarnation_) {
    return;
  }
  RemoveFromOrders(process);
  process = { instance, aIncarnation, std::move(aRecord) };
  AddToOrders(process);
}

void
RelayPlan::OnGone(const std::string& aIncarnation)
{
  ++inspected_;
  const auto it = processes_.find(InstanceOf(aIncarnation));
  if (it != processes_.end() && it->second.incarnation_ == aIncarnation) {
    RemoveFromOrders(it->second);
    processes_.erase(it);
  }
}

std::vector<std::string>
RelayPlan::Peers() const
{
  std::vector<std::string> peers;
  for (const auto& [instance, process] : processes_) {
    if (instance != instance_ && !process.record_.address_.empty()) {
      peers.push_back(process.record_.address_);
    }
  }
  return peers;
}

RelayPlan::Prefix&
RelayPlan::PrefixFor(const std::string& aPrefix) const
{
  const auto [it, added] = prefixes_.try_emplace(aPrefix);
  if (added) {
    it->second.order_ = MakeOrder(aPrefix);
  }
  return it->second;
}

const std::vector<std::string>&
RelayPlan::Relays(const std::string& aPrefix) const
{
  Prefix& prefix = PrefixFor(aPrefix);
  if (!prefix.current_) {
    prefix.relays_ = Choose(prefix.order_);
    prefix.current_ = true;
  }
  return prefix.relays_;
}

RelayPlan::Order
RelayPlan::MakeOrder(const std::string& aPrefix) const
{
  Order order;
  for (const auto& [instance, process] : processes_) {
    ++inspected_;
    if (!process.record_.address_.empty()) {
      order.emplace(RankOf(aPrefix, process), &process);
    }
  }
  return order;
}

/// Chooses the first processes of the order, spread over zones: those with the
/// most capacity, as a relay sends to dozens of peers at once. A process that
/// joins or leaves changes few of the relays.
std::vector<const RelayPlan::Process*>
RelayPlan::ChooseProcesses(const Order& aOrder) const
{
  const std::size_t wanted = std::max(
    policy_.minRelays_,
    (aOrder.size() + policy_.peersPerRelay_ - 1) / policy_.peersPerRelay_);
  std::vector<const Process*> chosen;
  std::set<ZoneId> zones;
  for (const bool sameZone : { false, true }) {
    for (const auto& [rank, process] : aOrder) {
      if (chosen.size() >= wanted ||
          (!sameZone && zones.size() == zones_.size())) {
        break;
      }
      ++inspected_;
      const bool taken =
        std::find(chosen.begin(), chosen.end(), process) != chosen.end();
      if (!taken && (sameZone || zones.insert(process->record_.zone_).second)) {
        chosen.push_back(process);
      }
    }
  }
  return chosen;
}

std::vector<std::string>
RelayPlan::Choose(const Order& aOrder) const
{
  if (callable_ < policy_.minPeers_) {
    return seeds_;
  }
  std::vector<std::string> relays;
  for (const Process* process : ChooseProcesses(aOrder)) {
    if (process->instance_ == instance_) {
      return {};
    }
    relays.push_back(process->record_.address_);
  }
  Rotate(relays);
  return relays;
}

std::vector<std::string>
RelayPlan::RelaysIfFirst(const std::string& aPrefix) const
{
  if (callable_ < policy_.minPeers_) {
    return {};
  }
  const std::vector<const Process*> chosen =
    ChooseProcesses(PrefixFor(aPrefix).order_);
  std::vector<std::string> relays;
  if (!chosen.empty() && chosen.front()->instance_ == instance_) {
    for (const Process* process : chosen) {
      relays.push_back(process->record_.address_);
    }
  }
  return relays;
}

void
RelayPlan::SetSeeds(std::vector<std::string> aAddresses,
                    const std::string& aOwnAddress)
{
  const bool own =
    std::find(aAddresses.begin(), aAddresses.end(), aOwnAddress) !=
    aAddresses.end();
  seeds_ = own ? std::vector<std::string>{} : std::move(aAddresses);
  Rotate(seeds_);
  for (auto& [name, prefix] : prefixes_) {
    prefix.current_ = false;
  }
}

void
RelayPlan::Rotate(std::vector<std::string>& aAddresses) const
{
  if (aAddresses.empty()) {
    return;
  }
  const std::size_t first = std::hash<std::string>{}(self_) % aAddresses.size();
  std::rotate(aAddresses.begin(),
              aAddresses.begin() + static_cast<std::ptrdiff_t>(first),
              aAddresses.end());
}

} // namespace marjoramtally
