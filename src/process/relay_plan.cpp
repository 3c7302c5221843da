#include "marjoramtally/process/relay_plan.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

} // namespace

std::string
WriteLivenessRecord(const LivenessRecord& aRecord)
{
  return Json{
    { "zone", aRecord.zone_.Get() }, { "address", aRecord.address_ }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<LivenessRecord>
ReadLivenessRecord(std::string_view aText)
{
  try {
    const Json value = Json::parse(aText);
    return LivenessRecord{ ZoneId{ value.at("zone").get<std::string>() },
                           value.at("address").get<std::string>() };
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("cannot parse liveness record: ") +
                    failure.what() };
  }
}

RelayPlan::RelayPlan(std::string aSelf, RelayPlanPolicy aPolicy)
  : self_(std::move(aSelf))
  , policy_(aPolicy)
{
}

void
RelayPlan::OnAlive(const std::string& aIncarnation, LivenessRecord aRecord)
{
  alive_[aIncarnation] = std::move(aRecord);
  relays_.clear();
}

void
RelayPlan::OnGone(const std::string& aIncarnation)
{
  alive_.erase(aIncarnation);
  relays_.clear();
}

std::vector<std::string>
RelayPlan::Peers() const
{
  std::vector<std::string> peers;
  for (const auto& [incarnation, record] : alive_) {
    if (incarnation != self_ && !record.address_.empty()) {
      peers.push_back(record.address_);
    }
  }
  return peers;
}

const std::vector<std::string>&
RelayPlan::Relays(const std::string& aPrefix) const
{
  const auto [it, added] = relays_.try_emplace(aPrefix);
  if (added) {
    it->second = Choose(aPrefix);
  }
  return it->second;
}

/// Chooses the first processes by a hash of their names and the prefix, spread
/// over zones. A process that joins or leaves changes few of the relays.
std::vector<std::string>
RelayPlan::Choose(const std::string& aPrefix) const
{
  std::vector<std::pair<std::size_t, const std::string*>> order;
  const std::hash<std::string> hash;
  for (const auto& [incarnation, record] : alive_) {
    if (!record.address_.empty()) {
      order.emplace_back(hash(aPrefix + incarnation), &incarnation);
    }
  }
  if (order.size() < policy_.minPeers_) {
    return {};
  }
  std::sort(order.begin(), order.end());
  const std::size_t wanted = std::max(
    policy_.minRelays_,
    (order.size() + policy_.peersPerRelay_ - 1) / policy_.peersPerRelay_);
  std::vector<std::string> chosen;
  std::set<ZoneId> zones;
  for (const bool sameZone : { false, true }) {
    for (const auto& [number, incarnation] : order) {
      const bool taken =
        std::find(chosen.begin(), chosen.end(), *incarnation) != chosen.end();
      const ZoneId& zone = alive_.at(*incarnation).zone_;
      if (chosen.size() < wanted && !taken &&
          (sameZone || zones.insert(zone).second)) {
        chosen.push_back(*incarnation);
      }
    }
  }
  if (std::find(chosen.begin(), chosen.end(), self_) != chosen.end()) {
    return {};
  }
  // The first relay to try differs by process, to spread the load.
  std::rotate(chosen.begin(),
              chosen.begin() +
                static_cast<std::ptrdiff_t>(hash(self_) % chosen.size()),
              chosen.end());
  std::vector<std::string> relays;
  relays.reserve(chosen.size());
  for (const std::string& incarnation : chosen) {
    relays.push_back(alive_.at(incarnation).address_);
  }
  return relays;
}

} // namespace marjoramtally
