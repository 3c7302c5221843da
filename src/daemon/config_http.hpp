/// HTTP routes for operators: read the configuration, change one key.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_service.hpp"

namespace marjoramtally {

/// Serves `GET /config` and `POST /config/edit`; the latter takes
/// `{"file": …, "set": "SECTION.KEY=VALUE"}`. Thread-safe.
class ConfigHttp
{
public:
  /// All arguments outlive the object.
  ConfigHttp(ConfigService& aConfig,
             Cluster& aCluster,
             Store& aStore,
             Timers& aTimers);

  /// Answers the request if its path is one of these routes.
  /// @returns whether it was
  bool TryServe(const HttpRequest& aRequest, const HttpReplyPtr& aReply);

private:
  void ServeContent(const HttpRequest& aRequest, const HttpReplyPtr& aReply);
  void ServeEdit(const HttpRequest& aRequest, const HttpReplyPtr& aReply);

  ConfigService& config_;
  Cluster& cluster_;
  Store& store_;
  Timers& timers_;
};

} // namespace marjoramtally
