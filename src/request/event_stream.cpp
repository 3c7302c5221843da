#include "marjoramtally/request/event_stream.hpp"

#include "marjoramtally/base/units.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr std::string_view kDataField = "data";
constexpr std::string_view kIdField = "id";

/// Name and value of a field, from one line of an event.
struct FieldLine
{
  std::string_view name_;
  std::string_view value_;
};

FieldLine
SplitField(std::string_view aLine) noexcept
{
  const std::size_t colon = std::min(aLine.find(':'), aLine.size());
  std::string_view value = aLine.substr(std::min(colon + 1, aLine.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return { aLine.substr(0, colon), value };
}

} // namespace

Result<std::vector<std::string>>
EventStreamParser::Feed(std::string_view aBytes)
{
  auto events = FeedEvents(aBytes);
  if (!events) {
    return events.error();
  }
  std::vector<std::string> data;
  for (ServerEvent& event : events.value()) {
    data.push_back(std::move(event.data_));
  }
  return data;
}

Result<std::vector<ServerEvent>>
EventStreamParser::FeedEvents(std::string_view aBytes)
{
  std::vector<ServerEvent> events;
  while (!aBytes.empty()) {
    const std::size_t end = aBytes.find('\n');
    const std::string_view piece = aBytes.substr(0, end);
    line_ += piece;
    bytesSinceEvent_ += piece.size() + 1;
    if (bytesSinceEvent_ > kMaxEventBytes) {
      return Error{ ErrorKind::BadInput, "an event of the stream is too long" };
    }
    if (end == std::string_view::npos) {
      break;
    }
    aBytes.remove_prefix(end + 1);
    ProcessLine(events);
  }
  return events;
}

void
EventStreamParser::ProcessLine(std::vector<ServerEvent>& aEvents)
{
  std::string_view line = line_;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (hasData_) {
      aEvents.push_back(std::move(event_));
      bytesSinceEvent_ = 0;
    }
    event_ = {};
    hasData_ = false;
    line_.clear();
    return;
  }
  const FieldLine field = SplitField(line);
  if (field.name_ == kDataField) {
    AppendData(field.value_);
  } else if (field.name_ == kIdField) {
    event_.id_ = ParseNumber(field.value_, 0, UINT64_MAX);
  } else if (!labelField_.empty() && field.name_ == labelField_) {
    event_.label_ = ParseNumber(field.value_, 0, UINT64_MAX);
  }
  line_.clear();
}

void
EventStreamParser::AppendData(std::string_view aValue)
{
  if (hasData_) {
    event_.data_.push_back('\n');
  }
  event_.data_ += aValue;
  hasData_ = true;
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
