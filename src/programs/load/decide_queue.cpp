/// The scenario `queue`: measures the real time that one request spends in
/// queue operations (enqueue, next, dispatch, complete) while others wait.

#include "programs/load/decide.hpp"

#include "marjoramtally/process.hpp"

#include <array>
#include <chrono>

namespace marjoramtally::bench {

namespace {

constexpr std::array<std::uint64_t, 3> kWaiting{ 10, 1'000, 100'000 };
constexpr std::uint64_t kRounds = 50'000;
constexpr std::uint64_t kTrainers = 12;
constexpr std::uint64_t kClassesInTurn = 14;
const ServiceId kQueueService{ "bench" };

/// Makes requests of twelve trainers, a live and a background caller in turn.
QueuedRequest
MakeRequest(std::uint64_t aNumber, TimePoint aNow, Random& aRandom)
{
  QueuedRequest request;
  request.ticket_ = TicketId{ aNumber };
  RequestSpec& spec = request.spec_;
  spec.service_ = kQueueService;
  spec.model_ = "model";
  spec.outputTokens_ = 1 + aRandom.Below(1000);
  spec.deadline_ =
    aNow + std::chrono::hours(1) + Duration(aRandom.Below(1'000'000));
  const std::uint64_t turn = aNumber % kClassesInTurn;
  if (turn < kTrainers) {
    spec.class_ = RequestClass::Trainer;
    spec.trainer_ = TrainerId{ "trainer-" + std::to_string(turn) };
  } else {
    spec.class_ =
      turn == kTrainers ? RequestClass::Live : RequestClass::Background;
  }
  return request;
}

double
NanosPerRequest(std::uint64_t aWaiting, std::uint64_t aSeed)
{
  AdmissionSettings settings;
  settings.earlyRefusal_ = false;
  Admission admission(settings);
  Random random(aSeed);
  std::uint64_t number = 0;
  TimePoint now;
  const auto enqueue = [&] {
    static_cast<void>(
      admission.Enqueue(MakeRequest(++number, now, random), now));
  };
  while (number < aWaiting) {
    enqueue();
  }
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < kRounds; ++i) {
    now = now + Duration(10);
    enqueue();
    const QueuedRequest* next = admission.Next(kQueueService, now);
    const TicketId ticket = next->ticket_;
    const std::uint64_t tokens = next->spec_.outputTokens_;
    admission.Dispatch(ticket, now);
    admission.Complete(ticket, tokens, now);
  }
  const auto took = std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::steady_clock::now() - start);
  return static_cast<double>(took.count()) / static_cast<double>(kRounds);
}

} // namespace

DecideRows
RunQueueScenario(const DecideOptions& aOptions)
{
  DecideRows rows;
  for (const std::uint64_t waiting : kWaiting) {
    DecideRow row;
    row.policy_ = std::to_string(waiting) + " waiting";
    row.decisionNanos_ = NanosPerRequest(waiting, aOptions.seed_);
    rows.push_back(row);
  }
  return rows;
}

} // namespace marjoramtally::bench
