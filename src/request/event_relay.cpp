#include "marjoramtally/request/event_relay.hpp"

#include <algorithm>

namespace marjoramtally {

void
EventRelay::StartAttempt() noexcept
{
  fault_.clear();
  event_.clear();
  lineStart_ = 0;
}

std::string
EventRelay::Feed(std::string_view aBytes)
{
  std::string passed;
  while (!aBytes.empty() && fault_.empty()) {
    const std::size_t end = aBytes.find('\n');
    const std::size_t bytes = std::min(end, aBytes.size() - 1) + 1;
    event_ += aBytes.substr(0, bytes);
    aBytes.remove_prefix(bytes);
    if (event_.size() > EventStreamParser::kMaxEventBytes) {
      fault_ = "an event of the stream is too long";
    } else if (end != std::string_view::npos && EventEnds()) {
      CheckEvent();
      if (fault_.empty()) {
        passed += event_;
        event_.clear();
        lineStart_ = 0;
      }
    }
  }
  return passed;
}

/// Checks the line just read; an empty line ends an event.
bool
EventRelay::EventEnds() noexcept
{
  const std::string_view line = std::string_view(event_).substr(lineStart_);
  lineStart_ = event_.size();
  return line == "\n" || line == "\r\n";
}

void
EventRelay::CheckEvent()
{
  EventStreamParser parser;
  const auto events = parser.FeedEvents(event_);
  // Comments are sent to keep a connection alive and do not count as events.
  if (!events || events.value().empty()) {
    return;
  }
  const auto number = events.value().front().id_;
  if (!number) {
    allNumbered_ = false;
  } else if (last_ && *number != *last_ + 1) {
    fault_ = "event " + std::to_string(*number) + " came after event " +
             std::to_string(*last_);
  } else {
    last_ = number;
  }
}

} // namespace marjoramtally
