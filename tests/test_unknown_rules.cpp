/// Entry and control daemons that have not read any rules yet.

#include "gateway_fixture.hpp"
#include "programs/controld/trainer_service.hpp"
#include "programs/entryd/entry.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const TrainerId kTrainer{ "t" };

/// Settings of a process whose store is unreachable.
DaemonSettings
UnreachableStoreSettings()
{
  DaemonSettings settings;
  settings.instance_ = "self";
  settings.zone_ = "z";
  settings.store_ = "http://127.0.0.1:1";
  return settings;
}

/// Sets rules without services, models and trainers, as read from the store.
void
SetEmptyRules(Host& aHost)
{
  auto rules = std::make_shared<Rules>();
  rules->revision_ = ConfigRevision{ 1 };
  aHost.ClusterState().SetRules(std::move(rules));
}

std::shared_ptr<FakeReply>
Post(Host& aHost, const std::string& aPath, const std::string& aBody)
{
  HttpRequest request;
  request.method_ = "POST";
  request.path_ = aPath;
  request.body_ = aBody;
  auto reply = std::make_shared<FakeReply>();
  aHost.onHttp_(std::move(request), reply);
  return reply;
}

} // namespace

// Guards against final 404 answers ("unknown service", "unknown model",
// "unknown trainer") for things that exist, on which callers and trainers stop
// retrying. They occur if an entry process accepts requests before it has read
// any rules and treats unread rules as empty rules.
TEST_CASE("an entry answers 503 rather than 404 until it has read the rules")
{
  Host host(UnreachableStoreSettings(), "marjoram-entryd", "entry");
  const Entry entry(host);
  const auto [path, body] = GENERATE(table<std::string, std::string>({
    { "/v1/services/echo/x", "y" },
    { "/v1/completions", R"({"model":"m","prompt":"p"})" },
    { "/v1/trainers/t/close", R"({"step":1})" },
  }));
  const auto early = Post(host, path, body);
  REQUIRE(early->status_ == 503);
  REQUIRE(FindHeader(early->headers_, "Retry-After").has_value());
  REQUIRE(FindHeader(early->headers_, kOutcomeHeader) ==
          ToString(Outcome::RefusedNotRun));
  SetEmptyRules(host);
  REQUIRE(Post(host, path, body)->status_ == 404);
}

// Guards against a final 404 answer ("unknown trainer") for a trainer that the
// rules contain. It occurs if the control process that owns the trainer
// restarts, receives a request before it has read any rules and treats unread
// rules as empty rules: the entry process forwards its answer as final.
TEST_CASE(
  "a control process reports no unknown trainer until it has read the rules")
{
  Host host(UnreachableStoreSettings(), "marjoram-controld", "control");
  Owners owners(host);
  TrainerService trainers(host, owners);
  InstanceRecord self;
  self.id_ = InstanceId{ "self" };
  host.ClusterState().Start(self);
  StoreRecord owner;
  owner.key_ = std::string(kOwnerPrefix) + "trainer/" + kTrainer.Get();
  owner.value_ = R"({"owner":"self","rpc":"a:1"})";
  host.ClusterState().Records().onRecords_({ { owner.key_, owner } });
  const auto close = [&] {
    std::optional<ErrorKind> error;
    trainers.Serve(
      { kTrainer, CloseStep{ StepId{ 1 } } },
      "",
      [&error](const RpcReply& aReply) { error = aReply.error().kind_; });
    return error;
  };
  REQUIRE(close() == ErrorKind::Unavailable);
  SetEmptyRules(host);
  REQUIRE(close() == ErrorKind::NotFound);
}
