/// Decoders of relayed watches return a value or an error for arbitrary bytes;
/// a decoded value can be encoded and decoded again.

#include "marjoramtally/runtime/watch_messages.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto request = DecodeWatchAsk(bytes);
  if (request && !DecodeWatchAsk(EncodeWatchAsk(request.value()))) {
    std::abort();
  }
  const auto batch = DecodeWatchBatch(bytes);
  if (batch) {
    const auto again = DecodeWatchBatch(EncodeWatchBatch(batch.value()));
    if (!again ||
        again.value().events_.size() != batch.value().events_.size()) {
      std::abort();
    }
  }
  return 0;
}
