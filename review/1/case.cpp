/// Another writer leaves an entry under `servers/` whose field `models` has
/// another type. Checks that the entry names no sampler and the daemons go on:
/// no process ends by itself, and requests in progress get their answers.

#include "../jobs.hpp"

namespace {

using namespace review;

constexpr const char* kJob = "b1f3e09b52d6a3f8";
constexpr int kClients = 8;
/// The longest time that a plain request of the sheet takes.
constexpr Millis kWork{ 1500 };
constexpr Millis kDeadline{ 3000 };
/// Depth of the arrays in `models`; the entry has about 400 KB, a value may
/// have 1,048,576 bytes.
constexpr std::size_t kDepth = 200000;
constexpr double kRestartDelay = 0.5; // seconds
constexpr double kWatchSeconds = 8;
/// More requests than this break the rule.
constexpr int kLostAllowed = 3;

std::string
ForeignEntry(const Sampler& sampler)
{
  Json entry = sampler.Entry();
  entry["address"] = "127.0.0.1:9";
  entry["models"] = "@";
  std::string text = entry.dump();
  return text.replace(
    text.find("\"@\""), 3, std::string(kDepth, '[') + std::string(kDepth, ']'));
}

struct Sent
{
  std::string attempt_;
  Response response_;
  double seconds_ = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  const Setup setup = ReadSetup(argc, argv);
  Recorder record(setup.record_);
  record.Line("trouble: %s", setup.trouble_ ? "yes" : "no");
  requireFencing = false; // as on the sheet of gods-shotgen
  Deployment deployment(setup, record, Millis(100));
  Sampler::Options slow;
  slow.id_ = "i-plain-1";
  slow.service_ = "slow";
  slow.work_ = kWork;
  deployment.samplers_.push_back(std::make_unique<Sampler>(slow, record));
  Json config = Config(1, 40);
  config["routes"].push_back({ { "name", "render" },
                               { "host", kHost },
                               { "prefix", "/lohu930/" },
                               { "service", "slow" },
                               { "kind", "non_idempotent" },
                               { "timeout_ms", 3000 },
                               { "slo_ms", 2000 },
                               { "max_attempts", 2 },
                               { "priority", 2 } });
  config["services"].push_back({ { "name", "slow" },
                                 { "health_check", "/healthz" },
                                 { "max_conns", 100 } });
  deployment.Start(config);
  auto& daemons = deployment.daemons_;

  const Response accepted =
    Submit(daemons[0]->Front(),
           kJob,
           Job({ { "long-1", "g1" }, { "long-2", "g1" } }, 1));
  record.Line("trainer submits a batch job: %d", accepted.status_);
  if (accepted.status_ != 202) {
    deployment.End(2, "could not run: the batch job was not accepted");
  }

  // Each client makes two requests on its connection; the entry is written
  // while the second is in progress.
  std::mutex mutex;
  std::vector<Sent> second;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Daemon& gateway = *daemons[i % 2];
      const auto connection = Connect(gateway.Front());
      for (int k = 1; connection && k <= 2; ++k) {
        Sent sent;
        sent.attempt_ = "a" + std::to_string(k) + "-" + std::to_string(i);
        const double at = record.Seconds();
        connection->Write(
          WriteRequest("POST",
                       "/lohu930/" + sent.attempt_,
                       { { "Host", kHost },
                         { "Attempt-Id", sent.attempt_ },
                         { "Deadline-Ms", std::to_string(kDeadline.count()) } },
                       "a body"));
        sent.response_ = connection->ReadResponse(Clock::now() + kDeadline);
        sent.seconds_ = record.Seconds() - at;
        record.Line("client gets for %s from %s after %.3f s: %d %s",
                    sent.attempt_.c_str(),
                    gateway.Name().c_str(),
                    sent.seconds_,
                    sent.response_.status_,
                    sent.response_.error_.c_str());
        const std::lock_guard lock(mutex);
        if (k == 2) {
          second.push_back(sent);
        } else if (sent.response_.status_ != 200) {
          return;
        }
      }
    });
  }
  Sleep(0.001 * kWork.count() + 0.7);
  if (setup.trouble_) {
    const std::string entry = ForeignEntry(*deployment.samplers_[0]);
    deployment.store_.PutBytes("servers/i-foreign", entry);
    record.Line("another writer writes servers/i-foreign: %zu bytes, `models` "
                "is arrays in arrays",
                entry.size());
  }

  // A process that ends is restarted after a short delay.
  std::vector<int> ends(daemons.size(), 0);
  std::vector<double> restartAt(daemons.size(), 0);
  const double until = record.Seconds() + kWatchSeconds;
  while (record.Seconds() < until) {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (restartAt[i] == 0 && daemons[i]->Ended()) {
        ++ends[i];
        restartAt[i] = record.Seconds() + kRestartDelay;
        record.Line("%s has ended by itself (%d), signal %d",
                    daemons[i]->Name().c_str(),
                    ends[i],
                    daemons[i]->EndSignal());
      } else if (restartAt[i] != 0 && record.Seconds() >= restartAt[i]) {
        restartAt[i] = 0;
        daemons[i]->Start();
      }
    }
    Sleep(0.02);
  }
  for (std::thread& client : clients) {
    client.join();
  }

  std::set<std::string> passedOn;
  for (const Run& run : deployment.samplers_.back()->Runs()) {
    passedOn.insert(run.attempt_);
  }
  int lost = 0;
  for (const Sent& sent : second) {
    const bool timeOver = sent.seconds_ >= 0.001 * kDeadline.count() - 0.05;
    if (sent.response_.status_ == 0 && !timeOver &&
        passedOn.count(sent.attempt_) != 0) {
      ++lost;
      record.Line(
        "%s was passed on and its connection closed without an answer",
        sent.attempt_.c_str());
    }
  }
  int machines = 0;
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    machines += ends[i] >= 3 ? 1 : 0;
  }
  const Response page = Call(daemons[0]->Front(),
                             "GET",
                             "/lots/" + std::string(kJob) + "?after=0",
                             { { "Host", kHost } },
                             "",
                             Millis(2000));
  record.Line("reader of the batch job gets: %d %s %s",
              page.status_,
              page.error_.c_str(),
              page.body_.substr(0, 100).c_str());
  record.Line(
    "%d requests lost; %d machines on which a process ended by itself "
    "three times or more",
    lost,
    machines);
  if (static_cast<int>(second.size()) < kClients) {
    deployment.End(2, "could not run: a first request failed");
  }
  if (lost > kLostAllowed) {
    deployment.End(1, "broken: LOST");
  }
  deployment.End(machines >= 2 ? 1 : 0,
                 machines >= 2 ? "broken: Fault" : "held");
}
