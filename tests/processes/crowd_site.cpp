#include "crowd_site.hpp"

#include "names.hpp"
#include "platform.hpp"
#include "standin/child_process.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>

namespace marjoramtally::test {

namespace {

using Json = nlohmann::json;

constexpr const char* kHost = "crowd.example";
constexpr std::uint64_t kUpstreamBodyLimit = 64U << 20U;

/// @returns the port of a file that holds HOST:PORT; 0 if there is none yet
std::uint16_t
ReadPort(const std::filesystem::path& aFile)
{
  std::ifstream file(aFile);
  std::string address;
  std::getline(file, address);
  const std::size_t colon = address.rfind(':');
  return colon == std::string::npos
           ? 0
           : static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
}

/// @returns the settings that tell a daemon what its machine has
std::string
MachineSettings()
{
  constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
  return "memory-mb = " +
         std::to_string(kMachineMemoryBytes / kBytesPerMegabyte) +
         "\ndescriptors = " + std::to_string(kMachineDescriptors) + "\n";
}

std::string
PlainPath(const std::string& aPath)
{
  return "/plain/" + aPath;
}

} // namespace

CrowdUpstream::CrowdUpstream()
{
  HttpServerOptions options;
  options.threads_ = 1;
  options.maxBodyBytes_ = kUpstreamBodyLimit;
  auto server = HttpServer::Start(
    options, [](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      const bool large = aRequest.path_.find("large") != std::string::npos;
      const std::string id(
        FindHeader(aRequest.headers_, wire::kAttemptId).value_or(""));
      aReply->Send({ 200,
                     { { wire::kAttemptId, id }, { wire::kSignature, "s" } },
                     large ? std::string(kLargeAnswerBytes, 'a') : "answer" });
    });
  server_ = std::move(server).value();
}

GatewaySite::GatewaySite(std::uint64_t aMaxBodyBytes)
  : pool_(IoPool::Create(1))
  , timers_(LoopTimers::Create(*pool_, 0))
  , frontPort_(standin::PickFreePort())
  , readyPort_(standin::PickFreePort())
  , metricsPort_(standin::PickFreePort())
{
  StartStore();
  WriteConfig(aMaxBodyBytes);
  daemon_ = std::make_unique<DaemonProcess>(
    "marjoram-gatewayd",
    "[gateway]\ninstance = gateway\nzone = z\nstore = 127.0.0.1:" +
      std::to_string(storeServer_->Port()) +
      "\nfront = 127.0.0.1:" + std::to_string(frontPort_) +
      "\nready = 127.0.0.1:" + std::to_string(readyPort_) +
      "\nmetrics-port = " + std::to_string(metricsPort_) + "\n" +
      MachineSettings());
  const bool served = IsServedInTime(frontPort_, OrdinaryRequest());
  INFO(daemon_->LogEnd());
  REQUIRE(served);
}

GatewaySite::~GatewaySite()
{
  daemon_.reset();
  pool_->Stop();
}

void
GatewaySite::StartStore()
{
  store_ = std::make_unique<standin::KvStandin>(*timers_, 1);
  HttpServerOptions options;
  options.pool_ = pool_;
  options.maxBodyBytes_ = kUpstreamBodyLimit;
  auto server = HttpServer::Start(
    options, [this](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      store_->Handle(aRequest, aReply);
    });
  storeServer_ = std::move(server).value();
}

void
GatewaySite::WriteConfig(std::uint64_t aMaxBodyBytes)
{
  const auto route =
    [](const char* aPrefix, const char* aService, const char* aKind) {
      return Json{ { "name", aPrefix },    { "host", kHost },
                   { "prefix", aPrefix },  { "service", aService },
                   { "kind", aKind },      { "timeout_ms", 20000 },
                   { "slo_ms", 1000 },     { "max_attempts", 2 },
                   { "max_queue_s", 120 }, { "run_deadline_ms", 60000 } };
    };
  const Json config{ { "version", ++version_ },
                     { "routes",
                       { route("/plain/", "plain", "idempotent"),
                         route("/jobs/", "lm", "rollout") } },
                     { "services", Json::array() },
                     { "limits",
                       { { "max_header_bytes", 16384 },
                         { "max_body_bytes", aMaxBodyBytes },
                         { "header_timeout_ms", 3000 },
                         { "idle_timeout_ms", 15000 } } } };
  const Json upstream{ { "service", "plain" },
                       { "address", upstream_.Address() },
                       { "zone", "z" },
                       { "slots", 64 },
                       { "state", "ready" } };
  std::promise<void> written;
  pool_->Post(0, [this, &config, &upstream, &written] {
    store_->Put(std::string(wire::kServersPrefix) + "i-1", upstream.dump());
    store_->Put(wire::kConfigKey, config.dump());
    written.set_value();
  });
  written.get_future().get();
}

std::string
GatewaySite::Head(const std::string& aMethod, const std::string& aPath) const
{
  return aMethod + " " + PlainPath(aPath) + " HTTP/1.1\r\nHost: " + kHost +
         "\r\n" + wire::kAttemptId + ": a1\r\n";
}

std::string
GatewaySite::JobHead(const std::string& aJob)
{
  return "POST /jobs/" + aJob + " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
         wire::kAttemptId + ": " + aJob + "\r\n";
}

EntrySite::EntrySite(std::uint64_t aMaxBodyBytes)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "marjoram-test.XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  WriteRules();
  const auto portFile = folder_ / "port";
  daemon_ = std::make_unique<DaemonProcess>(
    "marjoram-entryd",
    "[daemon]\ninstance = entry\nzone = z\nstore = file:" +
      (folder_ / "store").string() +
      "\nrefresh = 200ms\nport-file = " + portFile.string() +
      "\nmax-body-bytes = " + std::to_string(aMaxBodyBytes) + "\n" +
      MachineSettings());
  const bool started = HoldsInTime([&] {
    port_ = ReadPort(portFile);
    return port_ != 0;
  });
  INFO(daemon_->LogEnd());
  REQUIRE(started);
  const bool served = IsServedInTime(port_, OrdinaryRequest());
  INFO(daemon_->LogEnd());
  REQUIRE(served);
}

EntrySite::~EntrySite()
{
  daemon_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void
EntrySite::WriteRules() const
{
  const auto rules = folder_ / "rules";
  std::filesystem::create_directories(rules);
  std::ofstream(rules / "10.ini")
    << "[service plain]\nkind = plain\ndeadline = 20s\nupstream-limit = 64\n"
    << "[upstream plain-1]\nservice = plain\nzone = z\naddress = "
    << upstream_.Address() << "\n";
  const std::string push = std::string(MT_PROGRAM_FOLDER) +
                           "/marjoramctl push " + rules.string() +
                           " --store file:" + (folder_ / "store").string() +
                           " >" + (folder_ / "push").string() + " 2>&1";
  REQUIRE(std::system(push.c_str()) == 0);
}

std::string
EntrySite::Head(const std::string& aMethod, const std::string& aPath) const
{
  return aMethod + " /v1/services/plain/" + aPath +
         " HTTP/1.1\r\nHost: " + kHost + "\r\n";
}

} // namespace marjoramtally::test
