/// A request that crashes its samplers keeps coming while the front machines
/// are stopped and started in turn.

#include "../kit-2.hpp"

using namespace kit;

namespace {

constexpr int kFronts = 6;
constexpr double kContact = 3000;
/// The culprit comes this often, at the machines in turn.
constexpr double kPoisonPeriod = 2000;
/// Ordinary requests come this often; the culprit is 2.5 in 100 of all.
constexpr double kOrdinaryPeriod = 50;
/// A machine is stopped this long after the one before.
constexpr double kRollPeriod = 14000;
/// From the culprit's visit to a machine until that is stopped.
constexpr double kRollPhase = 3700;
/// A sampler that was crashed is back after this.
constexpr double kDown = 3000;
/// Milliseconds from the arrival of the culprit to the crash.
constexpr double kBegin = 20;
constexpr std::size_t kAllowedRetries = 3;

struct Machine
{
  Front front_;
  /// Since when its process runs without a signal.
  std::atomic<double> calmSince_{ 0 };
  std::atomic<bool> up_{ false };
};

struct Attempt
{
  int machine_ = 0;
  double sentAt_ = 0;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::string folder = aArgc > 1 ? aArgv[1] : ".";
  const std::string work = aArgc > 2 ? aArgv[2] : "/tmp";
  Record record(folder + "/record.txt");
  Store store;
  store.Put("op/config", MakeConfig(1).dump());
  std::vector<std::unique_ptr<Sampler>> samplers;
  std::mutex mutex;
  std::vector<double> crashes;
  for (int i = 0; i < 4; ++i) {
    SamplerOptions options;
    options.id_ = "i-app" + std::to_string(i);
    options.service_ = "pitlog-app";
    options.zone_ = "z" + std::to_string(i % 3 + 1);
    options.slots_ = 6;
    samplers.push_back(
      std::make_unique<Sampler>(store, std::move(options), record));
    Sampler* self = samplers.back().get();
    self->onRequest_ =
      [&, self](Socket&, const Message& aRequest) -> std::optional<bool> {
      if (aRequest.body_ != "deadly") {
        return std::nullopt;
      }
      Sleep(kBegin);
      if (self->IsUp()) {
        {
          const std::lock_guard lock(mutex);
          crashes.push_back(Now());
        }
        self->Crash(kDown);
      }
      return false;
    };
  }
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 0; i < kFronts; ++i) {
    machines.push_back(std::make_unique<Machine>());
    machines.back()->front_ = MakeFront(store,
                                        work,
                                        "front-" + std::to_string(i + 1),
                                        "z" + std::to_string(i / 2 + 1));
    machines.back()->front_.Start();
  }
  for (const auto& machine : machines) {
    if (!machine->front_.WaitReady(20000)) {
      Finish(record, 2, "a gateway did not get ready");
    }
    machine->calmSince_ = Now();
    machine->up_ = true;
  }
  Sleep(kContact + 500);

  // Ordinary callers.
  std::atomic<bool> stop{ false };
  std::atomic<int> served{ 0 };
  std::atomic<int> asked{ 0 };
  std::thread ordinary([&] {
    for (int i = 0; !stop; ++i) {
      Sleep(kOrdinaryPeriod);
      std::thread([&, i] {
        const Machine& machine = *machines[static_cast<std::size_t>(i) %
                                           machines.size()];
        if (!machine.up_) {
          return;
        }
        ++asked;
        const Message answer =
          Call("127.0.0.1",
               machine.front_.front_,
               { "POST",
                 "/tally/" + std::to_string(i),
                 0,
                 { { "Host", "pits.example" },
                   { "Attempt-Id", "o" + std::to_string(i) },
                   { "Deadline-Ms", "1500" } },
                 "ordinary",
                 false,
                 "" },
               2000);
        served += answer.status_ == 200 ? 1 : 0;
      }).detach();
    }
  });
  // The culprit: the same path, caller and body, at any machine; its client
  // tries a second time at another machine, unless it is told to wait.
  std::map<std::string, Attempt> attempts;
  const auto send = [&](int aMachine, const std::string& aId) {
    const Machine& machine = *machines[static_cast<std::size_t>(aMachine)];
    {
      const std::lock_guard lock(mutex);
      attempts[aId] = { aMachine, Now() };
    }
    record.Line("client sends deadly id=" + aId + " to " +
                machine.front_.name_);
    const Message answer = Call("127.0.0.1",
                                machine.front_.front_,
                                { "POST",
                                  "/tally/deadly",
                                  0,
                                  { { "Host", "pits.example" },
                                    { "Attempt-Id", aId },
                                    { "Deadline-Ms", "1500" } },
                                  "deadly",
                                  false,
                                  "" },
                                2000);
    const std::string wait = Find(answer.headers_, "Retry-After");
    record.Line("client got " + std::to_string(answer.status_) + " " +
                answer.error_ + " for id=" + aId + " retry-after=" + wait);
    return wait.empty() || std::stod(wait) < 0.5;
  };
  const double begin = Now();
  std::thread culprit([&] {
    for (int visit = 0; !stop; ++visit) {
      Sleep(begin + visit * kPoisonPeriod - Now());
      const int machine = visit % kFronts;
      const std::string id = "x" + std::to_string(visit);
      if (machines[static_cast<std::size_t>(machine)]->up_ &&
          send(machine, id)) {
        static_cast<void>(send((machine + 1) % kFronts, id + "b"));
      }
    }
  });

  // Until the third crash is long enough ago.
  const double found = Now() + 20000;
  double third = 0;
  while (third == 0 && Now() < found) {
    Sleep(50);
    const std::lock_guard lock(mutex);
    if (crashes.size() >= 3) {
      third = crashes[2];
    }
  }
  if (third == 0) {
    Finish(record, 2, "the request did not crash three samplers");
  }
  Sleep(begin + kFronts * kPoisonPeriod + kRollPhase - Now());
  record.Line(IsCalm() ? "calm: no machine is stopped"
                       : "the machines are stopped and started in turn");
  const double roll = Now();
  int rolled = 0;
  for (const auto& machine : machines) {
    Sleep(roll + kRollPeriod * rolled++ - Now());
    if (IsCalm()) {
      continue;
    }
    machine->up_ = false;
    machine->calmSince_ = 1e18;
    record.Line("SIGTERM to " + machine->front_.name_);
    machine->front_.process_->Signal(SIGTERM);
    const double limit = Now() + 8000;
    while (machine->front_.process_->IsAlive() && Now() < limit) {
      Sleep(20);
    }
    machine->front_.process_->Kill();
    Sleep(300);
    machine->front_.Start();
    if (!machine->front_.WaitReady(10000)) {
      Finish(record, 2, "a gateway did not come back");
    }
    machine->calmSince_ = Now();
    machine->up_ = true;
    record.Line(machine->front_.name_ + " is back");
  }
  Sleep(11000);
  stop = true;
  culprit.join();
  ordinary.join();
  Sleep(500);

  // Retries that reached samplers later than `contact_ms` after the third
  // crash, sent by machines in touch: no signal or start in `contact_ms`.
  // Machines are restarted only once, so the last calm start tells.
  std::set<std::string> late;
  std::set<std::string> all;
  for (const auto& sampler : samplers) {
    for (const Arrival& arrival : sampler->Arrivals()) {
      if (arrival.request_.body_ != "deadly") {
        continue;
      }
      all.insert(arrival.id_);
      const Attempt attempt = attempts[arrival.id_];
      const double calm =
        machines[static_cast<std::size_t>(attempt.machine_)]->calmSince_;
      const bool before = arrival.at_ < calm - 100;
      const bool inTouch = !before && arrival.at_ - calm >= kContact;
      if (arrival.at_ > third + kContact && inTouch) {
        late.insert(arrival.id_);
        record.Line("LATE: id=" + arrival.id_ + " reached " +
                    arrival.sampler_ + " at " + std::to_string(arrival.at_) +
                    " from front-" + std::to_string(attempt.machine_ + 1));
      }
    }
  }
  const std::string figures =
    std::to_string(late.size()) + " retries reached samplers later than " +
    "contact_ms after the third crash, from machines in touch (" +
    std::to_string(kAllowedRetries) + " allowed); " +
    std::to_string(all.size()) + " of " + std::to_string(attempts.size()) +
    " attempts reached samplers, " + std::to_string(crashes.size()) +
    " crashes; " + std::to_string(served) + " of " + std::to_string(asked) +
    " ordinary requests served";
  Finish(record, late.size() > kAllowedRetries ? 1 : 0, figures);
}
