/// Asks upstreams for their load and passes the reports to the router.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process.hpp"

namespace marjoramtally {

/// Polls the upstreams of one entry process. Thread-safe: its lock guards the
/// plan alone, and nothing is called with it held.
class ReportPoller
{
public:
  /// @param aRouter outlives the poller
  ReportPoller(Host& aHost, Router& aRouter);

  /// Starts to poll.
  void Start();
  /// Takes the upstreams that are known.
  void SetUpstreams(const std::vector<UpstreamView>& aUpstreams);

private:
  void PollDue();
  void Poll(const UpstreamView& aUpstream);
  void OnReport(const UpstreamId& aId, const HttpResult& aResult);

  Host& host_;
  Router& router_;
  std::mutex mutex_;
  PollPlan plan_;
};

} // namespace marjoramtally
