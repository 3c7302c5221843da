/// Batch jobs of the scripts: a configuration with one route for batch jobs and
/// one for reward calls, as in the examples of the pages.
#pragma once

#include "kit.hpp"

namespace review {

inline constexpr const char* kHost = "ficu95.example";

/// Items whose id begins with "long" have the longest texts of the sheet.
inline std::uint64_t
EventsOf(const std::string& item)
{
  return item.rfind("long", 0) == 0 ? 195 : 10;
}

inline Json
Config(std::uint64_t version, int maxQueueSeconds)
{
  const Json rollout{ { "name", "drafts" },
                      { "host", kHost },
                      { "prefix", "/pule252/" },
                      { "service", "lm" },
                      { "kind", "rollout" },
                      { "timeout_ms", 10000 },
                      { "slo_ms", 400 },
                      { "max_attempts", 3 },
                      { "priority", 0 },
                      { "sticky", true },
                      { "resumable", true },
                      { "run_deadline_ms", 7500 },
                      { "max_queue_s", maxQueueSeconds } };
  const Json reward{ { "name", "reward" },      { "host", kHost },
                     { "prefix", "/pufi791/" }, { "service", "app" },
                     { "kind", "idempotent" },  { "timeout_ms", 3000 },
                     { "slo_ms", 800 },         { "max_attempts", 4 },
                     { "priority", 2 } };
  return { { "version", version },
           { "routes", { rollout, reward } },
           { "services",
             { { { "name", "lm" },
                 { "health_check", "/healthz" },
                 { "max_conns", 130 },
                 { "engine", { { "models", { { { "name", "m0" } } } } } } },
               { { "name", "app" },
                 { "health_check", "/healthz" },
                 { "max_conns", 96 } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 33554432 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } } };
}

inline Json
Item(const std::string& id, const std::string& group)
{
  return { { "id", id },
           { "path", "/pule252/3/" + id },
           { "headers",
             { { "Model", "m0" },
               { "Token-Usage", "540,400" },
               { "Prompt-Prefix", "9c2e41:300,5d07b8:240" },
               { "Length-Hint", std::to_string(EventsOf(id)) } } },
           { "body", Base64("body of " + id) },
           { "tokens", 940 },
           { "group", group },
           { "scorer_url",
             { { "id", "reward-" + id },
               { "host", kHost },
               { "path", "/pufi791/" + id },
               { "body", Base64("reward of " + id) } } } };
}

/// The submission of a batch job with these items, each in a group of its own
/// or of its pair.
inline Json
Job(const std::vector<std::pair<std::string, std::string>>& itemsAndGroups,
    int targetGroups)
{
  Json items = Json::array();
  for (const auto& [id, group] : itemsAndGroups) {
    items.push_back(Item(id, group));
  }
  return { { "step", 0 },
           { "model", "m0" },
           { "min_version", 1 },
           { "target_groups", targetGroups },
           { "items", items } };
}

inline Response
Submit(int port, const std::string& job, const Json& submission)
{
  return Call(port,
              "POST",
              "/pule252/7c41e0",
              { { "Host", kHost },
                { "Attempt-Id", job },
                { "Content-Type", "application/json" } },
              submission.dump(),
              Millis(2000));
}

/// A small deployment: the store, samplers that are registered, two gateways
/// and one process for orders.
struct Deployment
{
  Deployment(const Setup& setup, Recorder& record, Millis eventInterval)
    : setup_(setup)
    , record_(record)
  {
    for (int i = 0; i < 2; ++i) {
      Sampler::Options options;
      options.id_ = "i-model-" + std::to_string(i);
      options.service_ = "lm";
      options.models_ = { "m0" };
      options.work_ = eventInterval;
      options.events_ = EventsOf;
      samplers_.push_back(std::make_unique<Sampler>(options, record));
    }
    Sampler::Options plain;
    plain.id_ = "i-plain-0";
    plain.service_ = "app";
    plain.work_ = Millis(200);
    samplers_.push_back(std::make_unique<Sampler>(plain, record));
  }
  /// Registers the samplers, starts the daemons and waits until they are ready.
  void Start(const Json& config)
  {
    store_.Put("op/config", config);
    for (const auto& sampler : samplers_) {
      store_.Put("servers/" + sampler->Id(), sampler->Entry());
    }
    for (int i = 0; i < 2; ++i) {
      daemons_.push_back(
        std::make_unique<Daemon>(setup_.target_ + "/marjoram-gatewayd",
                                 "front-" + std::to_string(i + 1),
                                 "z1",
                                 store_.Address(),
                                 setup_.work_));
    }
    daemons_.push_back(
      std::make_unique<Daemon>(setup_.target_ + "/marjoram-orderd",
                               "store-1",
                               "z1",
                               store_.Address(),
                               setup_.work_));
    for (const auto& daemon : daemons_) {
      daemon->Start();
    }
    for (int i = 0; i < 2; ++i) {
      if (!daemons_[i]->WaitReady(Millis(10000))) {
        End(2, "could not run: a gateway is not ready");
      }
    }
    Sleep(2);
  }
  [[noreturn]] void End(int code, const char* verdict)
  {
    Finish(code, verdict, record_, daemons_);
  }

  const Setup& setup_;
  Recorder& record_;
  Store store_;
  std::vector<std::unique_ptr<Sampler>> samplers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace review
