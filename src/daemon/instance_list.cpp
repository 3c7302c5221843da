#include "daemon/instance_list.hpp"

#include "marjoramtally/base/json.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr auto kReadPeriod = std::chrono::seconds(5);

void
AppendEntry(const Json& aEntry, std::vector<PlatformInstance>& aList)
{
  PlatformInstance instance;
  instance.id_ = InstanceId{ aEntry.value("id", "") };
  instance.rpc_ = aEntry.value("rpc", "");
  instance.leaving_ = aEntry.value("leaving", false);
  instance.leavingSince_ =
    Incarnation{ aEntry.value("since_ms", std::uint64_t{ 0 }) };
  if (!instance.id_.Get().empty() && !instance.rpc_.empty()) {
    aList.push_back(std::move(instance));
  }
}

} // namespace

Result<std::vector<PlatformInstance>>
ParseInstanceList(const std::string& aText)
{
  const Json body = ParseJsonOrDiscarded(aText);
  if (!body.is_object() || !body.contains("instances")) {
    return Error{ ErrorKind::BadInput,
                  "instance list has no 'instances' field" };
  }
  std::vector<PlatformInstance> list;
  try {
    for (const Json& entry : body.at("instances")) {
      AppendEntry(entry, list);
    }
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("unreadable entry in the instance list: ") +
                    failure.what() };
  }
  return list;
}

InstanceListReader::InstanceListReader(const DaemonSettings& aSettings,
                                       HttpClient& aClient,
                                       Timers& aTimers,
                                       GossipService& aGossip)
  : settings_(aSettings)
  , client_(aClient)
  , timers_(aTimers)
  , gossip_(aGossip)
{
}

void
InstanceListReader::Start()
{
  if (settings_.instanceList_.empty()) {
    return;
  }
  Read();
  timers_.Every(kReadPeriod, [this] {
    if (gossip_.IsBridge()) {
      Read();
    }
  });
}

void
InstanceListReader::Read()
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ = settings_.instanceList_;
  call.timeout_ = settings_.storeTimeout_;
  call.connectTimeout_ = settings_.storeTimeout_;
  client_.Send(std::move(call), [this](const HttpResult& aResult) {
    const bool complete =
      aResult.end_ == HttpEnd::Complete && aResult.response_.status_ == 200;
    const auto list = complete ? ParseInstanceList(aResult.response_.body_)
                               : Result<std::vector<PlatformInstance>>(Error{
                                   ErrorKind::Unavailable, aResult.message_ });
    if (!list) {
      LogEvent(LogLevel::Warn,
               "instance_list_failed",
               { { "error", list.error().message_ } });
      return;
    }
    gossip_.TakePlatformList(list.value());
  });
}

} // namespace marjoramtally
