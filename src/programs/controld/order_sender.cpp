#include "programs/controld/order_sender.hpp"

#include "marjoramtally/base/json.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr auto kReadTimeout = std::chrono::seconds(1);
/// Timeout for the response to an order, in addition to its drain time.
constexpr auto kOrderTimeout = std::chrono::seconds(30);
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr std::string_view kLoadFailed = "load_failed";

ModelVersions
ParseVersions(const Json& aBody, const char* aKey)
{
  ModelVersions versions;
  const auto found = aBody.find(aKey);
  if (found == aBody.end() || !found->is_object()) {
    return versions;
  }
  for (const auto& [model, version] : found->items()) {
    if (version.is_number_unsigned()) {
      versions[model] = WeightVersion{ version.get<std::uint64_t>() };
    }
  }
  return versions;
}

std::uint64_t
ParseCount(const Json& aBody, const char* aKey)
{
  const auto found = aBody.find(aKey);
  return found != aBody.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : 0;
}

std::optional<UpstreamState>
ParseState(const std::string& aText)
{
  const Json body = ParseJsonOrDiscarded(aText);
  if (!body.is_object()) {
    return std::nullopt;
  }
  UpstreamState state;
  state.served_ = ParseVersions(body, "models");
  state.loaded_ = ParseVersions(body, "loaded");
  state.running_ = ParseCount(body, "running");
  state.queued_ = ParseCount(body, "queued");
  const auto role = body.find("role");
  if (role != body.end() && role->is_string()) {
    state.role_ = role->get<std::string>();
  }
  return state;
}

std::string
FormatOrder(const SendOrder& aOrder)
{
  const auto drain =
    std::chrono::duration_cast<std::chrono::milliseconds>(aOrder.drain_);
  Json body{ { "fencing", aOrder.term_.Get() },
             { "kind", ToString(aOrder.kind_) } };
  if (aOrder.kind_ == OrderKind::Role) {
    body["role"] = aOrder.role_;
  } else {
    body["model"] = aOrder.model_;
    body["version"] = aOrder.version_.Get();
    body["drain_ms"] = drain.count();
  }
  return body.dump();
}

OrderEnd
ClassifyResponse(const HttpResponse& aResponse)
{
  if (aResponse.status_ == kOk) {
    return OrderEnd::Done;
  }
  if (aResponse.status_ == kConflict) {
    return OrderEnd::Refused;
  }
  const bool storeBusy = aResponse.body_.find(kLoadFailed) != std::string::npos;
  return storeBusy ? OrderEnd::StoreBusy : OrderEnd::Failed;
}

OrderEnd
Classify(const HttpResult& aResult)
{
  switch (aResult.end_) {
    case HttpEnd::Complete:
      return ClassifyResponse(aResult.response_);
    case HttpEnd::NotSent:
      return OrderEnd::NotSent;
    default:
      return OrderEnd::Unknown;
  }
}

void
LogOutcome(const SendOrder& aOrder, OrderEnd aEnd, const std::string& aDetail)
{
  const bool done = aEnd == OrderEnd::Done;
  LogEvent(done ? LogLevel::Info : LogLevel::Warn,
           done ? "order_done" : "order_failed",
           { { "upstream", aOrder.upstream_.Get() },
             { "kind", std::string(ToString(aOrder.kind_)) },
             { "model", aOrder.model_ },
             { "version", std::to_string(aOrder.version_.Get()) },
             { "term", std::to_string(aOrder.term_.Get()) },
             { "detail", aDetail } });
}

} // namespace

std::string
OrderSender::AddressOf(const UpstreamId& aUpstream)
{
  const auto rules = host_.ClusterState().View()->rules_;
  const auto found = rules->upstreams_.find(aUpstream);
  return found == rules->upstreams_.end() ? std::string{}
                                          : found->second.address_;
}

void
OrderSender::Read(const UpstreamId& aUpstream,
                  std::function<void(std::optional<UpstreamState>)> aDone)
{
  HttpCall call;
  call.url_ = "http://" + AddressOf(aUpstream) + "/load";
  call.timeout_ = kReadTimeout;
  host_.Http().Send(
    std::move(call), [done = std::move(aDone)](const HttpResult& aResult) {
      const bool ok =
        aResult.end_ == HttpEnd::Complete && aResult.response_.status_ == kOk;
      done(ok ? ParseState(aResult.response_.body_) : std::nullopt);
    });
}

void
OrderSender::Send(const SendOrder& aOrder, std::function<void(OrderEnd)> aDone)
{
  HttpCall call;
  call.method_ = "POST";
  call.url_ = "http://" + AddressOf(aOrder.upstream_) + "/orders";
  call.body_ = FormatOrder(aOrder);
  call.timeout_ = kOrderTimeout + aOrder.drain_;
  // The client must not retry an order: it might be executed twice.
  call.atMostOnce_ = true;
  if (host_.Now() > aOrder.sendBy_) {
    LogOutcome(aOrder,
               OrderEnd::NotSent,
               "the lease expires too soon to send the order");
    aDone(OrderEnd::NotSent);
    return;
  }
  host_.Http().Send(
    std::move(call),
    [aOrder, done = std::move(aDone)](const HttpResult& aResult) {
      const OrderEnd end = Classify(aResult);
      LogOutcome(aOrder, end, aResult.message_ + aResult.response_.body_);
      done(end);
    });
}

} // namespace marjoramtally
