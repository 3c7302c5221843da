/// Fuzz target: bytes of a streamed completion, over attempts. Whatever
/// comes, nothing crashes, and only a stream with its final event is whole.

#include "marjoramtally/request.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CompletionStream stream;
  std::string passed;
  // A zero byte breaks the connection: the next attempt follows.
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
