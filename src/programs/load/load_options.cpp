#include "programs/load/load_options.hpp"

#include "marjoramtally/runtime/program.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;

constexpr std::uint64_t kMaxCalls = 2'000'000;
constexpr double kMaxRate = 100'000;
constexpr std::string_view kDefaultClass = "live:1:1s";

po::options_description
Describe(LoadOptions& aOptions)
{
  po::options_description described("marjoram-load http");
  auto add = described.add_options();
  LoadSpec& spec = aOptions.spec_;
  add("help", "print this text");
  add("url",
      po::value(&aOptions.urls_)->composing()->required(),
      "address to call; several are called in turn");
  add("rate",
      po::value(&spec.rate_),
      "open loop: calls per second, with Poisson arrivals");
  add("seconds", po::value(&aOptions.seconds_), "open loop: length in seconds");
  add("in-flight",
      po::value(&aOptions.inFlight_),
      "closed loop: concurrent calls");
  add("calls", po::value(&spec.calls_), "closed loop: total number of calls");
  add("class",
      po::value(&aOptions.classes_)->composing(),
      "NAME:WEIGHT:DEADLINE such as live:3:100ms; several are mixed");
  add("non-idempotent",
      po::value(&spec.nonIdempotentShare_),
      "share of calls with an idempotency key, 0 to 1");
  add("fault",
      po::value(&aOptions.faults_)->composing(),
      "TIME@ADDRESS@JSON: sets faults of a stand-in during the load");
  add("records",
      po::value(&aOptions.records_),
      "folder of plain stand-ins' records to check outcomes against");
  add("seed", po::value(&spec.seed_), "seed of arrivals and mix");
  add("threads", po::value(&aOptions.threads_), "sending threads");
  add("json", po::bool_switch(&aOptions.json_), "print JSON");
  return described;
}

Result<PlannedFault>
ParseFault(const std::string& aText)
{
  const std::size_t first = aText.find('@');
  const std::size_t second =
    first == std::string::npos ? first : aText.find('@', first + 1);
  const auto at = ParseDuration(std::string_view(aText).substr(0, first));
  if (second == std::string::npos || !at) {
    return Error{ ErrorKind::BadInput,
                  "fault '" + aText + "' is not TIME@ADDRESS@JSON" };
  }
  return PlannedFault{ *at,
                       aText.substr(first + 1, second - first - 1),
                       aText.substr(second + 1) };
}

/// Parses the classes and planned faults; adds errors to the findings.
void
ParseClassesAndFaults(LoadOptions& aOptions, Findings& aFindings)
{
  const SourcePlace place{ "command line", 0 };
  if (aOptions.classes_.empty()) {
    aOptions.classes_.emplace_back(kDefaultClass);
  }
  for (const std::string& text : aOptions.classes_) {
    const auto loadClass = ParseLoadClass(text);
    if (loadClass) {
      aOptions.spec_.classes_.push_back(loadClass.value());
    } else {
      aFindings.Add(place, loadClass.error().message_);
    }
  }
  for (const std::string& text : aOptions.faults_) {
    const auto fault = ParseFault(text);
    if (fault) {
      aOptions.plannedFaults_.push_back(fault.value());
    } else {
      aFindings.Add(place, fault.error().message_);
    }
  }
}

/// Checks bounds and computes the number of calls of an open loop.
Findings
CheckOptions(LoadOptions& aOptions)
{
  Findings findings;
  const SourcePlace place{ "command line", 0 };
  ParseClassesAndFaults(aOptions, findings);
  LoadSpec& spec = aOptions.spec_;
  const bool open = spec.rate_ > 0 && aOptions.seconds_ > 0;
  const bool closed = aOptions.inFlight_ > 0 && spec.calls_ > 0;
  if (open == closed) {
    findings.Add(place,
                 "give either --rate and --seconds or --in-flight and --calls");
    return findings;
  }
  if (open) {
    spec.calls_ = static_cast<std::uint64_t>(
      std::min(spec.rate_ * aOptions.seconds_, 1e12));
  }
  if (spec.rate_ > kMaxRate || spec.calls_ < 1 || spec.calls_ > kMaxCalls ||
      aOptions.inFlight_ > kMaxInFlight) {
    findings.Add(place,
                 "limits: --rate at most 100000, 1 to 2000000 calls in total, "
                 "--in-flight at most 20000");
  }
  if (spec.nonIdempotentShare_ < 0 || spec.nonIdempotentShare_ > 1) {
    findings.Add(place, "--non-idempotent must be from 0 to 1");
  }
  return findings;
}

} // namespace

bool
ParseLoadOptions(int aArgc,
                 char** aArgv,
                 LoadOptions& aOptions,
                 std::optional<int>& aExitCode)
{
  const auto described = Describe(aOptions);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    if (values.count("help") != 0) {
      std::cout << described;
      aExitCode = kExitOk;
      return false;
    }
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-load: " << failure.what() << '\n';
    aExitCode = kExitBadInput;
    return false;
  }
  const Findings findings = CheckOptions(aOptions);
  if (!findings.empty()) {
    std::cerr << findings.Render();
    aExitCode = kExitBadInput;
    return false;
  }
  return true;
}

} // namespace marjoramtally
