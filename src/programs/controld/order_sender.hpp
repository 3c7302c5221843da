/// Reads of state and orders as HTTP calls to upstreams.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process/rollout.hpp"

namespace marjoramtally {

/// Sends to upstreams and classifies what came of it. Thread-safe.
class OrderSender
{
public:
  explicit OrderSender(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  /// @param aDone gets the state, or nothing if it could not be read
  void Read(const UpstreamId& aUpstream,
            std::function<void(std::optional<UpstreamState>)> aDone);
  void Send(const SendOrder& aOrder, std::function<void(OrderEnd)> aDone);

private:
  [[nodiscard]] std::string AddressOf(const UpstreamId& aUpstream);

  Host& host_;
};

} // namespace marjoramtally
