/// Stand-in of live callers: an open-loop load at a fixed rate. A call that
/// fails is sent again until its deadline, as calls are idempotent.

#include "standins/balancer.hpp"

#include <filesystem>
#include <thread>

namespace marjoramtally::standin {

namespace {

constexpr std::uint64_t kMaxCalls = 1'000'000;

/// Makes one call and records whether it was answered before its deadline.
void
MakeCall(const Options& aOptions,
         Balancer& aBalancer,
         Recorder& aRecorder,
         TraceWriter& aTraces,
         std::uint64_t aNumber)
{
  const SystemClock clock;
  const TimePoint deadline =
    clock.Now() + std::chrono::milliseconds(aOptions.deadlineMillis_);
  const std::string body = "subscriber-" + std::to_string(aNumber);
  // The caller is the first hop: its span has no parent.
  Span span = StartSpan({ TraceContext::Fresh().traceId_, "" }, "caller");
  bool answered = false;
  while (!answered && clock.Now() < deadline) {
    HttpCall call;
    call.method_ = "POST";
    call.url_ = "/v1/services/" + aOptions.model_ + "/lookup";
    call.body_ = body;
    call.timeout_ = deadline - clock.Now();
    call.headers_.push_back({ "traceparent", span.context_.Format() });
    const HttpResult result = aBalancer.Send(std::move(call));
    const Json reply = Json::parse(result.response_.body_, nullptr, false);
    answered = result.end_ == HttpEnd::Complete &&
               result.response_.status_ == 200 && reply.is_object() &&
               reply.value("echo", "") == body;
  }
  span.attributes_["answered"] = answered ? "yes" : "no";
  aTraces.End(std::move(span));
  aRecorder.Write({ { "kind", "live" },
                    { "number", aNumber },
                    { "late", !answered || clock.Now() > deadline } });
}

} // namespace

int
RunCallers(const Options& aOptions)
{
  Balancer balancer(aOptions.entries_);
  Recorder recorder(aOptions.recordFile_);
  TraceWriter traces(aOptions.traceFile_, "caller/" + aOptions.name_);
  const Duration interval{ 1'000'000 /
                           std::max<std::uint64_t>(aOptions.rate_, 1) };
  constexpr std::size_t kWorkers = 16;
  std::atomic<std::uint64_t> next{ 0 };
  const auto start = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (auto number = next++; number < kMaxCalls; number = next++) {
      std::this_thread::sleep_until(start + interval * number);
      if (std::filesystem::exists(aOptions.stopFile_)) {
        return;
      }
      MakeCall(aOptions, balancer, recorder, traces, number);
    }
  };
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    workers.emplace_back(work);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return kExitOk;
}

} // namespace marjoramtally::standin
