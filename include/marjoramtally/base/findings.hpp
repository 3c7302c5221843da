/// Findings: everything wrong with an input, each with its place, collected
/// and reported together.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// A place in a text that a person can open.
struct SourcePlace
{
  /// File name, or the name of the input where there is no file.
  std::string file_;
  /// Line counted from 1; 0 when the input has no lines.
  std::uint32_t line_ = 0;
  auto operator<=>(const SourcePlace&) const = default;
};

/// One thing that is wrong.
struct Finding
{
  SourcePlace place_;
  std::string message_;
};

/// A collection of findings in the order found.
class Findings
{
public:
  /// Records one finding.
  void Add(SourcePlace aPlace, std::string aMessage);
  /// Appends all of another collection.
  void Append(const Findings& aOther);
  [[nodiscard]] bool empty() const noexcept { return items_.empty(); }
  [[nodiscard]] const std::vector<Finding>& Items() const noexcept
  {
    return items_;
  }
  /// @returns one `file:line: message` line for each finding
  [[nodiscard]] std::string Render() const;

private:
  std::vector<Finding> items_;
};

} // namespace marjoramtally
