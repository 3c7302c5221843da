#include "programs/controld/order_service.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

constexpr auto kPeriod = std::chrono::milliseconds(100);
constexpr auto kOrderTimeout = std::chrono::seconds(30);

} // namespace

OrderService::OrderService(Host& aHost, Owners& aOwners) noexcept
  : host_(aHost)
  , owners_(aOwners)
{
}

void
OrderService::Start()
{
  host_.Clockwork().Every(kPeriod, [this] { Reconcile(); });
}

bool
OrderService::Begin(const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mutex_);
  return busy_.insert(aUpstream).second;
}

void
OrderService::End(const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mutex_);
  busy_.erase(aUpstream);
}

void
OrderService::Reconcile()
{
  const auto view = host_.Members().View();
  for (const auto& [id, upstream] : view->rules_->upstreams_) {
    const auto service =
      view->rules_->services_.find(ServiceId{ upstream.service_ });
    if (service->second.kind_ != "engine" || upstream.leaving_ || !Begin(id)) {
      continue;
    }
    owners_.Acquire(
      "upstream/" + id.Get(),
      [this, rule = upstream](const Result<Ownership>& aOwnership) {
        if (aOwnership && aOwnership.value().mine_) {
          Check(rule, aOwnership.value().term_);
        } else {
          End(rule.id_);
        }
      });
  }
}

void
OrderService::Check(const UpstreamRule& aUpstream, FencingNumber aTerm)
{
  HttpCall call;
  call.url_ = "http://" + aUpstream.address_ + "/load";
  call.timeout_ = std::chrono::seconds(1);
  host_.Http().Send(std::move(call),
                    [this, aUpstream, aTerm](const HttpResult& aResult) {
                      if (aResult.end_ == HttpEnd::Whole) {
                        Compare(aUpstream, aTerm, aResult.response_.body_);
                      } else {
                        End(aUpstream.id_);
                      }
                    });
}

void
OrderService::Compare(const UpstreamRule& aUpstream,
                      FencingNumber aTerm,
                      const std::string& aState)
{
  const auto state = nlohmann::json::parse(aState, nullptr, false);
  const auto view = host_.Members().View();
  for (const auto& [id, trainer] : view->rules_->trainers_) {
    if (trainer.service_ != aUpstream.service_ || !state.is_object()) {
      continue;
    }
    const auto wanted = view->versions_.find(trainer.model_);
    const auto has = state["models"].value(trainer.model_, std::uint64_t{ 0 });
    if (wanted != view->versions_.end() && wanted->second.Get() > has) {
      Order(aUpstream, aTerm, trainer.model_, wanted->second);
      return;
    }
  }
  End(aUpstream.id_);
}

void
OrderService::Order(const UpstreamRule& aUpstream,
                    FencingNumber aTerm,
                    const std::string& aModel,
                    WeightVersion aVersion)
{
  const nlohmann::json body{ { "fencing", aTerm.Get() },
                             { "model", aModel },
                             { "version", aVersion.Get() } };
  HttpCall call;
  call.method_ = "POST";
  call.url_ = "http://" + aUpstream.address_ + "/orders";
  call.body_ = body.dump();
  call.timeout_ = kOrderTimeout;
  host_.Http().Send(
    std::move(call),
    [this, aUpstream, aModel, aVersion](const HttpResult& aResult) {
      const bool ok =
        aResult.end_ == HttpEnd::Whole && aResult.response_.status_ == 200;
      LogEvent(ok ? LogLevel::Info : LogLevel::Warn,
               ok ? "order_done" : "order_failed",
               { { "upstream", aUpstream.id_.Get() },
                 { "model", aModel },
                 { "version", std::to_string(aVersion.Get()) },
                 { "detail", aResult.message_ + aResult.response_.body_ } });
      End(aUpstream.id_);
    });
}

} // namespace marjoramtally
