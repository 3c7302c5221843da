/// What an instance says of itself to operators: JSON and a small page.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_service.hpp"

namespace marjoramtally {

/// Everything that the page shows.
struct InstanceStatus
{
  InstanceRecord self_;
  ClusterViewPtr view_;
  ConfigStatus config_;
  bool ready_ = false;
  /// Why it is not ready; empty if it is.
  std::string notReady_;
};

/// @returns the status for programs
[[nodiscard]] std::string
RenderStatusJson(const InstanceStatus& aStatus);

/// @returns a page that reads well on a phone's screen
[[nodiscard]] std::string
RenderStatusPage(const InstanceStatus& aStatus);

} // namespace marjoramtally
