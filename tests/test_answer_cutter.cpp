#include "standin/answer_cutter.hpp"

#include <catch2/catch.hpp>

namespace {

using marjoramtally::standin::AnswerCutter;
using marjoramtally::standin::AnswerFaultCounts;
using marjoramtally::standin::AnswerFaults;

const std::string kWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
                                "Attempt-Id: a1\r\nX-Note: n\r\n\r\n0123456789";
const std::string kInChunks = "HTTP/1.1 200 OK\r\nAttempt-Id: a2\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "a\r\n0123456789\r\n2\r\nxy\r\n0\r\n\r\n";
const std::string kEmpty = "HTTP/1.1 503 Error\r\nContent-Length: 0\r\n\r\n";

/// Breaks off a response by the choice of a seed.
AnswerCutter::Output
Spoil(const std::string& aAnswer,
      std::uint64_t aSeed,
      AnswerFaultCounts& aCounts,
      bool aMayRepeat = false)
{
  return AnswerCutter(aSeed, aCounts).Feed(aAnswer, { 1, aMayRepeat });
}

} // namespace

TEST_CASE("answers that are not spoilt pass a proxy of the soak unchanged")
{
  const std::string all = kWithLength + kInChunks + kEmpty + kWithLength;
  for (std::size_t size = 1; size <= all.size(); ++size) {
    AnswerFaultCounts counts;
    AnswerCutter cutter(1, counts);
    std::string forwarded;
    for (std::size_t at = 0; at < all.size(); at += size) {
      const auto out = cutter.Feed(all.substr(at, size), AnswerFaults{});
      CHECK_FALSE(out.cut_);
      CHECK(out.repeated_.empty());
      forwarded += out.bytes_;
    }
    CHECK(forwarded == all);
  }
}

TEST_CASE("a response that the soak breaks off is never forwarded whole")
{
  for (const std::string& answer : { kWithLength, kInChunks, kEmpty }) {
    AnswerFaultCounts counts;
    std::uint64_t heads = 0;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
      const auto before = counts.cutInHead_.load();
      const auto out = Spoil(answer, seed, counts);
      REQUIRE(out.cut_);
      REQUIRE(out.bytes_.size() < answer.size());
      if (counts.cutInHead_ == before) {
        REQUIRE(answer.starts_with(out.bytes_));
        REQUIRE(out.bytes_.find("\r\n\r\n") != std::string::npos);
      } else {
        ++heads;
        const bool interim = out.bytes_.starts_with("HTTP/1.1 100");
        REQUIRE((interim || out.bytes_.find("\r\n\r\n") == std::string::npos));
      }
    }
    CHECK(counts.cutInHead_ + counts.cutInBody_ == 1000);
    CHECK(heads > 0);
    CHECK((counts.cutInBody_ > 0) == (answer != kEmpty));
  }
}

TEST_CASE("a second answer of the soak is the first one, with or without id")
{
  AnswerFaultCounts counts;
  bool withId = false;
  bool withoutId = false;
  for (std::uint64_t seed = 0; seed < 1000; ++seed) {
    const auto out = Spoil(kInChunks, seed, counts, true);
    if (out.cut_) {
      continue;
    }
    REQUIRE(out.bytes_ == kInChunks);
    withId = withId || out.repeated_ == kInChunks;
    withoutId =
      withoutId || out.repeated_ == std::string(kInChunks).erase(15, 16);
  }
  CHECK(withId);
  CHECK(withoutId);
}
