#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>
#include <deque>

using namespace marjoramtally;

namespace {

constexpr std::size_t kUpstreams = 9;
constexpr std::size_t kSlots = 8;
const Fingerprint kCrasher{ 1 };

UpstreamId
Upstream(std::size_t aIndex)
{
  return UpstreamId{ "u" + std::to_string(aIndex) };
}

/// Counts of one simulated run.
struct FleetResult
{
  std::uint64_t crashes_ = 0;
  std::uint64_t innocentsRefused_ = 0;
  std::uint64_t innocentRetries_ = 0;
  std::uint64_t maxRetries_ = 0;
};

/// Simulates instances that exchange suspicions, and upstreams that run up to
/// `kSlots` requests at once and crash when one of them is the crasher.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      std::set<UpstreamId> others;
      for (std::size_t j = 0; j < kUpstreams; ++j) {
        if (j % instances_.size() != i) {
          others.insert(Upstream(j));
        }
      }
      instances_.at(i).SetOthersUpstreams(std::move(others));
    }
  }

  FleetResult Run()
  {
    for (int round = 0; round < 200; ++round) {
      Arrive();
      StartAll();
      Serve();
      clock_.Advance(std::chrono::milliseconds(100));
    }
    return result_;
  }

private:
  struct Request
  {
    Fingerprint fingerprint_;
    std::size_t instance_ = 0;
    std::uint64_t retries_ = 0;
  };

  void Arrive()
  {
    for (int i = 0; i < 20; ++i) {
      waiting_.push_back({ Fingerprint{ ++lastFingerprint_ },
                           static_cast<std::size_t>(random_.Below(3)) });
    }
    // The caller of the crasher always retries it.
    const bool absent = std::none_of(
      waiting_.begin(), waiting_.end(), [](const Request& aRequest) {
        return aRequest.fingerprint_ == kCrasher;
      });
    if (absent && !crasherRuns_) {
      waiting_.push_back(
        { kCrasher, static_cast<std::size_t>(random_.Below(3)) });
    }
  }

  void StartAll()
  {
    std::deque<Request> later;
    for (const Request& request : waiting_) {
      Quarantine& guard = instances_.at(request.instance_);
      if (guard.Judge(request.fingerprint_, clock_.Now()).refused_) {
        result_.innocentsRefused_ += request.fingerprint_ == kCrasher ? 0 : 1;
        continue;
      }
      const std::size_t upstream = random_.Below(kUpstreams);
      if (running_.at(upstream).size() >= kSlots ||
          clock_.Now() < downUntil_.at(upstream) ||
          !guard.MayStart(
            request.fingerprint_, Upstream(upstream), clock_.Now())) {
        later.push_back(request);
        continue;
      }
      guard.OnSent(Upstream(upstream), request.fingerprint_, clock_.Now());
      crasherRuns_ = crasherRuns_ || request.fingerprint_ == kCrasher;
      running_.at(upstream).push_back(request);
    }
    waiting_ = std::move(later);
  }

  void Serve()
  {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      const std::vector<Request> batch = std::move(running_.at(i));
      running_.at(i).clear();
      const bool dies =
        std::any_of(batch.begin(), batch.end(), [](const Request& aRequest) {
          return aRequest.fingerprint_ == kCrasher;
        });
      if (dies) {
        ++result_.crashes_;
        downUntil_.at(i) = clock_.Now() + std::chrono::seconds(2);
      }
      for (Request request : batch) {
        dies ? Break(i, request) : Complete(i, request);
      }
      crasherRuns_ = crasherRuns_ && !dies;
    }
  }

  void Break(std::size_t aUpstream, Request& aRequest)
  {
    Share(
      aRequest,
      instances_.at(aRequest.instance_)
        .OnBroken(Upstream(aUpstream), aRequest.fingerprint_, clock_.Now()));
    if (aRequest.fingerprint_ != kCrasher) {
      ++result_.innocentRetries_;
      ++aRequest.retries_;
      result_.maxRetries_ = std::max(result_.maxRetries_, aRequest.retries_);
      waiting_.push_front(aRequest);
    }
  }

  void Complete(std::size_t aUpstream, const Request& aRequest)
  {
    Share(aRequest,
          instances_.at(aRequest.instance_)
            .OnCompleted(Upstream(aUpstream), aRequest.fingerprint_));
  }

  void Share(const Request& aRequest,
             const std::vector<SuspicionUpdate>& aUpdates)
  {
    const auto decoded = DecodeSuspicionUpdates(Encode(aUpdates));
    REQUIRE(decoded);
    for (const SuspicionUpdate& update : decoded.value()) {
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (i != aRequest.instance_) {
          instances_.at(i).OnUpdate(update, clock_.Now());
        }
      }
    }
  }

  Random random_;
  ManualClock clock_;
  std::array<Quarantine, 3> instances_;
  std::array<std::vector<Request>, kUpstreams> running_;
  std::array<TimePoint, kUpstreams> downUntil_;
  std::deque<Request> waiting_;
  std::uint64_t lastFingerprint_ = 100;
  bool crasherRuns_ = false;
  FleetResult result_;
};

} // namespace

TEST_CASE("a request that crashes its upstreams is refused after two crashes")
{
  std::uint64_t retries = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const FleetResult result = Fleet(seed).Run();
    CHECK(result.crashes_ == 2);
    CHECK(result.innocentsRefused_ == 0);
    CHECK(result.maxRetries_ <= 2);
    retries += result.innocentRetries_;
  }
  WARN("20 fleets: 2 crashes each, " << retries << " innocents retried, "
                                     << "none refused");
}

TEST_CASE("requests broken by one crash count one crash each and run isolated")
{
  Quarantine guard;
  ManualClock clock;
  const Fingerprint other{ 2 };
  for (const Fingerprint fingerprint : { kCrasher, other }) {
    guard.OnSent(Upstream(1), fingerprint, clock.Now());
    guard.OnSent(Upstream(1), fingerprint, clock.Now());
  }
  for (const Fingerprint fingerprint : { kCrasher, other }) {
    static_cast<void>(guard.OnBroken(Upstream(1), fingerprint, clock.Now()));
    static_cast<void>(guard.OnBroken(Upstream(1), fingerprint, clock.Now()));
    CHECK(guard.Judge(fingerprint, clock.Now()).isolated_);
  }
  guard.OnSent(Upstream(2), kCrasher, clock.Now());
  CHECK_FALSE(guard.MayStart(other, Upstream(2), clock.Now()));
  CHECK(guard.UpstreamsToAvoid(other) == std::vector{ Upstream(2) });
  CHECK(guard.MayStart(other, Upstream(3), clock.Now()));
  // A suspect runs at one upstream at a time.
  CHECK_FALSE(guard.MayStart(kCrasher, Upstream(3), clock.Now()));
  // Upstreams assigned to another instance are excluded at first.
  guard.SetOthersUpstreams({ Upstream(3) });
  CHECK_FALSE(guard.MayStart(other, Upstream(3), clock.Now()));
  clock.Advance(std::chrono::seconds(1));
  CHECK(guard.MayStart(other, Upstream(3), clock.Now()));
  CHECK(guard.OnCompleted(Upstream(2), kCrasher).front().cleared_);
  CHECK_FALSE(guard.Judge(kCrasher, clock.Now()).isolated_);
}

TEST_CASE(
  "a quarantine names the upstreams, expires, and doubles when repeated")
{
  Quarantine guard;
  ManualClock clock;
  const auto crash = [&](std::size_t aUpstream) {
    clock.Advance(std::chrono::milliseconds(1));
    guard.OnSent(Upstream(aUpstream), kCrasher, clock.Now());
    return guard.OnBroken(Upstream(aUpstream), kCrasher, clock.Now());
  };
  static_cast<void>(crash(1));
  const auto updates = crash(2);
  auto verdict = guard.Judge(kCrasher, clock.Now());
  CHECK(verdict.refused_);
  CHECK(verdict.reason_.find("u1, u2") != std::string::npos);
  CHECK(verdict.retryAfter_ == std::chrono::minutes(10));
  // An instance that observed neither crash refuses the request as well.
  Quarantine elsewhere;
  elsewhere.OnUpdate(updates.front(), clock.Now());
  CHECK(elsewhere.Judge(kCrasher, clock.Now()).refused_);
  clock.Advance(std::chrono::minutes(11));
  CHECK_FALSE(guard.Judge(kCrasher, clock.Now()).refused_);
  CHECK(guard.Judge(kCrasher, clock.Now()).isolated_);
  static_cast<void>(crash(3));
  verdict = guard.Judge(kCrasher, clock.Now());
  CHECK(verdict.refused_);
  CHECK(verdict.retryAfter_ == std::chrono::minutes(20));
}

TEST_CASE("retries are limited to a fraction of successes")
{
  const ServiceId service{ "s" };
  RetryBudget budget({ 0.2, 3, 5 });
  for (int i = 0; i < 3; ++i) {
    CHECK(budget.Take(service));
  }
  CHECK_FALSE(budget.Take(service));
  CHECK(budget.Take(ServiceId{ "other" }));
  for (int i = 0; i < 5; ++i) {
    budget.OnSuccess(service);
  }
  CHECK(budget.Take(service));
  CHECK_FALSE(budget.Take(service));
  for (int i = 0; i < 1000; ++i) {
    budget.OnSuccess(service);
  }
  CHECK(budget.Left(service) == Approx(5));
}
