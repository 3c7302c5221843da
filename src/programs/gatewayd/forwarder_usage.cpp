#include "programs/gatewayd/forwarder.hpp"

namespace marjoramtally {

void
Forwarder::MarkRunStarted(PendingRequest& aPending, TimePoint aAt)
{
  if (!aPending.runStartedAt_) {
    aPending.runStartedAt_ = aAt;
  }
}

void
Forwarder::CountUsage(const PendingRequest& aPending)
{
  const CustomerId& customer = aPending.request_.customer_;
  if (aPending.runStartedAt_ && !customer.Get().empty()) {
    usage_.OnRequestStarted(customer, *aPending.runStartedAt_);
  }
}

std::map<ServiceId, std::uint64_t>
Forwarder::InProgress() const
{
  std::map<ServiceId, std::uint64_t> count;
  for (const auto& [id, pending] : pending_) {
    ++count[pending.request_.service_];
  }
  return count;
}

} // namespace marjoramtally
