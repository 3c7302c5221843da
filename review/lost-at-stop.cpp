/// A gateway is stopped with SIGTERM while clients keep connections to it.
/// Checks that each request that it read and passed on gets a whole answer, but
/// for those that the rule excuses.

#include "kit.hpp"

namespace {

using namespace review;

constexpr const char* kHost = "ficu95.example";
constexpr double kGrace = 8.0; // seconds, `grace_s`
constexpr int kClients = 13;
constexpr double kInterval = 0.5; // between the clients' second requests
constexpr Millis kWork{ 1500 };   // the longest of the sheet's plain requests
constexpr Millis kDeadline{ 3000 };
/// Requests sent up to this long after the signal may be cut if their sampler
/// is still at work in the last sixth of the grace period.
constexpr double kExcusedUntil = 3.0;

Json
Config()
{
  const Json route{ { "name", "summary" },
                    { "host", kHost },
                    { "prefix", "/lohu930/" },
                    { "service", "app" },
                    { "kind", "non_idempotent" },
                    { "timeout_ms", 3000 },
                    { "slo_ms", 2000 },
                    { "max_attempts", 2 },
                    { "priority", 2 } };
  return { { "version", 1 },
           { "routes", { route } },
           { "services",
             { { { "name", "app" },
                 { "health_check", "/healthz" },
                 { "max_conns", 96 } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 33554432 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

struct Sent
{
  std::string attempt_;
  double at_ = 0;
  double endedAt_ = 0;
  Response response_;
  bool notSent_ = false;
};

Sent
Ask(Connection& connection, const std::string& attempt, Recorder& record)
{
  Sent sent;
  sent.attempt_ = attempt;
  if (connection.PeerGone()) {
    sent.notSent_ = true;
    record.Line("client finds its connection closed and sends %s elsewhere",
                attempt.c_str());
    return sent;
  }
  sent.at_ = record.Seconds();
  record.Line("client sends %s on its kept connection", attempt.c_str());
  connection.Write(
    WriteRequest("POST",
                 "/lohu930/" + attempt,
                 { { "Host", kHost },
                   { "Attempt-Id", attempt },
                   { "Deadline-Ms", std::to_string(kDeadline.count()) } },
                 "a body"));
  sent.response_ = connection.ReadResponse(Clock::now() + kDeadline);
  sent.endedAt_ = record.Seconds();
  record.Line("client gets for %s after %.3f s: %d %s%s",
              attempt.c_str(),
              sent.endedAt_ - sent.at_,
              sent.response_.status_,
              sent.response_.closes_ ? "(Connection: close) " : "",
              sent.response_.error_.c_str());
  return sent;
}

} // namespace

int
main(int argc, char** argv)
{
  const Setup setup = ReadSetup(argc, argv);
  Recorder record(setup.record_);
  record.Line("trouble: %s", setup.trouble_ ? "yes" : "no");
  Store store;
  std::vector<std::unique_ptr<Sampler>> samplers;
  for (int i = 0; i < 2; ++i) {
    Sampler::Options options;
    options.id_ = "i-plain-" + std::to_string(i);
    options.service_ = "app";
    options.work_ = kWork;
    samplers.push_back(std::make_unique<Sampler>(options, record));
    store.Put("servers/" + options.id_, samplers.back()->Entry());
  }
  store.Put("op/config", Config());
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 0; i < 2; ++i) {
    daemons.push_back(
      std::make_unique<Daemon>(setup.target_ + "/marjoram-gatewayd",
                               "front-" + std::to_string(i + 1),
                               "z1",
                               store.Address(),
                               setup.work_));
    daemons.back()->Start();
  }
  for (const auto& daemon : daemons) {
    if (!daemon->WaitReady(Millis(10000))) {
      Finish(2, "could not run: a gateway is not ready", record, daemons);
    }
  }
  Sleep(2);

  // Each client makes one request before the signal and one after it, on the
  // same connection, which is idle for at most 9 s (four fifths of
  // `idle_timeout_ms` are 12 s).
  std::mutex mutex;
  std::vector<Sent> second;
  std::atomic<double> signalAt{ 0 };
  std::atomic<int> warm{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto connection = Connect(daemons[0]->Front());
      if (!connection) {
        return;
      }
      const std::string name = std::to_string(i + 1);
      const Sent first = Ask(*connection, "before-" + name, record);
      if (first.response_.status_ != 200 || first.response_.closes_) {
        return;
      }
      ++warm;
      while (signalAt == 0) {
        Sleep(0.01);
      }
      Sleep(signalAt + kInterval * (i + 1) - record.Seconds());
      const Sent sent = Ask(*connection, "after-" + name, record);
      const std::lock_guard lock(mutex);
      second.push_back(sent);
    });
  }
  Sleep(3);
  if (warm != kClients) {
    Finish(2, "could not run: a first request failed", record, daemons);
  }
  if (setup.trouble_) {
    daemons[0]->Signal(SIGTERM);
    record.Line("front-1 gets SIGTERM");
  }
  signalAt = record.Seconds();
  for (std::thread& client : clients) {
    client.join();
  }
  record.Line("front-1 has %s", daemons[0]->Ended() ? "ended" : "not ended");

  std::set<std::string> passedOn;
  for (const auto& sampler : samplers) {
    for (const Run& run : sampler->Runs()) {
      passedOn.insert(run.attempt_);
    }
  }
  int lost = 0;
  int answered = 0;
  for (const Sent& sent : second) {
    if (sent.notSent_) {
      continue;
    }
    if (sent.response_.status_ != 0) {
      ++answered;
      continue;
    }
    const double after = sent.at_ - signalAt;
    const bool timeOver =
      sent.endedAt_ - sent.at_ >= 0.001 * kDeadline.count() - 0.05;
    const bool excused =
      after <= kExcusedUntil && sent.endedAt_ - signalAt >= kGrace * 5 / 6;
    if (passedOn.count(sent.attempt_) == 0 || timeOver || excused) {
      record.Line("%s ended without an answer; not counted",
                  sent.attempt_.c_str());
      continue;
    }
    ++lost;
    record.Line("BROKEN (LOST): %s, sent %.3f s after SIGTERM, was read and "
                "passed on to a sampler, and its connection ended without an "
                "answer %.3f s later (%.3f s after SIGTERM)",
                sent.attempt_.c_str(),
                after,
                sent.endedAt_ - sent.at_,
                sent.endedAt_ - signalAt);
  }
  record.Line("%d answered, %d lost", answered, lost);
  if (lost > 0) {
    Finish(1, "broken: LOST", record, daemons);
  }
  Finish(0, "held", record, daemons);
}
