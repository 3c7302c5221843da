#include "programs/ctl/commands.hpp"

#include "marjoramtally/runtime/log_explanation.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <iostream>
#include <map>

namespace marjoramtally {

namespace {

/// Lines printed per event and process: a process that lost its connection to
/// the store logs the event several times per second.
constexpr std::size_t kMaxSimilarLines = 2;

void
PrintLines(const char* aTitle, const std::vector<LogLine>& aLines)
{
  if (!aLines.empty()) {
    std::cout << aTitle << '\n';
  }
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const LogLine& line : aLines) {
    const std::pair key{ std::string(line.Field("instance")),
                         std::string(line.Event()) };
    if (++counts[key] <= kMaxSimilarLines) {
      std::cout << "  " << line.text_ << '\n';
    }
  }
  for (const auto& [key, count] : counts) {
    if (count > kMaxSimilarLines) {
      std::cout << "  and " << count - kMaxSimilarLines
                << " more of event=" << key.second << " at " << key.first
                << '\n';
    }
  }
}

} // namespace

int
RunExplain(const CommandInput& aInput)
{
  if (aInput.arguments_.size() != 1) {
    std::cerr << "marjoramctl: give one id, and the logs on standard input\n";
    return kExitBadInput;
  }
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(std::cin, line)) {
    lines.push_back(std::move(line));
  }
  const LogExplanation explanation =
    ExplainFromLogs(lines, aInput.arguments_.front());
  PrintLines("Its own lines:", explanation.ownLines_);
  PrintLines("Related lines around them:", explanation.relatedLines_);
  std::cout << "Findings (" << explanation.linesRead_ << " lines read, "
            << explanation.unparsed_ << " of them not parsed as events):\n";
  for (const std::string& finding : explanation.findings_) {
    std::cout << "  " << finding << '\n';
  }
  return explanation.ownLines_.empty() ? kExitFailed : kExitOk;
}

} // namespace marjoramtally
