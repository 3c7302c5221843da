/// Decoders of configuration messages return a value or an error for arbitrary
/// bytes; a decoded value can be encoded and decoded again.

#include "marjoramtally/connection.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const auto request = DecodeConfigRequest(bytes);
  if (request && !DecodeConfigRequest(EncodeConfigRequest(request.value()))) {
    std::abort();
  }
  const auto reply = DecodeConfigReply(bytes);
  if (reply && !DecodeConfigReply(EncodeConfigReply(reply.value()))) {
    std::abort();
  }
  return 0;
}
