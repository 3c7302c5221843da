#include "programs/gatewayd/forwarder.hpp"

namespace marjoramtally {

void
CountCutResponse(const GatewayContext& aHost, const HttpResult& aResult)
{
  const bool closed =
    aResult.end_ == HttpEnd::Broken || aResult.end_ == HttpEnd::Complete;
  if (closed && !aResult.headReceived_) {
    aHost.Measures().Count("upstream_responses_cut_total{part=\"head\"}");
  } else if (aResult.end_ == HttpEnd::Broken) {
    aHost.Measures().Count("upstream_responses_cut_total{part=\"body\"}");
  }
}

} // namespace marjoramtally
