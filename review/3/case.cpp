/// The store goes down while it carries out the acceptance of a batch job: it
/// resets its connections, also that of the call that it has just carried out,
/// and answers 503 for some seconds. Checks that the batch job does not run if
/// each attempt of the client was refused.

#include "../jobs.hpp"

namespace {

using namespace review;

constexpr const char* kJob = "9d03c1aa52d6a3f8";
constexpr double kDownSeconds = 3.5;
constexpr int kAttempts = 2; // the first and one retry, as on the sheet
constexpr double kWatchSeconds = 12;

bool
IsAcceptance(const Request& request)
{
  if (request.path_ != "/kv-txn") {
    return false;
  }
  const Json body = Json::parse(request.body_);
  for (const Json& write : body.at("writes")) {
    if (write.at("key").get<std::string>().find(kJob) != std::string::npos) {
      return true;
    }
  }
  return false;
}

bool
IsRefusal(int status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

int
main(int argc, char** argv)
{
  const Setup setup = ReadSetup(argc, argv);
  Recorder record(setup.record_);
  record.Line("trouble: %s", setup.trouble_ ? "yes" : "no");
  Deployment deployment(setup, record, Millis(40));
  std::atomic<bool> struck{ false };
  Store& store = deployment.store_;
  store.fault_ = [&](const Request& request) {
    if (store.down_) {
      if (IsAcceptance(request)) {
        record.Line("store gets a write of job %s and answers 503", kJob);
      }
      return StoreFault::Busy;
    }
    if (!setup.trouble_ || struck || !IsAcceptance(request) ||
        struck.exchange(true)) {
      return StoreFault::None;
    }
    store.down_ = true;
    record.Line("store carries out a write of job %s, resets its connections "
                "and answers 503 for %.1f s",
                kJob,
                kDownSeconds);
    std::thread([&] {
      Sleep(kDownSeconds);
      store.down_ = false;
      record.Line("store serves again");
    }).detach();
    return StoreFault::DoneThenReset;
  };
  deployment.Start(Config(1, 40));

  const Json job = Job({ { "item-1", "g1" },
                         { "item-2", "g1" },
                         { "item-3", "g2" },
                         { "item-4", "g2" } },
                       2);
  int refused = 0;
  int accepted = 0;
  for (int i = 0; i < kAttempts; ++i) {
    const Response answer = Submit(deployment.daemons_[i]->Front(), kJob, job);
    record.Line("client submits job %s at %s: %d %s%s",
                kJob,
                deployment.daemons_[i]->Name().c_str(),
                answer.status_,
                answer.body_.c_str(),
                answer.error_.c_str());
    if (answer.status_ == 202) {
      ++accepted;
      break;
    }
    refused += IsRefusal(answer.status_) ? 1 : 0;
    const std::string pause = answer.Header("retry-after");
    Sleep(pause.empty() ? 0.2 : std::atof(pause.c_str()));
  }
  record.Line("client is done: %d of its attempts were refused", refused);
  Sleep(kWatchSeconds);

  std::size_t runs = 0;
  for (const auto& sampler : deployment.samplers_) {
    for (const Run& run : sampler->Runs()) {
      runs += run.attempt_.rfind("item-", 0) == 0 ? 1 : 0;
    }
  }
  record.Line("samplers have run items of the job %zu times", runs);
  if (accepted > 0 && runs == 0) {
    deployment.End(2, "could not run: an accepted job was not run");
  }
  if (refused == kAttempts && runs > 0) {
    record.Line("BROKEN (REFUSED): every attempt was refused, and items ran");
    deployment.End(1, "broken: REFUSED");
  }
  deployment.End(0, "held");
}
