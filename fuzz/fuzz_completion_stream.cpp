/// Arbitrary bytes of a streamed completion, split into attempts, cause no
/// crash, and a stream is complete only after its final event.

#include "marjoramtally/request.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CompletionStream stream;
  std::string passed;
  // A zero byte ends the connection and starts the next attempt.
  while (!bytes.empty()) {
    const std::size_t end = std::min(bytes.find('\0'), bytes.size());
    stream.StartAttempt();
    const auto out = stream.Feed(bytes.substr(0, end));
    if (out) {
      passed += out.value();
    }
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
  }
  const bool ended = passed.ends_with("data: [DONE]\n\n");
  if (stream.IsComplete() && !passed.empty() && !ended) {
    std::abort();
  }
  return 0;
}
