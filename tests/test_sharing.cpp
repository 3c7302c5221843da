#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

const ServiceId kService{ "s" };

TimePoint
At(std::int64_t aMillis)
{
  return TimePoint{ std::chrono::milliseconds(aMillis) };
}

/// Creates requests of one service with increasing tickets.
class Requests
{
public:
  QueuedRequest Make(RequestClass aClass,
                     std::uint64_t aTokens,
                     TimePoint aDeadline = kNever,
                     const std::string& aTrainer = "")
  {
    QueuedRequest request;
    request.ticket_ = TicketId{ ++last_ };
    request.spec_.service_ = kService;
    request.spec_.class_ = aClass;
    request.spec_.outputTokens_ = aTokens;
    request.spec_.deadline_ = aDeadline;
    request.spec_.trainer_ = TrainerId{ aTrainer };
    return request;
  }

private:
  std::uint64_t last_ = 0;
};

bool
IsQueued(const AdmissionVerdict& aVerdict)
{
  return aVerdict.kind_ == AdmissionVerdict::Kind::Queued;
}

/// Dispatches the next request and completes it after `aTook`.
/// @returns its class; nothing if none may be dispatched
std::optional<RequestClass>
RunNext(Admission& aAdmission, TimePoint aNow, Duration aTook)
{
  const QueuedRequest* next = aAdmission.Next(kService, aNow);
  if (next == nullptr) {
    return std::nullopt;
  }
  const QueuedRequest request = *next;
  aAdmission.Dispatch(request.ticket_, aNow);
  aAdmission.Complete(
    request.ticket_, request.spec_.outputTokens_, aNow + aTook);
  return request.spec_.class_;
}

} // namespace

TEST_CASE(
  "live requests go first by deadline, up to the queue limit of the class")
{
  AdmissionSettings settings;
  settings.classes_[0].queue_ = 2;
  Admission admission(settings);
  Requests make;
  CHECK(IsQueued(
    admission.Enqueue(make.Make(RequestClass::Trainer, 1, kNever, "t"), {})));
  const QueuedRequest late = make.Make(RequestClass::Live, 1, At(900));
  const QueuedRequest soon = make.Make(RequestClass::Live, 1, At(500));
  CHECK(IsQueued(admission.Enqueue(late, {})));
  CHECK(IsQueued(admission.Enqueue(soon, {})));
  CHECK(admission.Enqueue(make.Make(RequestClass::Live, 1), {}).kind_ ==
        AdmissionVerdict::Kind::QueueFull);
  CHECK(admission.Next(kService, {})->ticket_ == soon.ticket_);
  admission.Stall(soon.ticket_);
  CHECK(admission.Next(kService, {})->spec_.class_ == RequestClass::Trainer);
  admission.Resume(kService);
  admission.Dispatch(soon.ticket_, {});
  CHECK(admission.Next(kService, {})->ticket_ == late.ticket_);
}

TEST_CASE("trainers leave the reserve of live callers free")
{
  Admission admission;
  Requests make;
  admission.SetCapacity(kService, 10);
  for (int i = 0; i < 20; ++i) {
    CHECK(IsQueued(admission.Enqueue(
      make.Make(RequestClass::Trainer, 10, kNever, "t"), {})));
  }
  std::vector<TicketId> started;
  while (const QueuedRequest* next = admission.Next(kService, {})) {
    started.push_back(next->ticket_);
    admission.Dispatch(started.back(), {});
  }
  CHECK(started.size() == 9);
  CHECK(IsQueued(admission.Enqueue(make.Make(RequestClass::Live, 1), {})));
  CHECK(admission.Next(kService, {})->spec_.class_ == RequestClass::Live);
}

TEST_CASE("background requests go last but keep their share")
{
  Admission admission;
  Requests make;
  for (int i = 0; i < 200; ++i) {
    const bool quiet = i < 20;
    CHECK(IsQueued(admission.Enqueue(
      make.Make(quiet ? RequestClass::Background : RequestClass::Trainer,
                10,
                kNever,
                "t"),
      {})));
  }
  int background = 0;
  for (int i = 0; i < 100; ++i) {
    background +=
      RunNext(admission, {}, {}) == RequestClass::Background ? 1 : 0;
  }
  CHECK(background == 2);
}

TEST_CASE("trainers share by weight regardless of request length")
{
  AdmissionSettings settings;
  Admission admission(settings);
  Requests make;
  const std::array<std::string, 3> names{ "a", "b", "c" };
  const std::array<std::uint64_t, 3> lengths{ 1000, 100, 100 };
  std::array<double, 3> done{};
  admission.SetWeight(kService, TrainerId{ "c" }, 2);
  for (std::size_t i = 0; i < names.size(); ++i) {
    for (int k = 0; k < 2000; ++k) {
      // All request the same number of tokens; the number they generate differs
      // and is learned.
      CHECK(IsQueued(admission.Enqueue(
        make.Make(RequestClass::Trainer, 1000, kNever, names.at(i)), {})));
    }
  }
  for (int i = 0; i < 3000; ++i) {
    const QueuedRequest next = *admission.Next(kService, {});
    const std::size_t who = next.spec_.trainer_.Get().at(0) - 'a';
    admission.Dispatch(next.ticket_, {});
    admission.Complete(next.ticket_, lengths.at(who), {});
    done.at(who) += static_cast<double>(lengths.at(who));
  }
  const double all = done[0] + done[1] + done[2];
  CHECK(done[0] / all == Approx(0.25).epsilon(0.05));
  CHECK(done[1] / all == Approx(0.25).epsilon(0.05));
  CHECK(done[2] / all == Approx(0.50).epsilon(0.05));
}

TEST_CASE("a trainer accumulates no credit while it is idle")
{
  FairQueue queue(FairQueueSettings{});
  std::uint64_t ticket = 0;
  const auto push = [&](const char* aFlow) {
    queue.Push({ TicketId{ ++ticket }, FlowId{ aFlow }, 10 }, {});
  };
  for (int i = 0; i < 100; ++i) {
    push("busy");
    const TicketId next = *queue.Next({});
    queue.Dispatch(next);
    queue.Complete(next, 10, {});
  }
  for (int i = 0; i < 4; ++i) {
    push("busy");
    push("idle");
  }
  int early = 0;
  for (int i = 0; i < 4; ++i) {
    const TicketId next = *queue.Next({});
    early += next.Get() % 2 == 0 ? 1 : 0;
    queue.Dispatch(next);
    queue.Complete(next, 10, {});
  }
  CHECK(early == 2);
}

TEST_CASE("a throttled flow waits for the lagging flow until that one is idle")
{
  FairQueueSettings settings;
  settings.throttle_ = 50;
  settings.anticipation_ = std::chrono::milliseconds(100);
  settings.blockingAnticipation_ = std::chrono::milliseconds(20);
  FairQueue queue(settings);
  queue.Push({ TicketId{ 1 }, FlowId{ "slow" }, 1 }, At(0));
  queue.Dispatch(TicketId{ 1 });
  for (std::uint64_t i = 2; i < 20; ++i) {
    queue.Push({ TicketId{ i }, FlowId{ "eager" }, 20 }, At(0));
  }
  int started = 0;
  while (const auto next = queue.Next(At(0))) {
    queue.Dispatch(*next);
    ++started;
  }
  CHECK(started == 3);
  queue.Complete(TicketId{ 1 }, 1, At(10));
  CHECK_FALSE(queue.Next(At(29)).has_value());
  CHECK(queue.Next(At(30)).has_value());
}

TEST_CASE("throttled flows cannot block each other after a correction")
{
  FairQueueSettings settings;
  settings.throttle_ = 50;
  FairQueue queue(settings);
  queue.Push({ TicketId{ 1 }, FlowId{ "a" }, 1 }, {});
  queue.Push({ TicketId{ 2 }, FlowId{ "a" }, 1 }, {});
  queue.Push({ TicketId{ 3 }, FlowId{ "b" }, 100 }, {});
  queue.Push({ TicketId{ 4 }, FlowId{ "b" }, 100 }, {});
  queue.Dispatch(TicketId{ 1 });
  queue.Dispatch(TicketId{ 3 });
  queue.Complete(TicketId{ 1 }, 1000, {});
  queue.Complete(TicketId{ 3 }, 100, {});
  CHECK(queue.Next({}) == TicketId{ 4 });
}

TEST_CASE(
  "a request that would miss its deadline is refused with a correct retry time")
{
  Admission admission;
  Requests make;
  const TimePoint far = At(1'000'000);
  for (int i = 0; i < 220; ++i) {
    CHECK(
      IsQueued(admission.Enqueue(make.Make(RequestClass::Live, 10, far), {})));
  }
  // 10 tokens per 10 ms are 1,000 tokens per second; 100 requests remain.
  for (int i = 0; i < 120; ++i) {
    CHECK(RunNext(admission, At(10 * i), std::chrono::milliseconds(10)));
  }
  const TimePoint now = At(1200);
  const auto judged = [&](std::int64_t aMillis) {
    return admission.Enqueue(
      make.Make(
        RequestClass::Live, 10, now + std::chrono::milliseconds(aMillis)),
      now);
  };
  const AdmissionVerdict refused = judged(600);
  CHECK(refused.kind_ == AdmissionVerdict::Kind::WouldBeLate);
  CHECK(refused.wait_ / std::chrono::milliseconds(1) ==
        Approx(1000).margin(50));
  CHECK(refused.retryAfter_ / std::chrono::milliseconds(1) ==
        Approx(410).margin(50));
  CHECK(IsQueued(judged(1200)));
  // After that time without other arrivals the same request is queued.
  TimePoint later = now;
  while (later < now + refused.retryAfter_) {
    CHECK(RunNext(admission, later, std::chrono::milliseconds(10)));
    later = later + std::chrono::milliseconds(10);
  }
  CHECK(IsQueued(admission.Enqueue(
    make.Make(RequestClass::Live, 10, later + std::chrono::milliseconds(650)),
    later)));
}

TEST_CASE("a request expires as soon as it can no longer meet its deadline")
{
  Admission admission;
  Requests make;
  for (int i = 0; i < 30; ++i) {
    CHECK(IsQueued(admission.Enqueue(make.Make(RequestClass::Live, 10), {})));
    CHECK(RunNext(admission, At(i * 100), std::chrono::milliseconds(100)));
  }
  const TimePoint now = At(3000);
  const QueuedRequest request =
    make.Make(RequestClass::Live, 10, now + std::chrono::milliseconds(500));
  CHECK(IsQueued(admission.Enqueue(request, now)));
  CHECK(admission.Expire(now + std::chrono::milliseconds(390)).empty());
  const auto expired = admission.Expire(now + std::chrono::milliseconds(410));
  REQUIRE(expired.size() == 1);
  CHECK(expired.front().ticket_ == request.ticket_);
  CHECK(admission.size() == 0);
}

TEST_CASE("class limits are parsed, and rejected where they do not apply")
{
  const auto merged = MergeRulesFiles(
    { { "a.ini",
        "[class live]\nreserve = 25\n[class background]\nshare = 5\n" } });
  REQUIRE(merged);
  const auto rules = BuildRules(merged.value());
  REQUIRE(rules);
  CHECK(rules.value().classes_[0].reserve_ == 25);
  CHECK(rules.value().classes_[2].share_ == 5);
  const auto wrong = MergeRulesFiles(
    { { "a.ini",
        "[class trainer]\nreserve = 25\n[class other]\nqueue = 1\n" } });
  REQUIRE(wrong);
  const auto findings = BuildRules(wrong.value());
  REQUIRE_FALSE(findings);
  CHECK(findings.error().Items().size() == 2);
}
