/// Messages between the holder of the reporting duty and gateways.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/process/usage_meter.hpp"

namespace marjoramtally {

/// Requests the counts of a gateway.
struct UsageRequest
{
  TrueTime now_;
  Duration window_{ 0 };
  /// Addresses of gateways that the receiver queries as well. This bounds the
  /// number of calls that the holder makes, whatever the number of gateways.
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
