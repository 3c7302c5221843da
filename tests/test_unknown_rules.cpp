/// The daemons of the product's own interface before they know any rules.

#include "gateway_fixture.hpp"
#include "programs/controld/trainer_service.hpp"
#include "programs/entryd/entry.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

const TrainerId kTrainer{ "t" };

/// A process that nobody serves: its store cannot be reached.
DaemonSettings
UnreachableStoreSettings()
{
  DaemonSettings settings;
  settings.instance_ = "self";
  settings.zone_ = "z";
  settings.store_ = "http://127.0.0.1:1";
  return settings;
}

/// Rules that name nothing.
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

// Callers and trainers of services that there are read 404, "unknown service",
// "unknown model", "unknown trainer", and gave up. The order: an entry started,
// opened its door, and its first callers came before it had read any rules.
// Cause: rules that were not read yet are rules that name nothing.
TEST_CASE("an entry that knows no rules yet denies nothing")
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

// A trainer read 404, "unknown trainer", though the rules had named it all day.
// The order: the control process that owns it started again and was asked
// before it had read any rules; the entry passed its answer on as final.
// Cause: as above.
TEST_CASE("a control process that knows no rules yet denies no trainer")
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
