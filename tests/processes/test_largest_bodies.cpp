/// Single requests of the largest legal size, in calm, within the memory of a
/// small machine, and the end of a process whose clients stay.

#include "client_crowd.hpp"
#include "crowd_site.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace marjoramtally;
using namespace marjoramtally::test;

namespace {

constexpr auto kStopLimit = std::chrono::seconds(60);

std::string
LargestBody(const CrowdSite& aSite)
{
  return aSite.Head("POST", "largest") +
         "Connection: close\r\nContent-Length: " +
         std::to_string(kLargestBodyLimit) + "\r\n\r\n" +
         std::string(kLargestBodyLimit, 'x');
}

std::string
InChunksOfOneByte(const CrowdSite& aSite)
{
  constexpr std::string_view kChunk = "1\r\nx\r\n";
  std::string request =
    aSite.Head("POST", "chunks") +
    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
  request.reserve(request.size() + kChunk.size() * kLargestBodyLimit + 8);
  for (std::uint64_t i = 0; i < kLargestBodyLimit; ++i) {
    request += kChunk;
  }
  return request + "0\r\n\r\n";
}

void
CheckMemory(const CrowdSite& aSite, DaemonProcess& aDaemon)
{
  CHECK(aDaemon.IsAlive());
  CHECK(aDaemon.PeakMemoryBytes() <= kMachineMemoryBytes);
  CHECK(AskOnce(aSite.Port(), aSite.OrdinaryRequest()) == 200);
}

void
CheckSingle(CrowdSite& aSite, const std::string& aRequest)
{
  CHECK(AskOnce(aSite.Port(), aRequest) == 200);
  CheckMemory(aSite, aSite.Daemon());
}

void
CheckTwo(CrowdSite& aSite)
{
  const std::string request = LargestBody(aSite);
  auto first = std::async(std::launch::async,
                          [&] { return AskOnce(aSite.Port(), request); });
  CHECK(AskOnce(aSite.Port(), request) == 200);
  CHECK(first.get() == 200);
  CheckMemory(aSite, aSite.Daemon());
}

/// Clients that stay, each with a part of a request, do not keep a process from
/// stopping.
void
CheckStop(CrowdSite& aSite)
{
  constexpr std::size_t kClients = 60;
  const ClientCrowd crowd(
    aSite.Port(),
    { kClients, [&](std::size_t aIndex) -> ClientScript {
       const std::string head = aSite.Head("POST", "stays");
       return { Once(aIndex % 2 == 0 ? head
                                     : head + "Content-Length: 9\r\n\r\nx") };
     } });
  CHECK(HoldsInTime([&] { return crowd.HasSettled(); }));
  CHECK(aSite.Daemon().Stop(kStopLimit) == 0);
}

} // namespace

TEST_CASE("gateway: a single body of the largest legal size within memory")
{
  GatewaySite site(kLargestBodyLimit);
  CheckSingle(site, LargestBody(site));
}

TEST_CASE("gateway: a single body in chunks of one byte within memory")
{
  GatewaySite site(kLargestBodyLimit);
  CheckSingle(site, InChunksOfOneByte(site));
}

TEST_CASE("gateway: two bodies of the largest legal size within memory")
{
  GatewaySite site(kLargestBodyLimit);
  CheckTwo(site);
}

TEST_CASE("gateway: clients that stay do not keep the process from stopping")
{
  GatewaySite site;
  CheckStop(site);
}

TEST_CASE("entry: a single body of the largest legal size within memory")
{
  EntrySite site(kLargestBodyLimit);
  CheckSingle(site, LargestBody(site));
}

TEST_CASE("entry: a single body in chunks of one byte within memory")
{
  EntrySite site(kLargestBodyLimit);
  CheckSingle(site, InChunksOfOneByte(site));
}

TEST_CASE("entry: two bodies of the largest legal size within memory")
{
  EntrySite site(kLargestBodyLimit);
  CheckTwo(site);
}

TEST_CASE("entry: clients that stay do not keep the process from stopping")
{
  EntrySite site;
  CheckStop(site);
}
