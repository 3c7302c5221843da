/// Incremental parser for server-sent events.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// One event with its data, id and label.
struct ServerEvent
{
  /// The `id` field, if it is a number.
  std::optional<std::uint64_t> id_;
  std::string data_;
  /// Number in the label field of the parser, if the event has one.
  std::optional<std::uint64_t> label_;
};

/// Parses one event stream incrementally. Only `data`, `id` and one numeric
/// field, the label, are kept.
class EventStreamParser
{
public:
  /// Maximum size of an event in bytes, with all lines since the last one.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  EventStreamParser() = default;
  /// @param aLabelField name of the field that labels an event
  explicit EventStreamParser(std::string aLabelField)
    : labelField_(std::move(aLabelField))
  {
  }

  /// Parses the next bytes.
  /// @returns the data of the events that these bytes complete; `BadInput` if
  /// an event is too long
  [[nodiscard]] Result<std::vector<std::string>> Feed(std::string_view aBytes);
  /// Same as `Feed`, with ids and labels.
  [[nodiscard]] Result<std::vector<ServerEvent>> FeedEvents(
    std::string_view aBytes);
  /// @returns whether an incomplete event is buffered
  [[nodiscard]] bool Partial() const noexcept
  {
    return !line_.empty() || hasData_;
  }

private:
  void ProcessLine(std::vector<ServerEvent>& aEvents);
  void AppendData(std::string_view aValue);

  std::string labelField_;
  std::string line_;
  ServerEvent event_;
  std::size_t bytesSinceEvent_ = 0;
  bool hasData_ = false;
};

/// @returns a server-sent event with this data
[[nodiscard]] std::string
FormatEvent(std::string_view aData);

} // namespace marjoramtally
