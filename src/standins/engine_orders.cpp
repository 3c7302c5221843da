#include "standins/engine_orders.hpp"

namespace marjoramtally::standin {

namespace {

constexpr auto kLoadTime = std::chrono::milliseconds(30);
constexpr auto kSwitchTime = std::chrono::milliseconds(5);
/// Interval at which a draining engine checks whether it is idle.
constexpr auto kDrainPollInterval = std::chrono::milliseconds(5);
/// `Options::swapFailures_` is a share in thousandths.
constexpr std::uint64_t kSwapFailureScale = 1000;

} // namespace

EngineOrders::EngineOrders(const Options& aOptions, Recorder& aRecorder)
  : options_(aOptions)
  , recorder_(aRecorder)
  , random_(std::hash<std::string>{}(aOptions.name_) + 1)
  , client_(HttpClient::Create(1))
{
}

bool
EngineOrders::BeginGeneration(const std::string& aModel)
{
  const std::lock_guard lock(mutex_);
  const auto model = models_.find(aModel);
  if (model == models_.end() || model->second.swaps_.empty() ||
      model->second.draining_) {
    return false;
  }
  ++model->second.running_;
  return true;
}

void
EngineOrders::EndGeneration(const std::string& aModel)
{
  const std::lock_guard lock(mutex_);
  --models_[aModel].running_;
}

Json
EngineOrders::Spans(const std::string& aModel,
                    std::uint64_t aTokens,
                    TimePoint aStart)
{
  const std::lock_guard lock(mutex_);
  const std::vector<Swap>& swaps = models_[aModel].swaps_;
  Json spans = Json::array();
  const Duration perToken{ options_.tokenMicros_ };
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    const TimePoint at = aStart + perToken * i;
    std::uint64_t version = swaps.front().version_;
    for (const Swap& swap : swaps) {
      version = swap.at_ <= at ? swap.version_ : version;
    }
    if (spans.empty() || spans.back()["version"] != version) {
      spans.push_back({ { "version", version }, { "from", i } });
    }
    spans.back()["to"] = i + 1;
  }
  return spans;
}

void
EngineOrders::Describe(Json& aLoad)
{
  const std::lock_guard lock(mutex_);
  Json served = Json::object();
  Json loaded = Json::object();
  for (const auto& [name, model] : models_) {
    if (!model.swaps_.empty()) {
      served[name] = model.swaps_.back().version_;
    }
    if (model.loaded_ != 0) {
      loaded[name] = model.loaded_;
    }
  }
  aLoad["models"] = served;
  aLoad["loaded"] = loaded;
  aLoad["role"] = role_;
}

bool
EngineOrders::IsFencedOut(std::uint64_t aFencing)
{
  const std::lock_guard lock(mutex_);
  if (!options_.ignoreFencing_ && aFencing < fencing_) {
    return true;
  }
  fencing_ = std::max(fencing_, aFencing);
  return false;
}

bool
EngineOrders::ShouldFailSwap()
{
  const std::lock_guard lock(mutex_);
  return random_.Below(kSwapFailureScale) < options_.swapFailures_;
}

void
EngineOrders::Handle(const Json& aBody, const HttpReplyPtr& aReply)
{
  const auto fencing = aBody.value("fencing", std::uint64_t{ 0 });
  if (IsFencedOut(fencing)) {
    aReply->Send(ErrorResponse(409, "conflict", "an old fencing number"));
    return;
  }
  const std::string kind = aBody.value("kind", "switch");
  if (kind == "role") {
    const std::lock_guard lock(mutex_);
    role_ = aBody.value("role", "");
    aReply->Send(JsonResponse(200, R"({"done":true})"));
    return;
  }
  if (kind != "switch" && kind != "prefetch") {
    aReply->Send(ErrorResponse(400, "bad_input", "unknown kind of order"));
    return;
  }
  Order order;
  order.model_ = aBody.value("model", "");
  order.version_ = aBody.value("version", std::uint64_t{ 0 });
  order.switch_ = kind == "switch";
  order.fencing_ = fencing;
  const std::chrono::milliseconds drain(
    aBody.value("drain_ms", std::uint64_t{ 0 }));
  order.drainUntil_ = clock_.Now() + drain;
  bool loaded = false;
  {
    const std::lock_guard lock(mutex_);
    loaded = models_[order.model_].loaded_ == order.version_;
  }
  if (!loaded) {
    Load(order, aReply);
  } else if (order.switch_) {
    Switch(order, aReply);
  } else {
    aReply->Send(JsonResponse(200, R"({"done":true})"));
  }
}

void
EngineOrders::Load(const Order& aOrder, const HttpReplyPtr& aReply)
{
  HttpCall call;
  call.url_ = "http://" + options_.weightStore_ + "/weights/" + aOrder.model_ +
              "/" + std::to_string(aOrder.version_);
  client_->Send(std::move(call),
                [this, aOrder, aReply](const HttpResult& aResult) {
                  FinishLoad(aOrder, aResult, aReply);
                });
}

void
EngineOrders::FinishLoad(const Order& aOrder,
                         const HttpResult& aResult,
                         const HttpReplyPtr& aReply)
{
  if (aResult.end_ != HttpEnd::Complete || aResult.response_.status_ != 200) {
    aReply->Send(ErrorResponse(503, "load_failed", aResult.response_.body_));
    return;
  }
  if (ShouldFailSwap()) {
    aReply->Send(ErrorResponse(500, "swap_failed", "the load failed"));
    return;
  }
  timers_.After(kLoadTime, [this, aOrder, aReply] {
    {
      const std::lock_guard lock(mutex_);
      models_[aOrder.model_].loaded_ = aOrder.version_;
    }
    if (aOrder.switch_) {
      Switch(aOrder, aReply);
    } else {
      aReply->Send(JsonResponse(200, R"({"done":true})"));
    }
  });
}

void
EngineOrders::Switch(const Order& aOrder, const HttpReplyPtr& aReply)
{
  {
    const std::lock_guard lock(mutex_);
    Model& model = models_[aOrder.model_];
    const bool wait = model.running_ > 0 && clock_.Now() < aOrder.drainUntil_;
    model.draining_ = wait;
    if (wait) {
      timers_.After(kDrainPollInterval,
                    [this, aOrder, aReply] { Switch(aOrder, aReply); });
      return;
    }
  }
  timers_.After(kSwitchTime,
                [this, aOrder, aReply] { FinishSwitch(aOrder, aReply); });
}

void
EngineOrders::FinishSwitch(const Order& aOrder, const HttpReplyPtr& aReply)
{
  const bool superseded = IsFencedOut(aOrder.fencing_);
  {
    const std::lock_guard lock(mutex_);
    Model& model = models_[aOrder.model_];
    model.draining_ = false;
    if (!superseded) {
      model.swaps_.push_back({ clock_.Now(), aOrder.version_ });
    }
  }
  if (superseded) {
    aReply->Send(ErrorResponse(409, "conflict", "superseded by an order"));
    return;
  }
  recorder_.Write({ { "kind", "swap" },
                    { "engine", options_.name_ },
                    { "model", aOrder.model_ },
                    { "version", aOrder.version_ } });
  aReply->Send(JsonResponse(200, R"({"done":true})"));
}

} // namespace marjoramtally::standin
