/// Crowds of clients that misbehave, at each listener that clients reach: the
/// process survives, stays within the memory and descriptors of its machine,
/// and answers ordinary callers while the crowd stays and afterwards.

#include "client_crowd.hpp"
#include "crowd_site.hpp"

#include <array>
#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

using Script = std::function<ClientScript(std::size_t)>;

constexpr std::size_t kBodies = 60;
constexpr std::size_t kTinyChunkBodies = 40;
constexpr std::size_t kOversizedBodies = 10;
constexpr std::size_t kConnections = 900;
constexpr std::size_t kPipelined = 60;
constexpr std::uint64_t kTinyChunks = 400'000;
constexpr std::size_t kChunkBytes = 64U << 10U;
constexpr std::size_t kHugeChunkBytes = 4U << 20U;
/// Number of repetitions in a block, so that it is sent with few calls.
constexpr std::size_t kBlockRepeats = 4096;

std::string
Repeat(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

RepeatedBytes
Fill(std::uint64_t aSize)
{
  return { std::string(kChunkBytes, 'x'), aSize };
}

std::string
Chunk(std::size_t aSize)
{
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aSize);
  return size.data() + std::string(aSize, 'x') + "\r\n";
}

std::string
WithLength(const std::string& aHead, std::uint64_t aLength)
{
  return aHead + "Content-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

std::string
WithChunks(const std::string& aHead)
{
  return aHead + "Transfer-Encoding: chunked\r\n\r\n";
}

/// A body of which the last `aMissing` bytes are not sent.
Script
Body(const CrowdSite& aSite, std::uint64_t aLength, std::uint64_t aMissing)
{
  return [&aSite, aLength, aMissing](std::size_t) -> ClientScript {
    return { Once(WithLength(aSite.Head("POST", "body"), aLength)),
             Fill(aLength - aMissing) };
  };
}

/// Chunks that are followed by `aEnd`.
Script
Chunks(const CrowdSite& aSite,
       std::size_t aSize,
       std::uint64_t aCount,
       const std::string& aEnd = {})
{
  const std::string chunk = Chunk(aSize);
  const std::size_t repeats = std::max<std::size_t>(
    1, std::min<std::size_t>(kBlockRepeats, kChunkBytes / chunk.size()));
  const std::string block = Repeat(chunk, repeats);
  const std::uint64_t size = aCount == RepeatedBytes::kEndless
                               ? RepeatedBytes::kEndless
                               : chunk.size() * aCount;
  return [&aSite, block, size, aEnd](std::size_t) -> ClientScript {
    return { Once(WithChunks(aSite.Head("POST", "chunks"))),
             { block, size },
             Once(aEnd) };
  };
}

/// The same bytes from each client.
Script
Same(const std::string& aBytes)
{
  return [aBytes](std::size_t) -> ClientScript { return { Once(aBytes) }; };
}

constexpr std::string_view kJobBegin =
  R"({"items":[{"id":"i","path":"/p","headers":{},"tokens":1,"body":")";
constexpr std::string_view kJobEnd = R"("}]})";

/// The submission of one job, whose item has a body of any size; of its bytes
/// the last `aMissing` are not sent.
Script
Submissions(std::uint64_t aLength, std::uint64_t aMissing)
{
  return [aLength, aMissing](std::size_t aIndex) -> ClientScript {
    // Base64 comes in fours.
    const std::uint64_t body =
      (aLength - kJobBegin.size() - kJobEnd.size()) / 4 * 4;
    const std::uint64_t length = kJobBegin.size() + body + kJobEnd.size();
    const std::string head =
      GatewaySite::JobHead("job" + std::to_string(aIndex));
    ClientScript script{ Once(WithLength(head, length) +
                              std::string(kJobBegin)),
                         { std::string(kChunkBytes, 'A'), body } };
    script.push_back(Once(std::string(
      kJobEnd.substr(0, kJobEnd.size() - static_cast<std::size_t>(aMissing)))));
    return script;
  };
}

/// Lets a crowd act and checks that the daemon bears it.
/// @param aPort port that the crowd connects to
void
CheckCrowdAt(CrowdSite& aSite, std::uint16_t aPort, const CrowdPlan& aPlan)
{
  DaemonProcess& daemon = aSite.Daemon();
  int during = 0;
  bool settled = false;
  {
    const ClientCrowd crowd(aPort, aPlan);
    settled =
      HoldsInTime([&] { return crowd.HasSettled() || !daemon.IsAlive(); });
    during = AskOnce(aSite.Port(), aSite.OrdinaryRequest());
  }
  const bool after = IsServedInTime(aSite.Port(), aSite.OrdinaryRequest());
  const bool alive = daemon.IsAlive();
  INFO("peak memory " << daemon.PeakMemoryBytes() << " bytes, descriptors "
                      << daemon.PeakDescriptors() << "\n"
                      << daemon.LogEnd());
  CHECK(alive);
  CHECK(settled);
  CHECK(during == 200);
  CHECK(after);
  CHECK(daemon.PeakMemoryBytes() <= kMachineMemoryBytes);
  CHECK(daemon.PeakDescriptors() <= kMachineDescriptors);
}

void
CheckCrowd(CrowdSite& aSite, const CrowdPlan& aPlan)
{
  CheckCrowdAt(aSite, aSite.Port(), aPlan);
  // A single request inside the limits, in calm.
  const std::string whole =
    WithLength(aSite.Head("POST", "calm") + "Connection: close\r\n",
               kSmallBodyLimit) +
    std::string(kSmallBodyLimit, 'x');
  CHECK(IsServedInTime(aSite.Port(), whole));
  CHECK(aSite.Daemon().PeakMemoryBytes() <= kMachineMemoryBytes);
}

} // namespace

TEST_CASE("gateway: a crowd of bodies one byte short of their end")
{
  GatewaySite site;
  CheckCrowd(site, { kBodies, Body(site, kSmallBodyLimit, 1) });
}

TEST_CASE("gateway: a crowd of bodies in 64 pieces, short of their end")
{
  GatewaySite site;
  CheckCrowd(site,
             { kBodies, Body(site, kSmallBodyLimit, 1), kSmallBodyLimit / 64 });
}

TEST_CASE("gateway: a crowd of whole bodies of the largest legal size")
{
  GatewaySite site;
  CheckCrowd(site, { kBodies, Body(site, kSmallBodyLimit, 0) });
}

TEST_CASE("gateway: a crowd of bodies in large chunks without the last one")
{
  GatewaySite site;
  CheckCrowd(
    site,
    { kBodies, Chunks(site, kChunkBytes, kSmallBodyLimit / kChunkBytes) });
}

TEST_CASE("gateway: a crowd of bodies in chunks of one byte")
{
  GatewaySite site;
  CheckCrowd(site, { kTinyChunkBodies, Chunks(site, 1, kTinyChunks) });
}

TEST_CASE("gateway: a crowd of announced bodies far over the limit")
{
  GatewaySite site;
  CheckCrowd(site, { kOversizedBodies, Body(site, kSmallBodyLimit * 8, 1) });
}

TEST_CASE("gateway: a crowd of bodies far over the limit in chunks without end")
{
  GatewaySite site;
  CheckCrowd(site,
             { kOversizedBodies,
               Chunks(site, kHugeChunkBytes, RepeatedBytes::kEndless) });
}

TEST_CASE("gateway: a crowd of bodies that announce a gigabyte")
{
  GatewaySite site;
  CheckCrowd(site,
             { kBodies, [&](std::size_t) -> ClientScript {
                return { Once(WithLength(site.Head("POST", "huge"), 1U << 30U)),
                         Fill(kChunkBytes) };
              } });
}

TEST_CASE("gateway: a crowd of clients that do not read their answers")
{
  GatewaySite site;
  constexpr std::size_t kAnswers = 4;
  CheckCrowd(site,
             { kBodies,
               Same(Repeat(site.Head("GET", "large") + "\r\n", kAnswers)),
               CrowdPlan{}.pieceBytes_,
               false });
}

TEST_CASE("gateway: a crowd of job submissions one byte short of their end")
{
  GatewaySite site;
  CheckCrowd(site, { kBodies, Submissions(kSmallBodyLimit, 1) });
}

TEST_CASE("gateway: a crowd of whole job submissions of the largest legal size")
{
  GatewaySite site;
  CheckCrowd(site, { kBodies, Submissions(kSmallBodyLimit, 0) });
}

TEST_CASE("gateway: a crowd of connections with half a head")
{
  GatewaySite site;
  CheckCrowd(site, { kConnections, Same(site.Head("POST", "half")) });
}

TEST_CASE("gateway: a crowd of connections and nothing else")
{
  GatewaySite site;
  CheckCrowd(site, { kConnections, Same("") });
}

TEST_CASE("gateway: a crowd of heads with many fields, extensions and trailers")
{
  GatewaySite site;
  constexpr std::size_t kFields = 1000;
  constexpr std::size_t kTrailers = 2000;
  constexpr std::size_t kExtensions = 1000;
  constexpr std::size_t kExtensionBytes = 4000;
  const std::string field = "F: " + std::string(64, 'v') + "\r\n";
  const std::string chunk =
    "1;" + std::string(kExtensionBytes, 'e') + "\r\nx\r\n";
  const std::vector<std::string> kinds{
    site.Head("POST", "fields") + Repeat(field, kFields),
    WithChunks(site.Head("POST", "trailers")) + "1\r\nx\r\n0\r\n" +
      Repeat(field, kTrailers),
    WithChunks(site.Head("POST", "extensions")) + Repeat(chunk, kExtensions),
  };
  CheckCrowd(site, { kBodies, [&kinds](std::size_t aIndex) -> ClientScript {
                      return { Once(kinds.at(aIndex % kinds.size())) };
                    } });
}

TEST_CASE("gateway: a crowd of clients that pipeline requests with bodies")
{
  GatewaySite site;
  constexpr std::size_t kRequests = 60;
  constexpr std::size_t kBytes = 1000;
  const std::string request =
    WithLength(site.Head("POST", "pipelined"), kBytes) +
    std::string(kBytes, 'x');
  CheckCrowd(site,
             { kPipelined,
               Same(Repeat(request, kRequests)),
               CrowdPlan{}.pieceBytes_,
               false });
}

TEST_CASE("gateway: a crowd of connections and bodies at the ready listener")
{
  GatewaySite site;
  const std::string half = "GET /readyz HTTP/1.1\r\nHost: h\r\n";
  const ClientScript body{
    Once(WithLength("POST /readyz HTTP/1.1\r\nHost: h\r\n", kSmallBodyLimit)),
    Fill(kSmallBodyLimit - 1)
  };
  CheckCrowdAt(site,
               site.ReadyPort(),
               { kConnections, [&](std::size_t aIndex) -> ClientScript {
                  return aIndex % 2 == 0 ? ClientScript{ Once(half) } : body;
                } });
  // The balancer still learns that the gateway is ready.
  CHECK(IsServedInTime(
    site.ReadyPort(),
    "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
}

TEST_CASE("gateway: a crowd of connections and bodies at the metrics listener")
{
  GatewaySite site;
  const std::string half = "GET /metrics HTTP/1.1\r\nHost: h\r\n";
  const ClientScript body{
    Once(WithLength("POST /metrics HTTP/1.1\r\nHost: h\r\n", kSmallBodyLimit)),
    Fill(kSmallBodyLimit - 1)
  };
  CheckCrowdAt(site,
               site.MetricsPort(),
               { kConnections, [&](std::size_t aIndex) -> ClientScript {
                  return aIndex % 2 == 0 ? ClientScript{ Once(half) } : body;
                } });
  CHECK(IsServedInTime(
    site.MetricsPort(),
    "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
}

TEST_CASE("entry: a crowd of bodies one byte short of their end")
{
  EntrySite site;
  CheckCrowd(site, { kBodies, Body(site, kSmallBodyLimit, 1) });
}

TEST_CASE("entry: a crowd of bodies in 64 pieces, short of their end")
{
  EntrySite site;
  CheckCrowd(site,
             { kBodies, Body(site, kSmallBodyLimit, 1), kSmallBodyLimit / 64 });
}

TEST_CASE("entry: a crowd of whole bodies of the largest legal size")
{
  EntrySite site;
  CheckCrowd(site, { kBodies, Body(site, kSmallBodyLimit, 0) });
}

TEST_CASE("entry: a crowd of bodies in large chunks without the last one")
{
  EntrySite site;
  CheckCrowd(
    site,
    { kBodies, Chunks(site, kChunkBytes, kSmallBodyLimit / kChunkBytes) });
}

TEST_CASE("entry: a crowd of bodies in chunks of one byte")
{
  EntrySite site;
  CheckCrowd(site, { kTinyChunkBodies, Chunks(site, 1, kTinyChunks) });
}

TEST_CASE("entry: a crowd of announced bodies far over the limit")
{
  EntrySite site;
  CheckCrowd(site, { kOversizedBodies, Body(site, kSmallBodyLimit * 8, 1) });
}

TEST_CASE("entry: a crowd of bodies far over the limit in chunks without end")
{
  EntrySite site;
  CheckCrowd(site,
             { kOversizedBodies,
               Chunks(site, kHugeChunkBytes, RepeatedBytes::kEndless) });
}

TEST_CASE("entry: a crowd of clients that do not read their answers")
{
  EntrySite site;
  constexpr std::size_t kAnswers = 4;
  CheckCrowd(site,
             { kBodies,
               Same(Repeat(site.Head("GET", "large") + "\r\n", kAnswers)),
               CrowdPlan{}.pieceBytes_,
               false });
}

TEST_CASE("entry: a crowd of connections with half a head")
{
  EntrySite site;
  CheckCrowd(site, { kConnections, Same(site.Head("POST", "half")) });
}

TEST_CASE("entry: a crowd of connections and nothing else")
{
  EntrySite site;
  CheckCrowd(site, { kConnections, Same("") });
}
