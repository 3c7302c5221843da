#include "marjoramtally/runtime/log_explanation.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <fmt/format.h>
#include <iomanip>
#include <sstream>

namespace marjoramtally {

namespace {

/// Lines up to this long before an id's first line are related to it: longer
/// than a liveness record takes to expire and a lost watch to be noticed.
constexpr auto kLookBack = std::chrono::seconds(6);
constexpr auto kLookAhead = std::chrono::milliseconds(500);

/// Fields that hold the id of a line's subject.
constexpr std::array<std::string_view, 4> kIdFields{ "id",
                                                     "item",
                                                     "job",
                                                     "call" };

/// Events about the state of a process and of what it reads.
constexpr std::array<std::string_view, 15> kStateEvents{
  "config_read",
  "upstreams_read",
  "watch_interrupted",
  "relay_failed",
  "dependency_lost",
  "dependency_regained",
  "started",
  "stopping",
  "duty_held",
  "log_lines_left_out",
  "duty_lost",
  "watch_resumed",
  "socket_not_watched",
  "reading_failed",
  "call_repeated",
};

/// Events about an upstream.
constexpr std::array<std::string_view, 8> kUpstreamEvents{
  "upstream_vanished", "upstream_registered", "attempt_failed",
  "answer_rejected",   "attempt_outwaited",   "run_interrupted",
  "run_silent",        "order_sent",
};

template<std::size_t N>
bool
Contains(const std::array<std::string_view, N>& aNames, std::string_view aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

/// Removes a value from the start of the text.
/// @returns the value without its quotes
std::string
TakeValue(std::string_view& aText)
{
  std::string value;
  if (!aText.starts_with('"')) {
    const std::size_t end = std::min(aText.find(' '), aText.size());
    value = aText.substr(0, end);
    aText.remove_prefix(end);
    return value;
  }
  std::size_t i = 1;
  for (; i < aText.size() && aText[i] != '"'; ++i) {
    i += aText[i] == '\\' && i + 1 < aText.size() ? 1 : 0;
    value += aText[i];
  }
  aText.remove_prefix(std::min(i + 1, aText.size()));
  return value;
}

std::optional<Duration>
ParseTime(const std::string& aText)
{
  std::tm parts{};
  std::istringstream in(aText);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  if (in.fail()) {
    return std::nullopt;
  }
  double fraction = 0;
  if (in.peek() == '.') {
    in >> fraction;
  }
  constexpr double kMicros = 1e6;
  return std::chrono::seconds(timegm(&parts)) +
         Duration{ static_cast<std::int64_t>(fraction * kMicros) };
}

bool
NamesId(const LogLine& aLine, std::string_view aId)
{
  return std::any_of(
    kIdFields.begin(), kIdFields.end(), [&](std::string_view aField) {
      return aLine.Field(aField) == aId;
    });
}

/// The instances, upstreams and jobs named by an id's own lines, and the period
/// in which other lines are related to it.
struct Participants
{
  std::set<std::string, std::less<>> instances_;
  std::set<std::string, std::less<>> upstreams_;
  std::set<std::string, std::less<>> jobs_;
  Duration from_{ 0 };
  Duration to_{ 0 };
};

Participants
ParticipantsOf(const std::vector<LogLine>& aOwn)
{
  Participants participants;
  for (const LogLine& line : aOwn) {
    for (const auto& [field, into] :
         { std::pair{ "instance", &participants.instances_ },
           std::pair{ "upstream", &participants.upstreams_ },
           std::pair{ "last_upstream", &participants.upstreams_ },
           std::pair{ "job", &participants.jobs_ } }) {
      if (!line.Field(field).empty()) {
        into->emplace(line.Field(field));
      }
    }
  }
  if (!aOwn.empty()) {
    participants.from_ = aOwn.front().time_ - kLookBack;
    participants.to_ = aOwn.back().time_ + kLookAhead;
  }
  return participants;
}

bool
IsRelated(const LogLine& aLine, const Participants& aParticipants)
{
  if (aLine.time_ < aParticipants.from_ || aLine.time_ > aParticipants.to_) {
    return false;
  }
  const std::string_view event = aLine.Event();
  if (Contains(kStateEvents, event)) {
    return aParticipants.instances_.contains(aLine.Field("instance"));
  }
  // Events about the upstream itself name it in `id`, all others in `upstream`.
  if (Contains(kUpstreamEvents, event)) {
    return aParticipants.upstreams_.contains(aLine.Field("upstream")) ||
           aParticipants.upstreams_.contains(aLine.Field("id"));
  }
  return event.starts_with("job_") &&
         aParticipants.jobs_.contains(aLine.Field("job"));
}

std::size_t
CountEvents(const std::vector<LogLine>& aLines, std::string_view aEvent)
{
  return static_cast<std::size_t>(
    std::count_if(aLines.begin(), aLines.end(), [&](const LogLine& aLine) {
      return aLine.Event() == aEvent;
    }));
}

/// Describes how an event ends a request, as text for the operator.
struct Ending
{
  std::string_view event_;
  /// Field whose value selects the sentence; empty matches any line of the
  /// event.
  std::string_view field_;
  std::string_view value_;
  std::string_view sentence_;
};

constexpr auto kEndings = std::to_array<Ending>({
  { "request_given_up",
    "status",
    "503",
    "refused; no upstream ran it and none will" },
  { "request_given_up",
    "status",
    "502",
    "answered 502: attempts failed, and another one was not allowed or "
    "possible" },
  { "request_given_up",
    "status",
    "504",
    "answered 504: the deadline of the caller or of the route expired" },
  { "request_abandoned",
    "",
    "",
    "the caller disconnected before the response" },
  { "no_route",
    "",
    "",
    "answered 404: no route of the configuration in effect matches its path" },
  { "job_submitted",
    "outcome",
    "refused",
    "the job was refused: nothing was written to the store" },
  { "job_submitted",
    "outcome",
    "unknown",
    "the store did not confirm the job; submitting it again is safe" },
  { "job_rejected", "", "", "the job was rejected: its body cannot be parsed" },
  { "item_errored", "", "", "the item was abandoned" },
  { "item_scored", "", "", "the item's text was generated and scored" },
  { "item_whole", "", "", "the item's text was generated" },
  { "job_ended", "", "", "the job was ended" },
  { "run_interrupted", "", "", "the last run in the logs was interrupted" },
  { "run_silent", "", "", "the last run in the logs stopped sending events" },
  { "score_failed", "", "", "the last score call in the logs failed" },
});

const Ending*
FindEnding(const LogLine& aLine)
{
  for (const Ending& ending : kEndings) {
    const bool value =
      ending.field_.empty() || aLine.Field(ending.field_) == ending.value_;
    if (ending.event_ == aLine.Event() && value) {
      return &ending;
    }
  }
  return nullptr;
}

std::string
Describe(const LogLine& aLine, const Ending& aEnding)
{
  std::string text = std::string(aEnding.sentence_);
  if (!aLine.Field("why").empty()) {
    text += fmt::format(" (why: {})", aLine.Field("why"));
  }
  return text + fmt::format(", at {}", aLine.Field("instance"));
}

void
AddUpstreamFindings(LogExplanation& aExplanation,
                    const Participants& aParticipants)
{
  for (const std::string& upstream : aParticipants.upstreams_) {
    std::size_t failures = 0;
    std::size_t orders = 0;
    bool vanished = false;
    for (const LogLine& line : aExplanation.relatedLines_) {
      const bool about = line.Field("upstream") == upstream;
      orders += about && line.Event() == "order_sent" ? 1 : 0;
      failures += about && line.Event() != "order_sent" ? 1 : 0;
      vanished = vanished || (line.Event() == "upstream_vanished" &&
                              line.Field("id") == upstream);
    }
    if (failures > 0) {
      aExplanation.findings_.push_back(
        fmt::format("upstream {} failed {} other calls around that time; check "
                    "that upstream",
                    upstream,
                    failures));
    }
    if (orders > 0) {
      aExplanation.findings_.push_back(
        fmt::format("upstream {} was ordered to change its weights", upstream));
    }
    if (vanished) {
      aExplanation.findings_.push_back(
        fmt::format("the registration of upstream {} vanished", upstream));
    }
  }
}

/// Adds a finding for each process whose last event about a dependency reported
/// its loss.
void
AddDependencyFindings(LogExplanation& aExplanation)
{
  std::map<std::string, std::string> lost;
  for (const LogLine& line : aExplanation.relatedLines_) {
    const std::string instance(line.Field("instance"));
    if (line.Event() == "dependency_lost") {
      lost[instance] = line.Field("dependency");
    } else if (line.Event() == "dependency_regained") {
      lost.erase(instance);
    }
  }
  for (const auto& [instance, dependency] : lost) {
    aExplanation.findings_.push_back(
      fmt::format("{} had lost its connection to {}",
                  instance,
                  dependency.empty() ? "the store" : dependency));
  }
}

void
AddFindings(LogExplanation& aExplanation, const Participants& aParticipants)
{
  if (aExplanation.ownLines_.empty()) {
    aExplanation.findings_.emplace_back(
      "no line names this id: it reached none of these processes, or an "
      "upstream answered it");
    return;
  }
  const auto last = std::find_if(
    aExplanation.ownLines_.rbegin(),
    aExplanation.ownLines_.rend(),
    [](const LogLine& aLine) { return FindEnding(aLine) != nullptr; });
  aExplanation.findings_.push_back(
    last == aExplanation.ownLines_.rend()
      ? std::string(
          "no line reports its end: it was answered or is still in progress")
      : Describe(*last, *FindEnding(*last)));
  const std::size_t failed =
    CountEvents(aExplanation.ownLines_, "attempt_failed") +
    CountEvents(aExplanation.ownLines_, "answer_rejected") +
    CountEvents(aExplanation.ownLines_, "run_interrupted");
  if (failed > 0) {
    aExplanation.findings_.push_back(
      fmt::format("{} of its attempts gave no complete response", failed));
  }
  const std::size_t moved =
    CountEvents(aExplanation.ownLines_, "attempt_outwaited") +
    CountEvents(aExplanation.ownLines_, "run_silent") +
    CountEvents(aExplanation.ownLines_, "run_moved");
  if (moved > 0) {
    aExplanation.findings_.push_back(
      fmt::format("{} of its attempts were abandoned because they were slow or "
                  "unresponsive",
                  moved));
  }
  AddUpstreamFindings(aExplanation, aParticipants);
  AddDependencyFindings(aExplanation);
  if (CountEvents(aExplanation.relatedLines_, "job_claimed") > 0) {
    aExplanation.findings_.emplace_back(
      "another process took its job over: runs restarted from the texts "
      "that were saved");
  }
  if (CountEvents(aExplanation.relatedLines_, "log_lines_left_out") > 0) {
    aExplanation.findings_.emplace_back(
      "lines were left out of these logs; the explanation may be incomplete");
  }
}

} // namespace

std::string_view
LogLine::Field(std::string_view aName) const
{
  const auto it = fields_.find(aName);
  return it == fields_.end() ? std::string_view() : it->second;
}

std::optional<LogLine>
ParseLogLine(std::string_view aText)
{
  LogLine line;
  line.text_ = aText;
  while (!aText.empty()) {
    const std::size_t end = aText.find_first_of(" =");
    if (end == std::string_view::npos) {
      break;
    }
    const std::string name(aText.substr(0, end));
    const bool pair = aText[end] == '=' && !name.empty();
    aText.remove_prefix(end + 1);
    if (pair) {
      line.fields_.emplace(name, TakeValue(aText));
    }
  }
  if (line.Event().empty()) {
    return std::nullopt;
  }
  return line;
}

LogExplanation
ExplainFromLogs(const std::vector<std::string>& aLines, std::string_view aId)
{
  LogExplanation explanation;
  std::vector<LogLine> lines;
  Duration last{ 0 };
  for (const std::string& text : aLines) {
    ++explanation.linesRead_;
    auto line = ParseLogLine(text);
    if (!line) {
      ++explanation.unparsed_;
      continue;
    }
    last = ParseTime(std::string(line->Field("time"))).value_or(last);
    line->time_ = last;
    lines.push_back(std::move(*line));
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const LogLine& aOne, const LogLine& aOther) {
      return aOne.time_ < aOther.time_;
    });
  const auto own = [&](const LogLine& aLine) { return NamesId(aLine, aId); };
  std::copy_if(
    lines.begin(), lines.end(), std::back_inserter(explanation.ownLines_), own);
  const Participants participants = ParticipantsOf(explanation.ownLines_);
  for (LogLine& line : lines) {
    if (!own(line) && IsRelated(line, participants)) {
      explanation.relatedLines_.push_back(std::move(line));
    }
  }
  AddFindings(explanation, participants);
  return explanation;
}

} // namespace marjoramtally
