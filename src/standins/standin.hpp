/// Stand-ins of the callers, trainers and upstreams of the system and of the
/// platform below it. Each is a mode of `marjoram-standin`.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/runtime.hpp"

#include <array>
#include <deque>
#include <filesystem>

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>

namespace marjoramtally::standin {

using Json = nlohmann::json;

/// Command line options; each mode uses a subset.
struct Options
{
  std::string mode_;
  std::string name_ = "standin";
  std::string portFile_;
  std::string recordFile_;
  /// Comma-separated `IP:port` addresses of entries.
  std::string entries_;
  std::string trainer_;
  std::string model_;
  std::string promptsFile_;
  /// `IP:port` of the weight store.
  std::string weightStore_;
  /// Folder of record files, read by `verify`.
  std::string records_;
  std::uint16_t port_ = 0;
  std::uint64_t steps_ = 3;
  std::uint64_t groups_ = 32;
  std::uint64_t groupSize_ = 4;
  std::uint64_t staleness_ = 1;
  /// Steps that a trainer opens ahead of the current one.
  std::uint64_t stepsAhead_ = 1;
  std::uint64_t tokenMicros_ = 500;
  std::uint64_t serviceMicros_ = 2000;
  std::uint64_t trainMillis_ = 500;
  std::uint64_t rate_ = 50;
  std::uint64_t deadlineMillis_ = 1000;
  /// Failures per 1000 weight swaps.
  std::uint64_t swapFailures_ = 0;
  /// Reads per second that the weight store allows; 0 is unlimited.
  std::uint64_t loadRate_ = 0;
  bool ignoreFencing_ = false;
  /// Engines restart streams instead of resuming them.
  bool noResume_ = false;
  /// Engines exit on prompts that contain this text; empty disables it.
  std::string crashOn_;
  std::string stopFile_;
  /// Delay until a posted change shows in the list of instances.
  std::uint64_t lagMillis_ = 5000;
  /// File to which spans are appended; empty disables tracing.
  std::string traceFile_;
  /// Initial fault settings as JSON.
  std::string faults_ = "{}";
};

/// Appends JSON objects to a file, one per line. Thread-safe.
class Recorder
{
public:
  explicit Recorder(const std::string& aPath);
  void Write(const Json& aLine);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// Starts a server, writes its port file and waits for a stop signal.
/// @returns the program's exit code
int
ServeUntilStopped(const Options& aOptions, const HttpHandler& aHandler);

int
RunStore(const Options& aOptions);
int
RunInstanceList(const Options& aOptions);
int
RunEngine(const Options& aOptions);
int
RunPlain(const Options& aOptions);
int
RunWeights(const Options& aOptions);
int
RunScorer(const Options& aOptions);
int
RunTrainer(const Options& aOptions);
int
RunCallers(const Options& aOptions);
int
RunVerify(const Options& aOptions);

} // namespace marjoramtally::standin
