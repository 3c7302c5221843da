/// Reads the state of upstreams and sends them orders, over HTTP.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process/rollout.hpp"

namespace marjoramtally {

/// Sends requests to upstreams and classifies their outcomes. Thread-safe.
class OrderSender
{
public:
  explicit OrderSender(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// @param aDone receives the state, or nothing if it could not be read
  void Read(const UpstreamId& aUpstream,
            std::function<void(std::optional<UpstreamState>)> aDone);
  void Send(const SendOrder& aOrder, std::function<void(OrderEnd)> aDone);

private:
  [[nodiscard]] std::string AddressOf(const UpstreamId& aUpstream);

  Host& host_;
};

} // namespace marjoramtally
