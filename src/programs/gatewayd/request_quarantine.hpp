/// Keeps requests that crash upstreams from running.
#pragma once

#include "daemon/gateway_context.hpp"
#include "marjoramtally/process/upstream_board.hpp"

namespace marjoramtally {

/// Takes what the gateway sees of upstreams; decides nothing yet.
class RequestQuarantine
{
public:
  void OnEntry(const UpstreamEntry&) {}
  void OnVanished(const UpstreamId&) {}
};

} // namespace marjoramtally
