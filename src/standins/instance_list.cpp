/// Stand-in of the platform's list of live and leaving instances. A posted
/// change becomes visible only after a configured lag.

#include "standins/standin.hpp"

namespace marjoramtally::standin {

namespace {

/// A posted change that is not yet visible.
struct ListChange
{
  TimePoint visibleFrom_;
  Json instance_;
};

class InstanceList
{
public:
  explicit InstanceList(Duration aLag)
    : lag_(aLag)
  {
  }

  HttpResponse Post(const std::string& aBody)
  {
    const Json instance = Json::parse(aBody, nullptr, false);
    if (!instance.is_object() || !instance.contains("id")) {
      return ErrorResponse(400, "bad_input", "an object with an id is needed");
    }
    const std::lock_guard lock(mutex_);
    changes_.push_back({ clock_.Now() + lag_, instance });
    return JsonResponse(200, "{}");
  }

  HttpResponse Get()
  {
    const std::lock_guard lock(mutex_);
    while (!changes_.empty() && changes_.front().visibleFrom_ <= clock_.Now()) {
      const Json& instance = changes_.front().instance_;
      const auto id = instance.at("id").get<std::string>();
      if (instance.value("gone", false)) {
        visible_.erase(id);
      } else {
        visible_[id] = instance;
      }
      changes_.pop_front();
    }
    Json list = Json::array();
    for (const auto& [id, instance] : visible_) {
      list.push_back(instance);
    }
    return JsonResponse(200, Json{ { "instances", list } }.dump());
  }

private:
  Duration lag_;
  SystemClock clock_;
  std::mutex mutex_;
  std::deque<ListChange> changes_;
  std::map<std::string, Json> visible_;
};

} // namespace

int
RunInstanceList(const Options& aOptions)
{
  InstanceList list(std::chrono::milliseconds(aOptions.lagMillis_));
  return ServeUntilStopped(
    aOptions, [&list](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      if (aRequest.path_ != "/instances") {
        aReply->Send(ErrorResponse(404, "not_found", aRequest.path_));
      } else if (aRequest.method_ == "POST") {
        aReply->Send(list.Post(aRequest.body_));
      } else {
        aReply->Send(list.Get());
      }
    });
}

} // namespace marjoramtally::standin
