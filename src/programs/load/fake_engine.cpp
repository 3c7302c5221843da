#include "programs/load/fake_engine.hpp"

#include <algorithm>

namespace marjoramtally::bench {

void
FakeEngine::Submit(const EngineJob& aJob, Done aDone)
{
  if (crashed_) {
    loop_.After(Duration(0), [done = std::move(aDone)] { done({}); });
    return;
  }
  Sequence sequence;
  sequence.job_ = aJob;
  sequence.done_ = std::move(aDone);
  sequence.generated_ = aJob.resumedTokens_;
  waiting_[static_cast<std::size_t>(aJob.class_)].push_back(
    std::move(sequence));
  StartStep();
}

std::uint64_t
FakeEngine::Cancel(GenerationId aJob)
{
  const auto isJob = [aJob](const Sequence& aSequence) {
    return aSequence.job_.id_ == aJob;
  };
  for (auto& queue : waiting_) {
    const auto queued = std::find_if(queue.begin(), queue.end(), isJob);
    if (queued != queue.end()) {
      queue.erase(queued);
      return 0;
    }
  }
  const auto running = std::find_if(batch_.begin(), batch_.end(), isJob);
  if (running == batch_.end()) {
    return 0;
  }
  const std::uint64_t wasted = running->generated_;
  batch_.erase(running);
  return wasted;
}

std::uint64_t
FakeEngine::Progress(GenerationId aJob) const
{
  for (const Sequence& sequence : batch_) {
    if (sequence.job_.id_ == aJob) {
      return sequence.generated_;
    }
  }
  return 0;
}

void
FakeEngine::Crash()
{
  crashed_ = true;
  ++epoch_;
  stepping_ = false;
  cache_.clear();
  std::vector<Sequence> lost = std::move(batch_);
  batch_.clear();
  for (auto& queue : waiting_) {
    std::move(queue.begin(), queue.end(), std::back_inserter(lost));
    queue.clear();
  }
  for (const Sequence& sequence : lost) {
    sequence.done_({ false, sequence.generated_, sequence.cacheHit_ });
  }
}

EngineReport
FakeEngine::Report() const
{
  EngineReport report;
  report.at_ = loop_.Now();
  report.running_ = batch_.size();
  const auto pending = [](const Sequence& aSequence) {
    return aSequence.prefillLeft_ + aSequence.job_.outputTokens_ -
           aSequence.generated_;
  };
  for (const Sequence& sequence : batch_) {
    report.pendingTokens_ += pending(sequence);
  }
  for (const auto& queue : waiting_) {
    report.queued_ += queue.size();
    for (const Sequence& sequence : queue) {
      report.pendingTokens_ += pending(sequence) + sequence.job_.promptTokens_;
    }
  }
  return report;
}

void
FakeEngine::FillBatch()
{
  for (auto& queue : waiting_) {
    while (!queue.empty() && batch_.size() < settings_.maxBatch_) {
      Sequence sequence = std::move(queue.front());
      queue.pop_front();
      sequence.prefillLeft_ = sequence.job_.promptTokens_;
      if (TouchPrefix(sequence.job_.prefixHash_)) {
        sequence.cacheHit_ = true;
        sequence.prefillLeft_ -= sequence.job_.prefixTokens_;
      }
      batch_.push_back(std::move(sequence));
    }
  }
}

bool
FakeEngine::TouchPrefix(std::uint64_t aHash)
{
  if (aHash == 0) {
    return false;
  }
  const auto known = std::find(cache_.begin(), cache_.end(), aHash);
  if (known != cache_.end()) {
    cache_.splice(cache_.begin(), cache_, known);
    return true;
  }
  cache_.push_front(aHash);
  NotifyCacheListener(aHash, true);
  if (cache_.size() > settings_.cachedPrefixes_) {
    const std::uint64_t evicted = cache_.back();
    cache_.pop_back();
    NotifyCacheListener(evicted, false);
  }
  return false;
}

void
FakeEngine::NotifyCacheListener(std::uint64_t aHash, bool aCached) const
{
  if (cacheListener_) {
    cacheListener_({ aHash, aCached });
  }
}

std::uint64_t
FakeEngine::Prefill()
{
  std::uint64_t budget = settings_.prefillChunk_;
  for (Sequence& sequence : batch_) {
    const std::uint64_t part = std::min(budget, sequence.prefillLeft_);
    sequence.prefillLeft_ -= part;
    budget -= part;
  }
  return settings_.prefillChunk_ - budget;
}

void
FakeEngine::StartStep()
{
  if (stepping_ || crashed_) {
    return;
  }
  FillBatch();
  if (batch_.empty()) {
    return;
  }
  stepping_ = true;
  const Duration nominal = settings_.stepBase_ +
                           settings_.stepPerSequence_ * batch_.size() +
                           settings_.prefillPerToken_ * Prefill();
  const Duration step{ static_cast<Duration::rep>(
    static_cast<double>(nominal.count()) * slowdown_) };
  loop_.After(step, [this, epoch = epoch_] { EndStep(epoch); });
}

void
FakeEngine::EndStep(std::uint64_t aEpoch)
{
  if (aEpoch != epoch_) {
    return;
  }
  stepping_ = false;
  std::vector<Sequence> ended;
  std::vector<Sequence> kept;
  for (Sequence& sequence : batch_) {
    sequence.generated_ += sequence.prefillLeft_ == 0 ? 1 : 0;
    const bool complete = sequence.generated_ >= sequence.job_.outputTokens_;
    (complete ? ended : kept).push_back(std::move(sequence));
  }
  batch_ = std::move(kept);
  for (const Sequence& sequence : ended) {
    sequence.done_({ true, sequence.generated_, sequence.cacheHit_ });
  }
  StartStep();
}

} // namespace marjoramtally::bench
