#include "marjoramtally/process/usage_messages.hpp"

#include "connection/wire.hpp"
#include "wire/usage.capnp.h"

namespace marjoramtally {

namespace {

void
Write(wire::GatewayUsage::Builder aOut, const GatewayUsage& aUsage)
{
  aOut.setIncarnation(aUsage.incarnation_);
  aOut.setAheadMicros(aUsage.clockAhead_.count());
  auto windows =
    aOut.initWindows(static_cast<std::uint32_t>(aUsage.counts_.size()));
  std::uint32_t at = 0;
  for (const auto& [number, customers] : aUsage.counts_) {
    auto window = windows[at++];
    window.setWindow(number);
    auto counts =
      window.initCounts(static_cast<std::uint32_t>(customers.size()));
    std::uint32_t place = 0;
    for (const auto& [customer, count] : customers) {
      counts[place].setCustomer(customer.Get());
      counts[place++].setCount(count);
    }
  }
  auto demand =
    aOut.initDemand(static_cast<std::uint32_t>(aUsage.demand_.size()));
  at = 0;
  for (const auto& [service, places] : aUsage.demand_) {
    demand[at].setService(service.Get());
    demand[at++].setPlaces(places);
  }
  auto models =
    aOut.initModels(static_cast<std::uint32_t>(aUsage.modelDemand_.size()));
  at = 0;
  for (const auto& [model, places] : aUsage.modelDemand_) {
    models[at].setModel(model);
    models[at++].setPlaces(places);
  }
  auto runs =
    aOut.initRuns(static_cast<std::uint32_t>(aUsage.longRuns_.size()));
  at = 0;
  for (const auto& [upstream, count] : aUsage.longRuns_) {
    runs[at].setUpstream(upstream.Get());
    runs[at++].setRuns(count);
  }
}

GatewayUsage
Read(wire::GatewayUsage::Reader aIn)
{
  GatewayUsage usage;
  usage.incarnation_ = aIn.getIncarnation().cStr();
  usage.clockAhead_ = Duration{ aIn.getAheadMicros() };
  for (const auto window : aIn.getWindows()) {
    CustomerCounts& counts = usage.counts_[window.getWindow()];
    for (const auto entry : window.getCounts()) {
      counts[CustomerId{ entry.getCustomer().cStr() }] = entry.getCount();
    }
  }
  for (const auto entry : aIn.getDemand()) {
    usage.demand_[ServiceId{ entry.getService().cStr() }] = entry.getPlaces();
  }
  for (const auto entry : aIn.getModels()) {
    usage.modelDemand_[entry.getModel().cStr()] = entry.getPlaces();
  }
  for (const auto entry : aIn.getRuns()) {
    usage.longRuns_[UpstreamId{ entry.getUpstream().cStr() }] = entry.getRuns();
  }
  return usage;
}

} // namespace

std::string
EncodeUsageRequest(const UsageRequest& aRequest)
{
  capnp::MallocMessageBuilder builder;
  auto request = builder.initRoot<wire::UsageAsk>();
  request.setTrueMicros(aRequest.now_.sinceEpoch_.count());
  request.setWindowMicros(aRequest.window_.count());
  auto others =
    request.initOthers(static_cast<std::uint32_t>(aRequest.others_.size()));
  for (std::uint32_t i = 0; i < others.size(); ++i) {
    others.set(i, aRequest.others_[i]);
  }
  return impl::Flatten(builder);
}

Result<UsageRequest>
DecodeUsageRequest(std::string_view aBytes)
{
  return impl::ReadMessage<wire::UsageAsk, UsageRequest>(
    aBytes, [](wire::UsageAsk::Reader aIn) -> Result<UsageRequest> {
      UsageRequest request{ { Duration{ aIn.getTrueMicros() } },
                            Duration{ aIn.getWindowMicros() },
                            {} };
      if (request.window_ <= Duration{ 0 } ||
          request.now_.sinceEpoch_ < Duration{ 0 }) {
        return Error{ ErrorKind::BadInput, "no window or no time" };
      }
      for (const auto other : aIn.getOthers()) {
        request.others_.emplace_back(other.cStr());
      }
      return request;
    });
}

std::string
EncodeUsageReply(const std::vector<GatewayUsage>& aGateways)
{
  capnp::MallocMessageBuilder builder;
  auto gateways = builder.initRoot<wire::UsageAnswer>().initGateways(
    static_cast<std::uint32_t>(aGateways.size()));
  for (std::uint32_t i = 0; i < gateways.size(); ++i) {
    Write(gateways[i], aGateways[i]);
  }
  return impl::Flatten(builder);
}

Result<std::vector<GatewayUsage>>
DecodeUsageReply(std::string_view aBytes)
{
  return impl::ReadMessage<wire::UsageAnswer, std::vector<GatewayUsage>>(
    aBytes,
    [](wire::UsageAnswer::Reader aIn) -> Result<std::vector<GatewayUsage>> {
      std::vector<GatewayUsage> gateways;
      for (const auto gateway : aIn.getGateways()) {
        gateways.push_back(Read(gateway));
      }
      return gateways;
    });
}

} // namespace marjoramtally
