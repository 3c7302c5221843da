/// Status of an instance for operators, as JSON and as an HTML page.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_service.hpp"

namespace marjoramtally {

/// Data shown on the status page.
struct InstanceStatus
{
  InstanceRecord self_;
  ClusterViewPtr view_;
  ConfigStatus config_;
  bool ready_ = false;
  /// Why the instance is not ready; empty if it is.
  std::string notReady_;
};

/// @returns the status as JSON
[[nodiscard]] std::string
RenderStatusJson(const InstanceStatus& aStatus);

/// @returns an HTML page that is readable on a phone
[[nodiscard]] std::string
RenderStatusPage(const InstanceStatus& aStatus);

} // namespace marjoramtally
