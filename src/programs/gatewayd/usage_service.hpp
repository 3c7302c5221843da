/// Reports usage of customers and demand for instances to the holder of the
/// reporting duty, and queries other gateways on its behalf.
#pragma once

#include "marjoramtally/process/usage_messages.hpp"
#include "programs/gatewayd/job_runner.hpp"

namespace marjoramtally {

/// Used on one loop.
class UsageService
{
public:
  /// All arguments outlive this.
  UsageService(GatewayContext& aHost,
               const Forwarder& aForwarder,
               JobRunner& aRunner);

private:
  /// One query of several gateways.
  struct Round
  {
    std::vector<GatewayUsage> answers_;
    /// Number of gateways that have not answered.
    std::size_t outstanding_ = 0;
    RpcDone done_;
  };

  void Serve(const RpcCall& aCall, const RpcDone& aDone);
  /// @returns usage and demand of this gateway alone
  [[nodiscard]] GatewayUsage OwnUsage(const UsageRequest& aRequest);
  void RequestUsage(const std::string& aAddress,
                    const UsageRequest& aRequest,
                    const std::shared_ptr<Round>& aRound);

  GatewayContext& host_;
  const Forwarder& forwarder_;
  JobRunner& runner_;
};

} // namespace marjoramtally
