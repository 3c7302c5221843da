/// One daemon on loopback with all that it needs, for crowds of clients.
#pragma once

#include "daemon_process.hpp"
#include "marjoramtally/runtime/http_server.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "standin/kv_standin.hpp"

#include <memory>

namespace marjoramtally::test {

/// Memory and descriptors of the machine that the daemon is set to run on.
inline constexpr std::uint64_t kMachineMemoryBytes = 160'000'000;
inline constexpr std::size_t kMachineDescriptors = 512;

/// Largest body that the site's limits allow.
inline constexpr std::uint64_t kSmallBodyLimit = 4U << 20U;
inline constexpr std::uint64_t kLargestBodyLimit = 32U << 20U;

/// An upstream that answers each request at once: with `kLargeAnswerBytes` if
/// the path contains "large", else with few bytes.
class CrowdUpstream
{
public:
  static constexpr std::size_t kLargeAnswerBytes = 4U << 20U;

  CrowdUpstream();
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(server_->Port());
  }

private:
  std::unique_ptr<HttpServer> server_;
};

/// A daemon that clients of some kind reach, and how they speak to it.
class CrowdSite
{
public:
  virtual ~CrowdSite() = default;
  [[nodiscard]] virtual DaemonProcess& Daemon() = 0;
  /// @returns the port that callers connect to
  [[nodiscard]] virtual std::uint16_t Port() const = 0;
  /// @returns the request line and fields of a request that is forwarded,
  /// without the fields that frame its body
  [[nodiscard]] virtual std::string Head(const std::string& aMethod,
                                         const std::string& aPath) const = 0;
  /// @returns a small request that is served
  [[nodiscard]] std::string OrdinaryRequest() const
  {
    return Head("POST", "ordinary") +
           "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
  }
};

/// A gateway with a store and one plain upstream. Its configuration also has a
/// route for jobs.
class GatewaySite final : public CrowdSite
{
public:
  explicit GatewaySite(std::uint64_t aMaxBodyBytes = kSmallBodyLimit);
  ~GatewaySite() override;
  [[nodiscard]] DaemonProcess& Daemon() override { return *daemon_; }
  [[nodiscard]] std::uint16_t Port() const override { return frontPort_; }
  [[nodiscard]] std::uint16_t ReadyPort() const noexcept { return readyPort_; }
  [[nodiscard]] std::uint16_t MetricsPort() const noexcept
  {
    return metricsPort_;
  }
  [[nodiscard]] std::string Head(const std::string& aMethod,
                                 const std::string& aPath) const override;
  /// @returns the head of a job's submission, without the fields that frame its
  /// body
  [[nodiscard]] static std::string JobHead(const std::string& aJob);
  /// Writes a configuration with this limit of a body, newer than the last.
  void WriteConfig(std::uint64_t aMaxBodyBytes);

private:
  void StartStore();

  CrowdUpstream upstream_;
  std::shared_ptr<IoPool> pool_;
  std::unique_ptr<LoopTimers> timers_;
  std::unique_ptr<standin::KvStandin> store_;
  std::unique_ptr<HttpServer> storeServer_;
  std::uint64_t version_ = 0;
  std::uint16_t frontPort_;
  std::uint16_t readyPort_;
  std::uint16_t metricsPort_;
  std::unique_ptr<DaemonProcess> daemon_;
};

/// An entry daemon with an embedded store and one plain upstream.
class EntrySite final : public CrowdSite
{
public:
  explicit EntrySite(std::uint64_t aMaxBodyBytes = kSmallBodyLimit);
  ~EntrySite() override;
  [[nodiscard]] DaemonProcess& Daemon() override { return *daemon_; }
  [[nodiscard]] std::uint16_t Port() const override { return port_; }
  [[nodiscard]] std::string Head(const std::string& aMethod,
                                 const std::string& aPath) const override;

private:
  /// Writes the rules that name the upstream into the store.
  void WriteRules() const;

  CrowdUpstream upstream_;
  std::filesystem::path folder_;
  std::unique_ptr<DaemonProcess> daemon_;
  std::uint16_t port_ = 0;
};

} // namespace marjoramtally::test
