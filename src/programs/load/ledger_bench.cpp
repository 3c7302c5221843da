/// `marjoram-load ledger`: measures time and memory of a step's ledger, and the
/// time to append to and read the sample journal.

#include "marjoramtally/runtime/program.hpp"
#include "marjoramtally/version.hpp"
#include "programs/load/experiments.hpp"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

namespace marjoramtally {

namespace {

constexpr std::uint32_t kGroupSize = 8;
constexpr std::uint32_t kMaxSamplesPerTake = 64;
constexpr std::size_t kTextBytes = 1024;
constexpr std::array<std::uint32_t, 3> kSizes{ 512, 2048, 8192 };
constexpr std::uint64_t kJournalBytes = 256U << 20U;

/// Times repeated operations. The median is reported because it is robust
/// against delays on a busy machine.
class Stopwatch
{
public:
  /// @param aExpected capacity reserved in advance, so that the stopwatch
  /// does not allocate while the heap is measured
  explicit Stopwatch(std::size_t aExpected = 0) { nanos_.reserve(aExpected); }

  template<typename Function>
  void Time(Function aOperation)
  {
    const auto start = std::chrono::steady_clock::now();
    aOperation();
    nanos_.push_back((std::chrono::steady_clock::now() - start).count());
  }
  [[nodiscard]] double MedianNanos() const
  {
    std::vector<std::int64_t> sorted = nanos_;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0 : static_cast<double>(sorted[sorted.size() / 2]);
  }

private:
  std::vector<std::int64_t> nanos_;
};

std::size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

StepSpec
MakeStep(std::uint32_t aSize)
{
  StepSpec spec;
  spec.step_ = StepId{ 1 };
  spec.version_ = WeightVersion{ 1 };
  spec.groupSize_ = kGroupSize;
  spec.prompts_.assign(aSize / kGroupSize, "prompt");
  return spec;
}

Sample
MakeSample(const SampleId& aId)
{
  Sample sample;
  sample.id_ = aId;
  sample.text_.assign(kTextBytes, 't');
  sample.tokens_ = kTextBytes / 4;
  sample.spans_ = { { WeightVersion{ 1 }, 0, sample.tokens_ } };
  sample.upstream_ = UpstreamId{ "engine-1" };
  return sample;
}

/// Baseline for finding the next sample to start: a linear scan for the first
/// slot that has not started.
std::size_t
ScanForWanted(std::vector<std::uint8_t>& aStarted)
{
  const auto first = std::find(aStarted.begin(), aStarted.end(), 0);
  *first = 1;
  return static_cast<std::size_t>(first - aStarted.begin());
}

double
MedianScanNanos(std::uint32_t aSize)
{
  std::vector<std::uint8_t> started(aSize);
  Stopwatch watch;
  for (std::uint32_t i = 0; i < aSize; ++i) {
    watch.Time([&] { ScanForWanted(started); });
  }
  return watch.MedianNanos();
}

/// Takes samples until the client holds the complete step.
Stopwatch
TimeTakes(TrainerLedger& aLedger, std::uint32_t aSize)
{
  TakeClient client(MakeStep(aSize));
  Stopwatch takes;
  while (!client.IsComplete()) {
    const TakeSpec take = client.Next(WeightVersion{ 1 }, kMaxSamplesPerTake);
    TakeResult result;
    takes.Time([&] {
      if (aLedger.Accept(take, {}) == TakeVerdict::Current) {
        result = aLedger.Collect(take, {});
      }
    });
    static_cast<void>(
      client.OnAnswer(take.number_, std::move(result.samples_)));
  }
  return takes;
}

void
MeasureLedger(std::uint32_t aSize)
{
  const std::size_t empty = HeapBytes();
  TrainerLedger ledger;
  ledger.Versions().Announce(WeightVersion{ 1 }, {});
  if (ledger.Open(MakeStep(aSize)) != OpenVerdict::Opened) {
    return;
  }
  const std::size_t opened = HeapBytes();
  Stopwatch starts(aSize);
  std::vector<SampleId> started;
  started.reserve(aSize);
  const std::size_t before = HeapBytes();
  for (std::uint32_t i = 0; i < aSize; ++i) {
    starts.Time([&] { started.push_back(ledger.StartNext({})->sample_); });
  }
  const std::size_t outstanding = opened - empty + HeapBytes() - before;
  const std::size_t unready = HeapBytes();
  Stopwatch keeps(aSize);
  for (const SampleId& id : started) {
    Sample sample = MakeSample(id);
    keeps.Time([&] { ledger.OnGenerated(std::move(sample), {}); });
  }
  const std::size_t ready = HeapBytes() - unready;
  const Stopwatch takes = TimeTakes(ledger, aSize);
  std::cout << "samples=" << aSize << " start_ns=" << starts.MedianNanos()
            << " scan_ns=" << MedianScanNanos(aSize)
            << " keep_ns=" << keeps.MedianNanos()
            << " take_us=" << takes.MedianNanos() / 1000.0
            << " bytes_per_outstanding=" << outstanding / aSize
            << " bytes_per_ready=" << ready / aSize << " (text " << kTextBytes
            << ")\n";
}

int
MeasureJournal()
{
  constexpr std::uint32_t kSize = 2048;
  const auto folder = std::filesystem::temp_directory_path() /
                      ("marjoram-ledger." + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  int code = kExitFailed;
  {
    const auto journal =
      SampleJournal::Open(folder / "samples.sqlite", kJournalBytes);
    if (journal) {
      const StepSpec spec = MakeStep(kSize);
      const TrainerId trainer{ "t" };
      Stopwatch appends;
      bool kept = true;
      for (std::uint32_t i = 0; i < kSize; ++i) {
        const Sample sample =
          MakeSample({ spec.step_, i / kGroupSize, i % kGroupSize });
        appends.Time([&] {
          kept &= journal.value()->Append(trainer, spec, sample).has_value();
        });
      }
      Stopwatch read;
      std::size_t readBack = 0;
      read.Time([&] {
        const auto result = journal.value()->Read(trainer, spec);
        readBack = result ? result.value().samples_.size() : 0;
      });
      std::cout << "journal: append_us=" << appends.MedianNanos() / 1000.0
                << " read_step_ms=" << read.MedianNanos() / 1e6
                << " samples_back=" << readBack << '\n';
      code = kept && readBack == kSize ? kExitOk : kExitFailed;
    }
  }
  std::filesystem::remove_all(folder);
  return code;
}

} // namespace

int
RunLedgerBench(int /*aArgc*/, char** /*aArgv*/)
{
  for (const std::uint32_t size : kSizes) {
    MeasureLedger(size);
  }
  return MeasureJournal();
}

} // namespace marjoramtally
