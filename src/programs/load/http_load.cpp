#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/program.hpp"
#include "programs/load/experiments.hpp"
#include "programs/load/load_options.hpp"
#include "programs/load/load_report.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace marjoramtally {

namespace {

/// Time that a call waits for an answer beyond its deadline.
constexpr auto kAnswerGrace = std::chrono::seconds(2);

/// @returns the body that identifies a call of a load
std::string
BodyOf(std::uint64_t aSeed, std::size_t aNumber)
{
  return "load-" + std::to_string(aSeed) + "-" + std::to_string(aNumber);
}

/// Makes the planned calls and records the outcome of each.
class LoadRun
{
public:
  explicit LoadRun(const LoadOptions& aOptions)
    : options_(aOptions)
    , client_(HttpClient::Create(aOptions.threads_))
  {
    load_.spec_ = aOptions.spec_;
    load_.calls_ = PlanCalls(aOptions.spec_);
    load_.outcomes_.resize(load_.calls_.size());
  }

  LoadOutcome Run()
  {
    std::thread faults([this] { InjectFaults(); });
    if (options_.inFlight_ > 0) {
      RunClosed();
    } else {
      RunOpen();
    }
    while (finished_ < load_.calls_.size()) {
      finished_.wait(finished_);
    }
    load_.took_ = SinceStart();
    faults.join();
    client_.reset();
    return std::move(load_);
  }

private:
  [[nodiscard]] Duration SinceStart() const { return clock_.Now() - start_; }

  /// Open loop: calls start at their planned times, whether or not earlier
  /// ones were answered.
  void RunOpen()
  {
    for (std::size_t i = 0; i < load_.calls_.size(); ++i) {
      const Duration early = load_.calls_[i].at_ - SinceStart();
      if (early > Duration::zero()) {
        std::this_thread::sleep_for(early);
      }
      if (started_ - finished_ >= kMaxInFlight) {
        ++started_;
        Finish(i, CallEnd::NotStarted);
        continue;
      }
      Start(i);
    }
  }

  /// Closed loop: each answer starts the next call.
  void RunClosed()
  {
    for (std::uint64_t i = 0; i < options_.inFlight_; ++i) {
      StartNext();
    }
  }

  void StartNext()
  {
    const std::size_t number = next_++;
    if (number < load_.calls_.size()) {
      load_.calls_[number].at_ = SinceStart();
      Start(number);
    }
  }

  void Start(std::size_t aNumber)
  {
    ++started_;
    client_->Send(MakeCall(aNumber), [this, aNumber](HttpResult aResult) {
      const CallEnd end = Classify(aNumber, aResult);
      if (options_.inFlight_ > 0) {
        StartNext();
      }
      Finish(aNumber, end);
    });
  }

  [[nodiscard]] HttpCall MakeCall(std::size_t aNumber) const
  {
    const PlannedCall& planned = load_.calls_[aNumber];
    const LoadClass& loadClass = options_.spec_.classes_[planned.class_];
    HttpCall call;
    call.method_ = "POST";
    call.url_ = options_.urls_[aNumber % options_.urls_.size()];
    call.body_ = BodyOf(options_.spec_.seed_, aNumber);
    call.timeout_ = loadClass.deadline_ + kAnswerGrace;
    call.headers_ = { { "X-Class", loadClass.name_ },
                      { "X-Deadline", FormatDuration(loadClass.deadline_) } };
    if (!planned.idempotent_) {
      call.headers_.push_back({ "Idempotency-Key", call.body_ });
    }
    return call;
  }

  CallEnd Classify(std::size_t aNumber, const HttpResult& aResult)
  {
    const PlannedCall& planned = load_.calls_[aNumber];
    const Duration took = SinceStart() - planned.at_;
    load_.outcomes_[aNumber].took_ = took;
    if (aResult.end_ == HttpEnd::NotSent) {
      return CallEnd::Refused;
    }
    if (aResult.end_ != HttpEnd::Complete) {
      return CallEnd::Unknown;
    }
    const HttpResponse& response = aResult.response_;
    if (response.status_ != 200) {
      const auto outcome = FindHeader(response.headers_, kOutcomeHeader);
      return outcome == ToString(Outcome::RefusedNotRun) ? CallEnd::Refused
                                                         : CallEnd::Unknown;
    }
    const std::string echo = '"' + BodyOf(options_.spec_.seed_, aNumber) + '"';
    if (response.body_.find(echo) == std::string::npos) {
      return CallEnd::Wrong;
    }
    const Duration limit = options_.spec_.classes_[planned.class_].deadline_;
    return took <= limit ? CallEnd::InTime : CallEnd::Late;
  }

  void Finish(std::size_t aNumber, CallEnd aEnd)
  {
    load_.outcomes_[aNumber].end_ = aEnd;
    ++finished_;
    finished_.notify_one();
  }

  void InjectFaults()
  {
    const auto client = HttpClient::Create(1);
    for (const PlannedFault& fault : options_.plannedFaults_) {
      std::this_thread::sleep_for(fault.at_ - SinceStart());
      HttpCall call;
      call.method_ = "POST";
      call.url_ = "http://" + fault.address_ + "/faults";
      call.body_ = fault.body_;
      const HttpResult result = SendAndWait(*client, std::move(call));
      if (result.end_ != HttpEnd::Complete || result.response_.status_ != 200) {
        std::cerr << "marjoram-load: " << fault.address_
                  << " rejected the fault: " << result.message_
                  << result.response_.body_ << '\n';
      }
    }
  }

  const LoadOptions& options_;
  SystemClock clock_;
  TimePoint start_ = clock_.Now();
  LoadOutcome load_;
  std::atomic<std::size_t> next_{ 0 };
  std::atomic<std::uint64_t> started_{ 0 };
  std::atomic<std::uint64_t> finished_{ 0 };
  std::unique_ptr<HttpClient> client_;
};

} // namespace

int
RunHttpLoad(int aArgc, char** aArgv)
{
  LoadOptions options;
  std::optional<int> code;
  if (!ParseLoadOptions(aArgc, aArgv, options, code)) {
    return code.value_or(kExitBadInput);
  }
  LoadOutcome load = LoadRun(options).Run();
  if (!options.records_.empty()) {
    load.check_ =
      CheckRecords(load, options.records_, [&](std::size_t aNumber) {
        return BodyOf(options.spec_.seed_, aNumber);
      });
  }
  std::cout << (options.json_ ? FormatLoadJson(load) + "\n"
                              : FormatLoadTable(load));
  const bool wrong = std::any_of(load.outcomes_.begin(),
                                 load.outcomes_.end(),
                                 [](const CallOutcome& aOutcome) {
                                   return aOutcome.end_ == CallEnd::Wrong;
                                 });
  const bool contradicted =
    load.check_ && load.check_->runTwice_ + load.check_->refusedRun_ > 0;
  return wrong || contradicted ? kExitFailed : kExitOk;
}

} // namespace marjoramtally
