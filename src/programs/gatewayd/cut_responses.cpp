#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

void
LogUnframedAnswer(const RequestId& aId,
                  const UpstreamId& aUpstream,
                  const HttpResult& aResult)
{
  if (aResult.end_ == HttpEnd::Complete && !aResult.bodyFramed_) {
    LogEvent(LogLevel::Info,
             "answer_unframed",
             { { "id", aId.Get() },
               { "upstream", aUpstream.Get() },
               { "bytes", std::to_string(aResult.bodyBytes_) } });
  }
}

void
CountCutResponse(const GatewayContext& aHost, const HttpResult& aResult)
{
  const bool closed =
    aResult.end_ == HttpEnd::Broken || aResult.end_ == HttpEnd::Complete;
  if (aResult.end_ == HttpEnd::Complete && !aResult.bodyFramed_) {
    aHost.Measures().Count("upstream_responses_unframed_total");
  } else if (closed && !aResult.headReceived_) {
    aHost.Measures().Count(aResult.headBytes_ > 0
                             ? "upstream_responses_cut_total{part=\"head\"}"
                             : "upstream_responses_cut_total{part=\"all\"}");
  } else if (aResult.end_ == HttpEnd::Broken) {
    aHost.Measures().Count("upstream_responses_cut_total{part=\"body\"}");
  }
}

} // namespace marjoramtally
