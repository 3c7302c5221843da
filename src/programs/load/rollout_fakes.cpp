#include "programs/load/rollout_fakes.hpp"

#include <algorithm>

namespace marjoramtally::bench {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
/// Round trip to the platform's store.
constexpr Duration kStoreRoundTrip = std::chrono::milliseconds(4);
/// Time per write; the store sustains 300 writes per second.
constexpr Duration kWriteTime{ 3333 };
constexpr std::uint64_t kMaxDoublings = 7;

} // namespace

bool
FakeWeightStore::Load(TimePoint aNow)
{
  while (!recent_.empty() && recent_.front() + kSecond <= aNow) {
    recent_.pop_front();
  }
  if (static_cast<double>(recent_.size()) >= perSecond_) {
    ++refused_;
    return false;
  }
  recent_.push_back(aNow);
  ++loads_;
  peak_ = std::max<std::uint64_t>(peak_, recent_.size());
  return true;
}

void
PermitRecord::Reserve(std::function<void(TimePoint)> aDone,
                      std::uint64_t aAttempt)
{
  ++reads_;
  loop_.After(kStoreRoundTrip, [this, done = std::move(aDone), aAttempt] {
    Write(revision_, done, aAttempt);
  });
}

void
PermitRecord::Write(std::uint64_t aRevision,
                    std::function<void(TimePoint)> aDone,
                    std::uint64_t aAttempt)
{
  ++writes_;
  writerFree_ = std::max(writerFree_, loop_.Now()) + kWriteTime;
  loop_.At(writerFree_ + kStoreRoundTrip,
           [this, aRevision, done = std::move(aDone), aAttempt] {
             if (revision_ == aRevision) {
               ++revision_;
               nextTurn_ = std::max(nextTurn_ + turnInterval_, loop_.Now());
               done(nextTurn_);
               return;
             }
             const Duration maxWait =
               kStoreRoundTrip * (2 << std::min(aAttempt, kMaxDoublings));
             const Duration wait{ static_cast<Duration::rep>(
               random_.Below(static_cast<std::uint64_t>(maxWait.count()))) };
             loop_.After(
               wait, [this, done, aAttempt] { Reserve(done, aAttempt + 1); });
           });
}

bool
RecordPermits::Take(TimePoint aNow, bool /*aRetry*/) noexcept
{
  if (turn_ && *turn_ <= aNow) {
    turn_.reset();
    return true;
  }
  if (!reserving_ && !turn_) {
    reserving_ = true;
    record_.Reserve([this](TimePoint aTurn) {
      reserving_ = false;
      turn_ = aTurn;
    });
  }
  return false;
}

} // namespace marjoramtally::bench
