/// Decoders of trainer messages return a value or an error for arbitrary
/// bytes; a decoded value can be encoded and decoded again.

#include "marjoramtally/connection.hpp"

#include <cstdlib>

namespace {

using namespace marjoramtally;

template<typename T>
void
TryDecoder(Result<T> (*aDecode)(std::string_view), std::string_view aBytes)
{
  const auto decoded = aDecode(aBytes);
  if (decoded && !aDecode(Encode(decoded.value()))) {
    std::abort();
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  TryDecoder<TrainerRequest>(DecodeTrainerRequest, bytes);
  TryDecoder<TrainerReply>(DecodeTrainerReply, bytes);
  TryDecoder<GenerateRequest>(DecodeGenerateRequest, bytes);
  TryDecoder<GenerateReply>(DecodeGenerateReply, bytes);
  return 0;
}
