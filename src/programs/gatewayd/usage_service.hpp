/// Tells the holder of the duty of reports what customers used here and which
/// places are wanted, and asks other gateways on its behalf.
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
  /// Answers that come from several gateways.
  struct Round
  {
    std::vector<GatewayUsage> answers_;
    std::size_t outstanding_ = 0;
    RpcDone done_;
  };

  void Serve(const RpcCall& aCall, const RpcDone& aDone);
  [[nodiscard]] GatewayUsage OwnUsage(const UsageRequest& aRequest);
  void RequestUsage(const std::string& aAddress,
                    const UsageRequest& aRequest,
                    const std::shared_ptr<Round>& aRound);

  GatewayContext& host_;
  const Forwarder& forwarder_;
  JobRunner& runner_;
};

} // namespace marjoramtally
