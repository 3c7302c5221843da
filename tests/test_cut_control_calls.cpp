/// Responses to calls of the entry and control daemons that are cut within
/// their heads or bodies, received by the real HTTP client.

#include "control_fixture.hpp"
#include "daemon/instance_list.hpp"
#include "log_capture.hpp"
#include "programs/controld/order_sender.hpp"
#include "programs/entryd/completions.hpp"
#include "programs/entryd/in_flight_request.hpp"
#include "programs/entryd/live_messages.hpp"
#include "programs/entryd/report_poller.hpp"
#include "programs/entryd/stream_relay.hpp"
#include "socket_answer.hpp"

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

const std::string kReport = R"({"running":1,"queued":2,"models":{"m":3}})";

/// @returns beginnings of responses, of successes and of refusals
std::vector<std::string>
CutResponses()
{
  auto all = CutAnswersOf({ 200, 400, 409, 500, 503 });
  const std::string refusal =
    "HTTP/1.1 503 x\r\n" + std::string(kOutcomeHeader) + ": " +
    std::string(ToString(Outcome::RefusedNotRun)) + "\r\n";
  all.push_back(refusal);
  all.push_back(refusal + "Content-Length: 2\r\n");
  all.push_back(refusal + "Content-Length: 2\r\n\r\n{");
  return all;
}

HttpResult
ResultOf(const std::string& aBytes, HttpCall aCall = {})
{
  const CuttingServer server(aBytes);
  const auto client = HttpClient::Create(1);
  aCall.url_ = "http://upstream:1/";
  return SendAndWait(*client, RedirectedTo(server.Address(), std::move(aCall)));
}

InFlightRequest
MakeInFlight(ResponseClassifier aClassify)
{
  InFlightRequest request{ {}, {}, {}, {}, Attempts{ 1 }, {}, {}, {} };
  request.classify_ = std::move(aClassify);
  return request;
}

} // namespace

// Half a head of any status was a complete success.
TEST_CASE("an attempt whose response is cut may have run")
{
  const std::string bytes = GENERATE(from_range(CutResponses()));
  CAPTURE(bytes);
  HttpResult result = ResultOf(bytes);
  CHECK(ClassifyAttempt(MakeInFlight(ClassifyPlainResponse), result) ==
        AttemptEnd::MaybeRun);
  CHECK(ClassifyAttempt(MakeInFlight(ClassifyCompletion), result) ==
        AttemptEnd::MaybeRun);
}

TEST_CASE("a stream whose response is cut may have run and is not complete")
{
  const std::string bytes = GENERATE(from_range(CutResponses()));
  CAPTURE(bytes);
  FakeClient unused;
  const auto reply = std::make_shared<FakeReply>();
  const auto relay = std::make_shared<StreamRelay>(unused, reply, "{}");
  HttpCall call;
  call.method_ = "POST";
  relay->Prepare(call);
  HttpResult result = ResultOf(bytes, std::move(call));
  CHECK(relay->Classify(result) == AttemptEnd::MaybeRun);
  CHECK(reply->beginCalls_ == 0);
}

TEST_CASE("a load report that is cut is none")
{
  const std::string bytes = GENERATE(from_range(CutAnswers(200, kReport)));
  CAPTURE(bytes);
  CHECK_FALSE(ReadReport(ResultOf(bytes)));
}

// Half a head of a refusal was an order that had been carried out.
TEST_CASE("an order of the control daemon with a cut response is unknown")
{
  const std::string bytes =
    GENERATE(from_range(CutAnswersOf({ 200, 409, 500, 503 })));
  CAPTURE(bytes);
  const CuttingServer server(bytes);
  auto rules = std::make_shared<Rules>();
  rules->revision_ = ConfigRevision{ 1 };
  const UpstreamId upstream{ "u" };
  rules->upstreams_[upstream].id_ = upstream;
  rules->upstreams_[upstream].address_ = server.Address();
  ControlProcess process(rules);
  OrderSender sender(process.host_);
  SendOrder order;
  order.upstream_ = upstream;
  order.sendBy_ = kNever;
  std::promise<OrderEnd> end;
  sender.Send(order, [&end](OrderEnd aEnd) { end.set_value(aEnd); });
  CHECK(end.get_future().get() == OrderEnd::Unknown);
  std::promise<bool> read;
  sender.Read(upstream, [&read](const std::optional<UpstreamState>& aState) {
    read.set_value(aState.has_value());
  });
  CHECK_FALSE(read.get_future().get());
  process.host_.TimerQueue().Stop();
}

TEST_CASE("an instance list that is cut is not read")
{
  const std::string bytes =
    GENERATE(from_range(CutAnswers(200, R"({"instances":[]})")));
  CAPTURE(bytes);
  DaemonSettings settings;
  settings.instanceList_ = "http://list:1/instances";
  FakeClient client;
  Timers timers;
  Metrics metrics;
  GossipService gossip(timers, metrics);
  InstanceListReader reader(settings, client, timers, gossip);
  const LogCapture log;
  reader.Start();
  REQUIRE(client.open_.size() == 1);
  EndWithBytes(client, client.Oldest(), bytes);
  CHECK(log.Contains("event=instance_list_failed"));
  timers.Stop();
}
