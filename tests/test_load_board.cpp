/// News of other processes about load: the newest counts, and only for its
/// lifetime.

#include "marjoramtally/process.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 100s };
const ServiceId kModels{ "models" };
const UpstreamId kFirst{ "i-1" };

LoadNews
MakeNews(const std::string& aProcess,
         std::uint64_t aSequence,
         std::uint32_t aHeld)
{
  LoadNews news;
  news.process_ = aProcess;
  news.sequence_ = aSequence;
  news.demands_ = { { kModels, "m", WeightVersion{ 2 }, aHeld } };
  news.held_ = { { kFirst, aHeld } };
  return news;
}

} // namespace

TEST_CASE("the newest news of each other process counts", "[load]")
{
  LoadBoard board("self");
  CHECK(board.OnNews(MakeNews("a", 2, 3), 0ms, kStart));
  CHECK(board.OnNews(MakeNews("b", 1, 1), 0ms, kStart));
  CHECK_FALSE(board.OnNews(MakeNews("a", 1, 6), 0ms, kStart));
  CHECK_FALSE(board.OnNews(MakeNews("self", 9, 6), 0ms, kStart));
  CHECK(board.Held(kFirst, kStart) == 4);
  CHECK(board.Demands(kModels, kStart).size() == 2);
  CHECK(board.Demands(ServiceId{ "other" }, kStart).empty());
}

TEST_CASE("news of a process that is gone or silent no longer counts", "[load]")
{
  LoadBoard board("self");
  CHECK(board.OnNews(MakeNews("a", 1, 3), 0ms, kStart));
  CHECK(board.OnNews(MakeNews("b", 1, 2), 1s, kStart));
  CHECK(board.Held(kFirst, kStart + 600ms) == 3);
  board.OnGone("a");
  CHECK(board.Held(kFirst, kStart) == 2);
}
