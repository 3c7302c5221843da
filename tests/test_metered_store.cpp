/// Calls to the store, counted by purpose.

#include "daemon/metered_store.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

TEST_CASE("calls to the store are counted by kind and key prefix, not by job")
{
  ManualClock clock;
  ManualTimers timers(clock);
  auto inner = std::make_unique<FakeStore>(timers);
  FakeStore& fake = *inner;
  Metrics metrics;
  const auto store = MakeMeteredStore(std::move(inner), metrics);
  store->Read("mt/res/job1/", [](const auto&) {});
  store->Read("mt/res/job2/", [](const auto&) {});
  store->ReadEarlier("servers/", [](const auto&) {});
  store->Read("mt/duty/orders", [](const auto&) {});
  StoreTxn txn;
  txn.puts_.push_back({ "mt/c/own/job1", "x", 0 });
  store->Commit(txn, [](const auto&) {});
  store->GrantLease(1s, [](const auto&) {});
  store->KeepAlive(1, [](const auto&) {});
  int batches = 0;
  store->Watch("mt/c/", 1, [&batches](const auto&) { ++batches; });
  fake.SendBatch("mt/c/", { false, false, 5, {} });
  fake.SendBatch("mt/c/", { false, true, 5, {} });
  REQUIRE(batches == 2);
  const std::string text = metrics.Render();
  for (const char* line :
       { R"(store_calls_total{kind="read",place="mt/res/"} 2)",
         R"(store_calls_total{kind="read_earlier",place="servers/"} 1)",
         R"(store_calls_total{kind="read",place="mt/duty/"} 1)",
         R"(store_calls_total{kind="commit",place="mt/c/"} 1)",
         R"(store_calls_total{kind="lease",place=""} 1)",
         R"(store_calls_total{kind="renewal",place=""} 1)",
         R"(store_calls_total{kind="watch",place="mt/c/"} 2)" }) {
    CAPTURE(line, text);
    REQUIRE(text.find(line) != std::string::npos);
  }
}
