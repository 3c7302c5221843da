#include "daemon/relay_seeds.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr const char* kRelaysKey = "mt/relays";
/// Processes of a fleet that starts become known within this time.
constexpr auto kRecordDelay = std::chrono::seconds(2);

} // namespace

RelaySeeds::RelaySeeds(GatewayContext& aHost, std::string aPrefix)
  : host_(aHost)
  , prefix_(std::move(aPrefix))
  , own_(aHost.Settings().address_ + ":" +
         std::to_string(aHost.Settings().rpcPort_))
{
}

void
RelaySeeds::Read(std::function<void()> aDone)
{
  host_.PlatformStore().Read(
    kRelaysKey,
    [this, done = std::move(aDone)](const Result<StoreRange>& aRange) {
      if (aRange) {
        Apply(aRange.value());
      } else {
        LogEvent(LogLevel::Info,
                 "relays_not_read",
                 { { "error", aRange.error().message_ } });
      }
      done();
    });
}

void
RelaySeeds::Apply(const StoreRange& aRange)
{
  for (const StoreRecord& record : aRange.records_) {
    if (record.key_ != kRelaysKey) {
      continue;
    }
    try {
      recorded_ = ParseJson(record.value_).get<std::vector<std::string>>();
      host_.Relays().SetSeeds(recorded_, own_);
    } catch (const Json::exception& failure) {
      LogEvent(LogLevel::Error,
               "record_unreadable",
               { { "key", record.key_ }, { "error", failure.what() } });
    }
  }
}

void
RelaySeeds::Drop()
{
  host_.Relays().SetSeeds({}, own_);
}

void
RelaySeeds::OnPlanChanged()
{
  if (timer_ == 0) {
    timer_ = host_.Timers().After(kRecordDelay, [this] {
      timer_ = 0;
      Record();
    });
  }
}

void
RelaySeeds::Record()
{
  std::vector<std::string> relays = host_.Relays().RelaysIfFirst(prefix_);
  if (relays.empty() || relays == recorded_) {
    return;
  }
  recorded_ = relays;
  StoreTxn txn;
  txn.puts_.push_back({ kRelaysKey, Json(relays).dump(), 0 });
  host_.PlatformStore().Commit(
    std::move(txn), [this](const Result<StoreCommit>& aEnd) {
      if (!aEnd) {
        LogEvent(LogLevel::Info,
                 "relays_not_recorded",
                 { { "error", aEnd.error().message_ } });
        recorded_.clear();
        OnPlanChanged();
      }
    });
}

} // namespace marjoramtally
