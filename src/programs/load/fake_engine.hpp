/// A model engine in the decision bench: continuous batching, priorities, a
/// prefix cache in limited memory; it can be slow, crash and come back.
#pragma once

#include "marjoramtally/request/request.hpp"
#include "programs/load/event_loop.hpp"

#include <deque>
#include <list>

namespace marjoramtally::bench {

/// Names a job over all engines.
using GenerationId = Strong<std::uint64_t, struct GenerationTag>;

/// Costs and limits of one engine.
struct EngineSettings
{
  /// Time of a step with an empty batch.
  Duration stepBase_{ 10'000 };
  /// Time that each sequence in the batch adds to a step.
  Duration stepPerSequence_{ 300 };
  /// Time that each prefilled token adds to a step.
  Duration prefillPerToken_{ 25 };
  /// Sequences in a batch.
  std::size_t maxBatch_ = 48;
  /// Prompt tokens prefilled in one step.
  std::uint64_t prefillChunk_ = 1024;
  /// Prefixes that the cache holds.
  std::size_t cachedPrefixes_ = 16;
};

/// What an engine is asked to run.
struct EngineJob
{
  GenerationId id_;
  RequestClass class_ = RequestClass::Live;
  std::uint64_t promptTokens_ = 0;
  /// Head of the prompt that a cached prefix saves.
  std::uint64_t prefixTokens_ = 0;
  /// 0 is no prefix.
  std::uint64_t prefixHash_ = 0;
  std::uint64_t outputTokens_ = 0;
  /// Tokens already generated elsewhere and resumed here.
  std::uint64_t resumedTokens_ = 0;
};

/// How a job ended.
struct EngineResult
{
  bool complete_ = false;
  std::uint64_t generatedTokens_ = 0;
  bool cacheHit_ = false;
};

/// What an engine reports of its load.
struct EngineReport
{
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
  /// Prompt and output tokens not yet worked through, as the engine's own
  /// admission counts them.
  std::uint64_t pendingTokens_ = 0;
  /// When it was true.
  TimePoint at_;
};

/// A prefix entered the cache or left it.
struct CacheEvent
{
  std::uint64_t prefixHash_ = 0;
  bool cached_ = false;
};

/// One engine. Not thread-safe; the loop outlives it.
class FakeEngine
{
public:
  using Done = std::function<void(const EngineResult&)>;
  using CacheListener = std::function<void(const CacheEvent&)>;

  FakeEngine(EventLoop& aLoop, const EngineSettings& aSettings) noexcept
    : loop_(aLoop)
    , settings_(aSettings)
  {
  }

  /// Runs a job; `aDone` is called once unless the job is cancelled. A
  /// crashed engine refuses at once.
  void Submit(const EngineJob& aJob, Done aDone);
  /// @returns the tokens generated so far, which are thrown away
  std::uint64_t Cancel(GenerationId aJob);
  /// @returns the tokens that a running job has; 0 for others
  [[nodiscard]] std::uint64_t Progress(GenerationId aJob) const;
  /// Multiplies the time of every step.
  void SetSlowdown(double aFactor) noexcept { slowdown_ = aFactor; }
  /// Fails all jobs, forgets the cache and refuses until `Restart`.
  void Crash();
  void Restart() noexcept { crashed_ = false; }
  [[nodiscard]] bool Crashed() const noexcept { return crashed_; }
  [[nodiscard]] EngineReport Report() const;
  void OnCacheEvent(CacheListener aListener)
  {
    cacheListener_ = std::move(aListener);
  }

private:
  struct Sequence
  {
    EngineJob job_;
    Done done_;
    std::uint64_t prefillLeft_ = 0;
    std::uint64_t generated_ = 0;
    bool cacheHit_ = false;
  };

  void StartStep();
  void EndStep(std::uint64_t aEpoch);
  void FillBatch();
  /// @returns prompt tokens worked through in this step
  std::uint64_t Prefill();
  bool TouchPrefix(std::uint64_t aHash);
  void NotifyCacheListener(std::uint64_t aHash, bool aCached) const;

  EventLoop& loop_;
  EngineSettings settings_;
  std::array<std::deque<Sequence>, kRequestClasses> waiting_;
  std::vector<Sequence> batch_;
  /// Most recently used first.
  std::list<std::uint64_t> cache_;
  CacheListener cacheListener_;
  double slowdown_ = 1.0;
  bool crashed_ = false;
  bool stepping_ = false;
  /// Grows with each crash, so that a step of before it ends nothing.
  std::uint64_t epoch_ = 0;
};

} // namespace marjoramtally::bench
