#include "programs/gatewayd/forwarder.hpp"

namespace marjoramtally {

void
Forwarder::NoteBegun(Flight& aFlight, TimePoint aAt)
{
  if (!aFlight.begun_) {
    aFlight.begun_ = aAt;
  }
}

void
Forwarder::CountUse(const Flight& aFlight)
{
  const CustomerId& customer = aFlight.request_.customer_;
  if (aFlight.begun_ && !customer.Get().empty()) {
    usage_.OnRequestStarted(customer, *aFlight.begun_);
  }
}

std::map<ServiceId, std::uint64_t>
Forwarder::InProgress() const
{
  std::map<ServiceId, std::uint64_t> count;
  for (const auto& [id, flight] : flights_) {
    ++count[flight.request_.service_];
  }
  return count;
}

} // namespace marjoramtally
