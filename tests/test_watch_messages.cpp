/// Encoding of the messages of a relay.

#include "marjoramtally/runtime/watch_messages.hpp"

#include <catch2/catch.hpp>

using namespace marjoramtally;

namespace {

/// A change of an upstream's entry after it has loaded a version.
StoreEvent
MakeUpstreamChange(std::uint64_t aNumber)
{
  const std::uint64_t mixed = aNumber * 2654435761U % 0xffffffffU;
  std::string models;
  for (std::uint64_t i = 0; i < 4; ++i) {
    models += std::string(i == 0 ? "" : ",") + R"({"name":"model)" +
              std::to_string(i) + R"(7f3a91","version":)" +
              std::to_string(7 + mixed % 3) + R"(,"adapters":[]})";
  }
  StoreEvent event;
  event.record_.key_ = "servers/i-" + std::to_string(mixed);
  event.record_.value_ =
    R"({"service":"drafts","address":"10.1.)" + std::to_string(mixed % 200) +
    "." + std::to_string(mixed % 251) +
    R"(:8689","zone":"north-1","version":"v1","slots":6,"state":"ready",)"
    R"("cold_remaining_ms":0,"born":17674150)" +
    std::to_string(mixed) + R"(,"seq":)" + std::to_string(mixed % 97) +
    R"(,"stage":"hybrid","models":[)" + models + "]}";
  event.record_.modRevision_ = aNumber;
  return event;
}

} // namespace

// Guards against a relay that fills its link. With 200 version changes per
// second, each sent to 63 peers, it sent 7 MB per second, the capacity of a 60
// Mbit/s link. Its peers learned 1.2 s late, and 3.9 s late in one simulated
// run, that upstreams were leaving.
TEST_CASE("the changes of one second use a quarter of a relay's link at most")
{
  constexpr std::uint64_t kChanges = 200;
  constexpr std::size_t kPeers = 72;
  constexpr std::size_t kLinkBytes = 60'000'000 / 8;
  StoreWatchBatch batch;
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    batch.events_.push_back(MakeUpstreamChange(i));
  }
  batch.revision_ = kChanges;
  const std::string bytes = EncodeWatchBatch(batch);
  REQUIRE(bytes.size() * kPeers <= kLinkBytes / 4);
  const auto copy = DecodeWatchBatch(bytes);
  REQUIRE(copy.value().events_.size() == kChanges);
  REQUIRE(copy.value().events_.back().record_.value_ ==
          batch.events_.back().record_.value_);
}

// A process of a release without deflated responses would read one as "no
// change" and confirm the state that it holds.
TEST_CASE("responses are deflated only for peers that support it")
{
  StoreWatchBatch batch;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    batch.events_.push_back(MakeUpstreamChange(i));
  }
  const std::string plain = EncodeWatchBatch(batch, false);
  const std::string deflated = EncodeWatchBatch(batch, true);
  REQUIRE(plain.size() > 2 * deflated.size());
  REQUIRE(plain.find("servers/i-") != std::string::npos);
  REQUIRE(DecodeWatchBatch(plain).value().events_.size() == 20);
  REQUIRE(DecodeWatchAsk(EncodeWatchAsk({ "k/", 7, {} })).value().inflates_);
  REQUIRE_FALSE(
    DecodeWatchAsk(EncodeWatchAsk({ "k/", 7, {}, false })).value().inflates_);
}

TEST_CASE(
  "a deflated message that is truncated or has a wrong size is an error")
{
  StoreWatchBatch batch;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    batch.events_.push_back(MakeUpstreamChange(i));
  }
  const std::string encoded = EncodeWatchBatch(batch);
  REQUIRE(DecodeWatchBatch(encoded));
  constexpr std::size_t kWord = 8;
  REQUIRE_FALSE(DecodeWatchBatch(encoded.substr(0, encoded.size() - kWord)));
  for (std::size_t at = 0; at < encoded.size(); ++at) {
    std::string corrupted = encoded;
    corrupted[at] = static_cast<char>(~corrupted[at]);
    const auto read = DecodeWatchBatch(corrupted);
    CAPTURE(at);
    REQUIRE((!read || EncodeWatchBatch(read.value()) == encoded));
  }
}

// A key cut at its zero byte is another key, whose record it replaces.
TEST_CASE("a key with a zero byte is not taken for a shorter key")
{
  using namespace std::string_literals;
  StoreWatchBatch batch;
  batch.revision_ = 2;
  for (const std::string& key : { "servers/a"s, "servers/a\0b"s }) {
    StoreEvent event;
    event.record_.key_ = key;
    batch.events_.push_back(event);
  }
  const auto read = DecodeWatchBatch(EncodeWatchBatch(batch, false));
  REQUIRE(read);
  REQUIRE(read.value().events_.size() == 2);
  CHECK(read.value().events_[0].record_.key_ == "servers/a"s);
  CHECK(read.value().events_[1].record_.key_ == "servers/a\0b"s);
}
