/// Server-sent events: bytes in, whole events out.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// Parses one event stream piece by piece. Only `data` fields are kept.
class EventStreamParser
{
public:
  /// Longest event accepted, in bytes.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// Takes the next bytes.
  /// @returns the data of the events that they complete; `BadInput` if an
  /// event is too long
  [[nodiscard]] Result<std::vector<std::string>> Feed(std::string_view aBytes);
  /// @returns whether bytes of an unfinished event are held
  [[nodiscard]] bool Partial() const noexcept
  {
    return !line_.empty() || hasData_;
  }

private:
  void TakeLine(std::vector<std::string>& aEvents);

  std::string line_;
  std::string data_;
  bool hasData_ = false;
};

/// @returns one event with that data
[[nodiscard]] std::string
FormatEvent(std::string_view aData);

} // namespace marjoramtally
