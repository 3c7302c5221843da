/// A front machine loses power for good right after it has accepted a step,
/// while it had no other job.

#include "../kit-2.hpp"

using namespace kit;

namespace {

constexpr int kFronts = 9;
constexpr double kContact = 3000;
/// A trainer gives a step up this long after it was first submitted.
constexpr double kDeadline = 12000;
/// An item that is at no sampler for this long when its step runs out of time
/// breaks the rule.
constexpr double kAtNone = 5000;
/// The machine loses power this long after it has accepted the step; the pages
/// say within 4 ms.
constexpr double kUntilLoss = 3;
/// Without a job, a process renews its sign of life seldom.
constexpr double kIdle = 6000;
constexpr int kGroups = 16;
constexpr int kGroupItems = 8;

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::string folder = aArgc > 1 ? aArgv[1] : ".";
  const std::string work = aArgc > 2 ? aArgv[2] : "/tmp";
  Record record(folder + "/record.txt");
  Store store;
  // Which machine's write made a job known to the store.
  std::mutex mutex;
  std::map<std::string, std::string> takers;
  store.onCall_ =
    [&](const std::string& aMachine, const Message& aRequest, Socket&) {
      if (aRequest.target_ == "/kv-txn") {
        const std::lock_guard lock(mutex);
        for (const char* job : { "warm", "step" }) {
          if (aRequest.body_.find(job) != std::string::npos) {
            takers.emplace(job, aMachine);
          }
        }
      }
      return true;
    };
  std::condition_variable renewed;
  std::string renewer;
  store.onKeep_ = [&](const std::string& aMachine, std::uint64_t) {
    const std::lock_guard lock(mutex);
    renewer = aMachine;
    renewed.notify_all();
  };
  store.Put("op/config", MakeConfig(1).dump());
  std::vector<std::unique_ptr<Sampler>> samplers;
  for (int i = 0; i < 13; ++i) {
    SamplerOptions options;
    options.id_ = "i-s" + std::to_string(i);
    options.zone_ = "z" + std::to_string(i % 4 + 1);
    options.service_ = i < 9 ? "notes-lm" : "pitlog-app";
    options.events_ = 25;
    options.pace_ = 20;
    if (i < 9) {
      options.models_ = { "m0" };
    }
    samplers.push_back(
      std::make_unique<Sampler>(store, std::move(options), record));
  }
  std::vector<Front> fronts;
  for (int i = 0; i < kFronts; ++i) {
    fronts.push_back(MakeFront(store,
                               work,
                               "front-" + std::to_string(i + 1),
                               "z" + std::to_string(i % 4 + 1)));
    fronts.back().Start();
  }
  for (const Front& front : fronts) {
    if (!front.WaitReady(20000)) {
      Finish(record, 2, "a gateway did not get ready");
    }
  }
  Sleep(kContact);

  // An earlier step shows which machine takes the trainer's steps.
  const Message warm = Call("127.0.0.1",
                            fronts[0].front_,
                            JobPost("warm", MakeJob("warm", 0, 1, 4)));
  if (warm.status_ != 202) {
    Finish(record, 2, "the first step was not accepted");
  }
  Sleep(3000);
  const Message ended = Call("127.0.0.1",
                             fronts[0].front_,
                             { "DELETE",
                               "/lots/warm",
                               0,
                               { { "Host", "pits.example" } },
                               "",
                               false,
                               "" });
  record.Line("the first step ended: " + std::to_string(ended.status_));
  Sleep(kIdle);
  Front* taker = nullptr;
  for (Front& front : fronts) {
    if (front.name_ == takers["warm"]) {
      taker = &front;
    }
  }
  if (taker == nullptr) {
    Finish(record, 2, "no machine took the first step");
  }
  const std::string body = MakeJob("step", 1, kGroups, kGroupItems);
  {
    std::unique_lock lock(mutex);
    renewer.clear();
    renewed.wait(lock, [&] { return renewer == taker->name_; });
  }
  const double submitted = Now();
  record.Line("trainer submits the step to " + taker->name_);
  const Message answer =
    Call("127.0.0.1", taker->front_, JobPost("step", body));
  const double accepted = Now();
  if (!IsCalm()) {
    Sleep(kUntilLoss);
    taker->process_->Signal(SIGKILL);
  }
  record.Line("trainer got " + std::to_string(answer.status_) +
              (IsCalm() ? "" : "; " + taker->name_ + " lost power for good"));
  if (answer.status_ != 202 || takers["step"] != taker->name_) {
    Finish(record, 2, "the step was not accepted by " + taker->name_);
  }
  // The trainer reads at other machines until the step is read or its time is
  // up.
  Front* reader = taker == &fronts[0] ? &fronts[1] : &fronts[0];
  std::size_t read = 0;
  double wholeAt = 0;
  while (Now() < submitted + kDeadline) {
    const Message page =
      Call("127.0.0.1", reader->front_, JobRead("step", read, 500), 2500);
    if (page.status_ == 200) {
      read = Json::parse(page.body_).at("next").get<std::size_t>();
    }
    if (read == kGroups * kGroupItems) {
      wholeAt = Now() - submitted;
      break;
    }
    Sleep(100);
  }
  const double end = submitted + kDeadline;
  Sleep(end + 4000 - Now());

  // Items that no sampler had finished and that were at none in the last 5 s.
  std::map<std::string, std::vector<Arrival>> items;
  for (const auto& sampler : samplers) {
    for (const Arrival& arrival : sampler->Arrivals()) {
      if (arrival.id_.starts_with("step")) {
        items[arrival.id_].push_back(arrival);
      }
    }
  }
  int begun = 0;
  int left = 0;
  double again = 0;
  for (int i = 0; i < kGroups * kGroupItems; ++i) {
    const std::string id = "stepg" + std::to_string(i / kGroupItems) + "i" +
                           std::to_string(i % kGroupItems);
    bool finished = false;
    bool at = false;
    for (const Arrival& arrival : items[id]) {
      const double until = arrival.endedAt_ == 0 ? Now() : arrival.endedAt_;
      begun += arrival.at_ < accepted + 1000 ? 1 : 0;
      finished |= arrival.finished_ && arrival.endedAt_ <= end;
      at |= arrival.at_ <= end && until >= end - kAtNone;
      if (arrival.at_ > accepted + 1000 && (again == 0 || arrival.at_ < again)) {
        again = arrival.at_;
      }
    }
    left += !finished && !at ? 1 : 0;
  }
  const std::string figures =
    std::to_string(left) + " of " + std::to_string(kGroups * kGroupItems) +
    " items, finished by no sampler, were at none in the last 5 s of their "
    "step; " +
    std::to_string(begun) + " had begun at once; " + std::to_string(read) +
    " results read" +
    (wholeAt > 0 ? " after " + std::to_string(static_cast<int>(wholeAt)) + " ms"
                 : "") +
    (again > 0 ? "; items were sent again " +
                   std::to_string(static_cast<int>(again - submitted)) +
                   " ms after the submission"
               : "");
  Finish(record, left > 0 && begun > 0 ? 1 : 0, figures);
}
