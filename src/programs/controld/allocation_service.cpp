#include "programs/controld/allocation_service.hpp"

#include "marjoramtally/base/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace marjoramtally {

namespace {

constexpr auto kRoundPeriod = std::chrono::seconds(1);
/// Bounds the load reads of one round, independent of the number of engines.
constexpr std::size_t kMaxSampledEngines = 20;

std::vector<UpstreamId>
EnginesOf(const ClusterView& aView, const ServiceRule& aRule)
{
  std::vector<UpstreamId> engines;
  for (const auto& [id, upstream] : aView.rules_->upstreams_) {
    if (upstream.service_ == aRule.id_.Get() && !upstream.leaving_) {
      engines.push_back(id);
    }
  }
  return engines;
}

std::vector<EngineUserRule>
UsersOf(const ClusterView& aView, const ServiceRule& aRule)
{
  std::vector<EngineUserRule> users;
  users.push_back({ EngineUserId{ std::string(kLiveRole) },
                    aRule.liveFloor_,
                    aRule.liveCeiling_,
                    1,
                    true });
  for (const auto& [id, trainer] : aView.rules_->trainers_) {
    if (trainer.service_ == aRule.id_.Get()) {
      users.push_back({ EngineUserId{ id.Get() },
                        trainer.enginesFloor_,
                        trainer.enginesCeiling_,
                        trainer.weight_,
                        false });
    }
  }
  return users;
}

} // namespace

AllocationService::AllocationService(Host& aHost, Owners& aOwners)
  : host_(aHost)
  , owners_(aOwners)
  , sender_(aHost)
  , random_(std::hash<std::string>{}(aHost.Settings().instance_))
{
}

void
AllocationService::Start()
{
  host_.TimerQueue().Every(kRoundPeriod, [this] { Tick(); });
}

void
AllocationService::Tick()
{
  const auto view = host_.ClusterState().View();
  for (const auto& [id, rule] : view->rules_->services_) {
    if (!rule.allocate_) {
      continue;
    }
    owners_.Acquire(
      "allocation/" + id.Get(),
      [this, view, service = rule](const Result<Ownership>& aOwned) {
        if (aOwned && aOwned.value().mine_) {
          RunService(view, service, aOwned.value().term_);
        } else {
          const std::lock_guard lock(mutex_);
          pools_.erase(service.id_);
        }
      });
  }
}

void
AllocationService::RunService(const ClusterViewPtr& aView,
                              const ServiceRule& aRule,
                              FencingNumber aTerm)
{
  {
    const std::lock_guard lock(mutex_);
    Pool& pool = pools_[aRule.id_];
    pool.allocation_.SetUsers(UsersOf(*aView, aRule));
    pool.allocation_.SetEngines(EnginesOf(*aView, aRule));
    if (pool.term_ != aTerm) {
      pool.term_ = aTerm;
      pool.adopted_ = false;
      pool.reading_ = false;
    }
    if (pool.adopted_) {
      RunRound(*aView, aRule, pool);
      return;
    }
    if (std::exchange(pool.reading_, true)) {
      return;
    }
  }
  ReadRoles(aView, aRule, aTerm);
}

/// Reads the store instead of the view: the view may be older than this
/// ownership, or empty, and allocated engines would then count as unallocated.
void
AllocationService::ReadRoles(const ClusterViewPtr& aView,
                             const ServiceRule& aRule,
                             FencingNumber aTerm)
{
  const std::string key = std::string(kRolePrefix) + aRule.id_.Get();
  host_.PlatformStore().Read(
    key, [this, aView, aRule, aTerm, key](const Result<StoreRange>& aRoles) {
      const std::lock_guard lock(mutex_);
      const auto it = pools_.find(aRule.id_);
      if (it == pools_.end() || it->second.term_ != aTerm) {
        return;
      }
      Pool& pool = it->second;
      pool.reading_ = false;
      if (!aRoles) {
        // The next round repeats the read.
        LogEvent(LogLevel::Warn,
                 "roles_not_read",
                 { { "service", aRule.id_.Get() },
                   { "error", aRoles.error().message_ } });
        return;
      }
      AdoptRoles(aRoles.value(), key, pool);
      pool.adopted_ = true;
      RunRound(*aView, aRule, pool);
    });
}

void
AllocationService::RunRound(const ClusterView& aView,
                            const ServiceRule& aRule,
                            Pool& aPool)
{
  ApplyDemand(aPool);
  for (const EngineMove& move : aPool.allocation_.Decide(host_.Now())) {
    LogEvent(LogLevel::Info,
             "engine_moved",
             { { "upstream", move.engine_.Get() },
               { "from", move.from_.Get() },
               { "to", move.to_.Get() },
               { "urgent", move.urgent_ ? "yes" : "no" } });
    host_.Measures().Count("engine_moves{urgent=\"" +
                           std::string(move.urgent_ ? "yes" : "no") + "\"}");
  }
  PublishRoles(aRule.id_, aPool);
  SampleLoads(aView, aRule);
}

void
AllocationService::AdoptRoles(const StoreRange& aRoles,
                              const std::string& aKey,
                              Pool& aPool)
{
  for (const StoreRecord& record : aRoles.records_) {
    if (record.key_ != aKey) {
      continue;
    }
    const auto roles = ParseJsonOrDiscarded(record.value_);
    if (!roles.is_object()) {
      // Only owners write this record, so retrying the read would not help.
      LogEvent(LogLevel::Error, "store_record_unreadable", { { "key", aKey } });
      continue;
    }
    for (const auto& [engine, user] : roles.items()) {
      if (user.is_string()) {
        aPool.allocation_.Adopt(UpstreamId{ engine },
                                EngineUserId{ user.get<std::string>() });
      }
    }
  }
}

void
AllocationService::ApplyDemand(Pool& aPool)
{
  for (const auto& [user, load] : aPool.sampledLoads_) {
    const auto held = static_cast<double>(aPool.allocation_.Held(user));
    aPool.allocation_.OnDemand(
      user, held * load.first / static_cast<double>(load.second), host_.Now());
  }
  aPool.sampledLoads_.clear();
}

void
AllocationService::SampleLoads(const ClusterView& aView,
                               const ServiceRule& aRule)
{
  std::vector<UpstreamId> engines = EnginesOf(aView, aRule);
  const std::size_t count = std::min(kMaxSampledEngines, engines.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(engines[i], engines[i + random_.Below(engines.size() - i)]);
    sender_.Read(
      engines[i],
      [this,
       service = aRule.id_,
       limit = aRule.upstreamLimit_,
       id = engines[i]](const std::optional<UpstreamState>& aState) {
        const std::lock_guard lock(mutex_);
        const auto pool = pools_.find(service);
        if (!aState || pool == pools_.end()) {
          return;
        }
        auto& load =
          pool->second.sampledLoads_[pool->second.allocation_.UserOf(id)];
        load.first += static_cast<double>(aState->running_ + aState->queued_) /
                      static_cast<double>(limit);
        ++load.second;
      });
  }
}

void
AllocationService::PublishRoles(const ServiceId& aService, Pool& aPool)
{
  nlohmann::json roles = nlohmann::json::object();
  for (const auto& [engine, user] : aPool.allocation_.Assigned()) {
    roles[engine.Get()] = user.Get();
  }
  const std::string text = roles.dump();
  if (aPool.writing_ || text == aPool.publishedRoles_) {
    return;
  }
  aPool.writing_ = true;
  StoreTxn txn;
  // Commits only while this instance's owner record is current.
  txn.compares_.push_back(
    { std::string(kOwnerPrefix) + "allocation/" + aService.Get(),
      aPool.term_.Get() });
  txn.puts_.push_back({ std::string(kRolePrefix) + aService.Get(), text, 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this, aService, text](const Result<StoreCommit>& aCommit) {
      const std::lock_guard lock(mutex_);
      const auto pool = pools_.find(aService);
      if (pool == pools_.end()) {
        return;
      }
      pool->second.writing_ = false;
      if (aCommit && aCommit.value().applied_) {
        pool->second.publishedRoles_ = text;
      }
    });
}

} // namespace marjoramtally
