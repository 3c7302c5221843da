/// For arbitrary bytes of an event stream, split into attempts, the relay
/// forwards only complete events with consecutive ids, and its output does not
/// depend on how the bytes are split into reads.

#include "marjoramtally/request.hpp"

#include <algorithm>
#include <cstdlib>

namespace {

using namespace marjoramtally;

/// A zero byte ends the connection and starts the next attempt.
std::string
Relay(std::string_view aBytes, std::size_t aPiece)
{
  EventRelay relay;
  std::string passed;
  while (!aBytes.empty()) {
    const std::size_t end = std::min(aBytes.find('\0'), aBytes.size());
    std::string_view attempt = aBytes.substr(0, end);
    relay.StartAttempt();
    while (!attempt.empty()) {
      const std::size_t bytes = std::min(aPiece, attempt.size());
      passed += relay.Feed(attempt.substr(0, bytes));
      attempt.remove_prefix(bytes);
    }
    aBytes.remove_prefix(std::min(end + 1, aBytes.size()));
  }
  return passed;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const std::string passed = Relay(bytes, aSize);
  if (passed != Relay(bytes, 1) || passed != Relay(bytes, 3)) {
    std::abort();
  }
  EventStreamParser parser;
  const auto events = parser.FeedEvents(passed);
  if (!events || parser.Partial()) {
    std::abort();
  }
  std::optional<std::uint64_t> last;
  for (const ServerEvent& event : events.value()) {
    if (event.id_ && last && *event.id_ != *last + 1) {
      std::abort();
    }
    last = event.id_ ? event.id_ : last;
  }
  return 0;
}
