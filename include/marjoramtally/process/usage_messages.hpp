/// Messages between the holder of the duty of reports and gateways.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/usage_meter.hpp"

namespace marjoramtally {

/// Asks a gateway for its counts.
struct UsageRequest
{
  TrueTime now_;
  Duration window_{ 0 };
  /// Addresses of gateways that the asked one is to ask as well, so that the
  /// holder makes few calls however many gateways there are.
  std::vector<std::string> others_;
};

[[nodiscard]] std::string
EncodeUsageRequest(const UsageRequest& aRequest);
[[nodiscard]] Result<UsageRequest>
DecodeUsageRequest(std::string_view aBytes);
[[nodiscard]] std::string
EncodeUsageReply(const std::vector<GatewayUsage>& aGateways);
[[nodiscard]] Result<std::vector<GatewayUsage>>
DecodeUsageReply(std::string_view aBytes);

} // namespace marjoramtally
