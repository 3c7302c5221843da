#include "programs/ctl/commands.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Reads the spans of one trace from a folder's files, sorted by start time.
std::vector<Json>
ReadSpans(const std::string& aFolder, const std::string& aTrace)
{
  std::vector<Json> spans;
  std::error_code failure;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, failure)) {
    const auto text = ReadFile(entry.path());
    if (!text || entry.path().extension() != ".trace") {
      continue;
    }
    std::istringstream lines(text.value());
    std::string line;
    while (std::getline(lines, line)) {
      Json span = ParseJsonOrDiscarded(line);
      if (span.is_object() && span.value("traceId", "") == aTrace) {
        spans.push_back(std::move(span));
      }
    }
  }
  std::sort(spans.begin(), spans.end(), [](const Json& aOne, const Json& aTwo) {
    return aOne["startTimeUnixNano"] < aTwo["startTimeUnixNano"];
  });
  return spans;
}

void
PrintSpan(const Json& aSpan, int aDepth)
{
  const auto start = std::stoull(aSpan["startTimeUnixNano"].get<std::string>());
  const auto end = std::stoull(aSpan["endTimeUnixNano"].get<std::string>());
  std::cout << std::string(static_cast<std::size_t>(aDepth) * 2, ' ')
            << aSpan["name"].get<std::string>() << ' ' << (end - start) / 1000
            << "us";
  for (const Json& attribute : aSpan["attributes"]) {
    std::cout << ' ' << attribute["key"].get<std::string>() << '='
              << attribute["value"]["stringValue"].get<std::string>();
  }
  std::cout << '\n';
}

void
PrintChildren(const std::multimap<std::string, Json>& aByParent,
              const std::string& aParent,
              int aDepth)
{
  const auto [first, last] = aByParent.equal_range(aParent);
  for (auto it = first; it != last; ++it) {
    PrintSpan(it->second, aDepth);
    PrintChildren(
      aByParent, it->second["spanId"].get<std::string>(), aDepth + 1);
  }
}

} // namespace

int
RunTrace(const CommandInput& aInput)
{
  if (aInput.arguments_.size() != 1) {
    std::cerr << "marjoramctl: give one trace id\n";
    return kExitBadInput;
  }
  const auto spans = ReadSpans(aInput.traceDir_, aInput.arguments_.front());
  if (spans.empty()) {
    std::cerr << "marjoramctl: no span of this trace in " << aInput.traceDir_
              << '\n';
    return kExitFailed;
  }
  std::multimap<std::string, Json> byParent;
  std::set<std::string> known;
  for (const Json& span : spans) {
    byParent.emplace(span["parentSpanId"].get<std::string>(), span);
    known.insert(span["spanId"].get<std::string>());
  }
  std::set<std::string> roots;
  for (const auto& [parent, span] : byParent) {
    if (!known.contains(parent)) {
      roots.insert(parent);
    }
  }
  for (const std::string& root : roots) {
    PrintChildren(byParent, root, 0);
  }
  return kExitOk;
}

} // namespace marjoramtally
