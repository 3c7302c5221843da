/// Polls upstreams for load reports and passes them to the router.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process.hpp"

namespace marjoramtally {

/// @returns the report that a response holds; an error if the call did not end
/// with a complete response of success
[[nodiscard]] Result<UpstreamReport>
ReadReport(const HttpResult& aResult);

/// Polls the upstreams of one entry process. Thread-safe: its lock guards only
/// the poll plan and is never held while other components are called.
class ReportPoller
{
public:
  /// @param aRouter must outlive the poller
  ReportPoller(Host& aHost, Router& aRouter);

  /// Starts periodic polling.
  void Start();
  /// Sets the upstreams to poll.
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
