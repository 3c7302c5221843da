/// Decoders of claim records from the store and of suspicion updates from
/// peers accept arbitrary bytes; a decoded claim survives a round trip.

#include "marjoramtally/process.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  if (const auto record = DecodeClaim(bytes)) {
    if (DecodeClaim(EncodeClaim(*record)) != record) {
      std::abort();
    }
  }
  const auto updates = DecodeSuspicionUpdates(bytes);
  if (updates) {
    Quarantine quarantine;
    for (const SuspicionUpdate& update : updates.value()) {
      quarantine.OnUpdate(update, {});
    }
  }
  return 0;
}
