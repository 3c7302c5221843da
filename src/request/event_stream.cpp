#include "marjoramtally/request/event_stream.hpp"

namespace marjoramtally {

namespace {

constexpr std::string_view kDataField = "data:";

} // namespace

Result<std::vector<std::string>>
EventStreamParser::Feed(std::string_view aBytes)
{
  std::vector<std::string> events;
  for (const char byte : aBytes) {
    if (byte == '\n') {
      TakeLine(events);
      continue;
    }
    line_.push_back(byte);
    if (line_.size() + data_.size() > kMaxEventBytes) {
      return Error{ ErrorKind::BadInput, "an event of the stream is too long" };
    }
  }
  return events;
}

void
EventStreamParser::TakeLine(std::vector<std::string>& aEvents)
{
  std::string_view line = line_;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (hasData_) {
      aEvents.push_back(std::move(data_));
    }
    data_.clear();
    hasData_ = false;
  } else if (line.starts_with(kDataField)) {
    line.remove_prefix(kDataField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (hasData_) {
      data_.push_back('\n');
    }
    data_ += line;
    hasData_ = true;
  }
  line_.clear();
}

std::string
FormatEvent(std::string_view aData)
{
  std::string event;
  std::size_t from = 0;
  while (from <= aData.size()) {
    const std::size_t end = std::min(aData.find('\n', from), aData.size());
    event += "data: ";
    event += aData.substr(from, end - from);
    event += '\n';
    from = end + 1;
  }
  return event + '\n';
}

} // namespace marjoramtally
