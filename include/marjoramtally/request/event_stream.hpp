/// Server-sent events: bytes in, whole events out.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// One event with what stands beside its data.
struct ServerEvent
{
  /// The `id` field, if it is a number.
  std::optional<std::uint64_t> id_;
  std::string data_;
  /// The number in the parser's label field, if the event has it.
  std::optional<std::uint64_t> label_;
};

/// Parses one event stream piece by piece. Only `data`, `id` and one field
/// with a number, the label, are kept.
class EventStreamParser
{
public:
  /// Longest event accepted, in bytes.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  EventStreamParser() = default;
  /// @param aLabelField name of the field that labels an event
  explicit EventStreamParser(std::string aLabelField)
    : labelField_(std::move(aLabelField))
  {
  }

  /// Takes the next bytes.
  /// @returns the data of the events that they complete; `BadInput` if an
  /// event is too long
  [[nodiscard]] Result<std::vector<std::string>> Feed(std::string_view aBytes);
  /// As `Feed`, with ids and labels.
  [[nodiscard]] Result<std::vector<ServerEvent>> FeedEvents(
    std::string_view aBytes);
  /// @returns whether bytes of an unfinished event are held
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
  bool hasData_ = false;
};

/// @returns one event with that data
[[nodiscard]] std::string
FormatEvent(std::string_view aData);

} // namespace marjoramtally
