#include "programs/load/experiments.hpp"

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <thread>

namespace marjoramtally {

namespace {

namespace po = boost::program_options;

constexpr std::uint64_t kMostCalls = 10'000'000;

/// What the command line gave.
struct LoadOptions
{
  std::string url_;
  std::uint64_t calls_ = 2000;
  std::uint64_t inFlight_ = 1;
};

/// Latencies of the calls made by one worker.
std::vector<double>
RunWorker(const LoadOptions& aOptions,
          std::uint64_t aCalls,
          std::uint64_t& aFailed)
{
  const auto client = HttpClient::Create(1);
  const SystemClock clock;
  std::vector<double> millis;
  for (std::uint64_t i = 0; i < aCalls; ++i) {
    HttpCall call;
    call.method_ = "POST";
    call.url_ = aOptions.url_;
    call.body_ = "subscriber-1";
    const TimePoint start = clock.Now();
    const HttpResult result = SendAndWait(*client, std::move(call));
    const Duration took = clock.Now() - start;
    millis.push_back(static_cast<double>(took.count()) / 1000.0);
    const bool ok =
      result.end_ == HttpEnd::Whole && result.response_.status_ == 200;
    aFailed += ok ? 0 : 1;
  }
  return millis;
}

double
Quantile(std::vector<double>& aSorted, double aShare)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(last * aShare)];
}

} // namespace

int
RunHttpLoad(int aArgc, char** aArgv)
{
  LoadOptions options;
  po::options_description described("marjoram-load http");
  auto add = described.add_options();
  add("url", po::value(&options.url_)->required(), "address to call");
  add("calls", po::value(&options.calls_), "calls in all");
  add("in-flight", po::value(&options.inFlight_), "calls at once");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
  } catch (const po::error& failure) {
    std::cerr << "marjoram-load: " << failure.what() << '\n';
    return kExitBadInput;
  }
  if (options.calls_ == 0 || options.calls_ > kMostCalls ||
      options.inFlight_ == 0 || options.inFlight_ > options.calls_) {
    std::cerr << "marjoram-load: --calls 1 to 10000000, --in-flight 1 to "
                 "--calls\n";
    return kExitBadInput;
  }
  const std::uint64_t each = options.calls_ / options.inFlight_;
  std::vector<std::vector<double>> all(options.inFlight_);
  std::vector<std::uint64_t> failed(options.inFlight_);
  std::vector<std::thread> workers;
  const SystemClock clock;
  const TimePoint start = clock.Now();
  for (std::uint64_t i = 0; i < options.inFlight_; ++i) {
    workers.emplace_back(
      [&, i] { all[i] = RunWorker(options, each, failed[i]); });
  }
  std::vector<double> merged;
  std::uint64_t failures = 0;
  for (std::uint64_t i = 0; i < options.inFlight_; ++i) {
    workers[i].join();
    merged.insert(merged.end(), all[i].begin(), all[i].end());
    failures += failed[i];
  }
  const double seconds =
    static_cast<double>((clock.Now() - start).count()) / 1e6;
  std::sort(merged.begin(), merged.end());
  std::cout << "calls=" << merged.size() << " failed=" << failures
            << " per_s=" << static_cast<double>(merged.size()) / seconds
            << " p50_ms=" << Quantile(merged, 0.5)
            << " p99_ms=" << Quantile(merged, 0.99) << '\n';
  return failures == 0 ? kExitOk : kExitFailed;
}

} // namespace marjoramtally
