/// A job runner on fakes with one kind of job: its items, their score calls
/// and its records in the store.
#pragma once

#include "gateway_fixture.hpp"
#include "programs/gatewayd/job_runner.hpp"

#include <catch2/catch.hpp>

namespace marjoramtally::test {

using namespace std::chrono_literals;

inline const JobId kJob{ "job1" };

[[nodiscard]] inline std::string
Event(int aId, const std::string& aData)
{
  return "id: " + std::to_string(aId) + "\ndata: " + aData + "\n\n";
}

struct JobFixture : GatewayFakes
{
  RouteTable routes_;
  Forwarder forwarder_{ context_, upstreamTable_ };
  JobStore jobs_{ context_ };
  JobRunner runner_{ context_, routes_, upstreamTable_, forwarder_, jobs_ };
  FencingNumber fence_;
  JobSubmissionRecord submission_{ "h", "/i/job", "body" };

  explicit JobFixture(int aUpstreams = 2, bool aKnowsRoutes = true)
  {
    if (aKnowsRoutes) {
      routes_.Apply(Config(1));
    }
    for (int i = 0; i < aUpstreams; ++i) {
      AddUpstream("e" + std::to_string(i), "lm", 5);
    }
    AddUpstream("p0", "plain");
    AddUpstream("p1", "plain");
  }

  /// Routes for items and for their score calls.
  static RoutingConfig Config(std::uint64_t aRevision,
                              std::uint32_t aMaxAttempts = 2)
  {
    RoutingConfig config;
    config.revision_ = ConfigRevision{ aRevision };
    Route items;
    items.host_ = "h";
    items.prefix_ = "/i/";
    items.kind_ = RouteKind::Rollout;
    items.maxAttempts_ = aMaxAttempts;
    items.runDeadline_ = 8s;
    items.maxQueue_ = 40s;
    items.services_ = { { ServiceId{ "lm" }, 1 } };
    Route scores;
    scores.host_ = "h";
    scores.prefix_ = "/s/";
    scores.maxAttempts_ = 2;
    scores.timeout_ = 3s;
    scores.services_ = { { ServiceId{ "plain" }, 1 } };
    config.routes_ = { items, scores };
    return config;
  }

  static JobSpec MakeSpec(int aItems)
  {
    JobSpec spec;
    spec.model_ = "m";
    spec.minVersion_ = WeightVersion{ 5 };
    for (int i = 0; i < aItems; ++i) {
      JobItem item;
      item.id_ = ItemId{ "item" + std::to_string(i) };
      item.group_ = GroupId{ "g" };
      item.path_ = "/i/" + std::to_string(i);
      item.score_ = ScoreCall{
        RequestId{ "score" + std::to_string(i) }, "h", "/s/1", "sb"
      };
      spec.items_.push_back(std::move(item));
    }
    return spec;
  }

  /// Accepts a job in the store and starts it.
  void Accept(int aItems) { Accept(MakeSpec(aItems)); }
  void Accept(JobSpec aSpec)
  {
    jobs_.Accept(
      kJob, submission_, aSpec.items_.size(), [this](AcceptResult aResult) {
        REQUIRE(aResult.outcome_ == AcceptOutcome::Accepted);
        fence_ = aResult.fence_;
      });
    timers_.Advance(10ms);
    runner_.Add(kJob, fence_, submission_, std::move(aSpec), {}, {}, {});
  }

  /// Applies a configuration that allows one weight version per text.
  void RequireSingleVersion()
  {
    RoutingConfig config = Config(2);
    config.routes_.front().singleVersion_ = true;
    routes_.Apply(std::move(config));
    runner_.OnUpstreamsChanged();
  }

  SentCall Call(std::size_t aIndex = 0) { return client_.open_.at(aIndex); }

  HttpResponse Stream(const SentCall& aCall,
                      const std::string& aEvents,
                      std::uint64_t aVersion = 5)
  {
    HttpResponse response = Answer(aCall, 200, aEvents);
    response.headers_.push_back(
      { platform_->Names().versions_, std::to_string(aVersion) });
    return response;
  }

  /// Sends events of a stream without ending it.
  void Begin(const SentCall& aCall,
             const std::string& aEvents,
             std::uint64_t aVersion = 5)
  {
    const HttpResponse response = Stream(aCall, aEvents, aVersion);
    aCall.call_.onHead_(response.status_, response.headers_);
    static_cast<void>(aCall.call_.onData_(response.body_));
  }

  void CompleteItem()
  {
    const SentCall call = Call();
    client_.Answer(call, Stream(call, Event(1, "a") + Event(2, "b")));
  }

  void CompleteScore()
  {
    const auto found = std::find_if(
      client_.open_.begin(), client_.open_.end(), [](const SentCall& aCall) {
        return aCall.call_.url_.find("/s/1") != std::string::npos;
      });
    REQUIRE(found != client_.open_.end());
    const SentCall call = *found;
    client_.Answer(call, Answer(call, 200, "ok"));
  }

  std::vector<JobResult> Stored()
  {
    std::vector<StoreRecord> records;
    for (const auto& [key, record] : store_.records_) {
      if (key.starts_with(job_keys::Results(kJob))) {
        records.push_back(record);
      }
    }
    return JoinResults(kJob, records).value();
  }

  std::string Header(const SentCall& aCall, const std::string& aName)
  {
    return std::string(FindHeader(aCall.call_.headers_, aName).value_or(""));
  }
};

} // namespace marjoramtally::test
