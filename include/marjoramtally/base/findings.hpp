/// Findings: all problems of an input with their locations, reported together.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// Location in a source text.
struct SourcePlace
{
  /// File name, or the name of the input if it is not a file.
  std::string file_;
  /// Line number, starting at 1; 0 if the input has no lines.
  std::uint32_t line_ = 0;
  auto operator<=>(const SourcePlace&) const = default;
};

/// One problem of an input.
struct Finding
{
  SourcePlace place_;
  std::string message_;
};

/// Findings in the order in which they were added.
class Findings
{
public:
  void Add(SourcePlace aPlace, std::string aMessage);
  void Append(const Findings& aOther);
  [[nodiscard]] bool empty() const noexcept { return items_.empty(); }
  [[nodiscard]] const std::vector<Finding>& Items() const noexcept
  {
    return items_;
  }
  /// @returns one line per finding, as `file:line: message`
  [[nodiscard]] std::string Render() const;

private:
  std::vector<Finding> items_;
};

} // namespace marjoramtally
