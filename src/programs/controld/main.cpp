/// The control daemon: keeps trainers' sample ledgers, sends orders to engines
/// and allocates engines to their users.

#include "programs/controld/allocation_service.hpp"
#include "programs/controld/order_service.hpp"
#include "programs/controld/trainer_service.hpp"

#include "marjoramtally/runtime/program.hpp"

namespace {

using namespace marjoramtally;

void
ServeRpc(TrainerService& aTrainers, RpcCall aCall, RpcDone aDone)
{
  if (aCall.topic_ != RpcTopic::Trainer) {
    aDone(Error{ ErrorKind::BadInput, "control does not serve this topic" });
    return;
  }
  auto request = DecodeTrainerRequest(aCall.body_);
  if (!request) {
    aDone(request.error());
    return;
  }
  aTrainers.Serve(std::move(request).value(),
                  std::move(aCall.traceparent_),
                  std::move(aDone));
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  ReturnLargeBlocks();
  int code = kExitOk;
  auto settings = StartDaemon(
    aArgc,
    aArgv,
    "marjoram-controld",
    "Keeps trainers' samples and orders engines to weight versions.",
    code);
  if (!settings) {
    return code;
  }
  BlockStopSignals();
  Host host(std::move(*settings), "marjoram-controld", "control");
  Owners owners(host);
  TrainerService trainers(host, owners);
  OrderService orders(host, owners);
  AllocationService allocation(host, owners);
  host.onRpc_ = [&trainers](RpcCall aCall, RpcDone aDone) {
    ServeRpc(trainers, std::move(aCall), std::move(aDone));
  };
  host.onHttp_ = [](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
    aReply->Send(
      ErrorResponse(404, "not_found", "no route for " + aRequest.path_));
  };
  const auto started = host.Start();
  if (!started) {
    LogEvent(LogLevel::Error,
             "start_failed",
             { { "error", started.error().message_ } });
    return kExitFailed;
  }
  trainers.Start();
  orders.Start();
  allocation.Start();
  host.RunUntilStopped([&trainers] { return trainers.Busy(); });
  return kExitOk;
}
