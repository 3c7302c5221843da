#include "daemon_process.hpp"

#include "caller_socket.hpp"
#include "marjoramtally/base/units.hpp"
#include "standin/child_process.hpp"

#include <csignal>
#include <fstream>
#include <sys/wait.h>

namespace marjoramtally::test {

namespace {

/// A daemon that uses more than this is ended, so that a fault does not take
/// the memory of the machine that the test runs on.
constexpr std::uint64_t kMemoryGuardBytes = 1'000'000'000;
constexpr auto kWatchInterval = std::chrono::milliseconds(5);
constexpr auto kPollInterval = std::chrono::milliseconds(20);
/// Longer than any step of these tests needs on a slow machine.
constexpr auto kHangLimit = std::chrono::seconds(60);

/// @returns a value of /proc/PID/status, in bytes
std::uint64_t
ReadMemory(pid_t aPid, const std::string& aName)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(aName + ":")) {
      constexpr std::uint64_t kBytesPerUnit = 1024;
      return std::stoull(line.substr(aName.size() + 1)) * kBytesPerUnit;
    }
  }
  return 0;
}

std::size_t
CountDescriptors(pid_t aPid)
{
  std::error_code gone;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
         it("/proc/" + std::to_string(aPid) + "/fd", gone),
       end;
       !gone && it != end;
       it.increment(gone)) {
    ++count;
  }
  return count;
}

} // namespace

DaemonProcess::DaemonProcess(const std::string& aProgram,
                             const std::string& aSettings)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "marjoram-test.XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  const auto settings = folder_ / "settings.ini";
  std::ofstream(settings) << aSettings;
  pid_ =
    standin::SpawnDaemon(std::filesystem::path(MT_PROGRAM_FOLDER) / aProgram,
                         settings,
                         { folder_ / "log", -1 });
  watcher_ = std::thread([this] { Watch(); });
}

DaemonProcess::~DaemonProcess()
{
  watching_ = false;
  watcher_.join();
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void
DaemonProcess::Watch()
{
  const pid_t pid = pid_;
  while (watching_ && pid > 0) {
    const std::uint64_t peak = ReadMemory(pid, "VmHWM");
    peakMemory_ = std::max<std::uint64_t>(peakMemory_, peak);
    peakDescriptors_ =
      std::max<std::size_t>(peakDescriptors_, CountDescriptors(pid));
    if (ReadMemory(pid, "VmRSS") > kMemoryGuardBytes) {
      kill(pid, SIGKILL);
      return;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

bool
DaemonProcess::IsAlive()
{
  return pid_ > 0 && !standin::WaitForChild(pid_, Duration{ 0 }) && pid_ > 0;
}

std::optional<int>
DaemonProcess::Stop(Duration aLimit)
{
  if (pid_ > 0) {
    kill(pid_, SIGTERM);
  }
  return standin::WaitForChild(pid_, aLimit);
}

std::string
DaemonProcess::LogEnd() const
{
  constexpr std::size_t kLastBytes = 2000;
  std::ifstream file(folder_ / "log");
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return text.size() > kLastBytes ? text.substr(text.size() - kLastBytes)
                                  : text;
}

bool
HoldsInTime(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kHangLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

int
AskOnce(std::uint16_t aPort, const std::string& aRequest)
{
  CallerSocket caller(aPort);
  const timeval limit{ kHangLimit.count(), 0 };
  setsockopt(caller.Handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  setsockopt(caller.Handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::size_t sent = 0;
  while (sent < aRequest.size()) {
    const ssize_t part = send(caller.Handle(),
                              aRequest.data() + sent,
                              aRequest.size() - sent,
                              MSG_NOSIGNAL);
    if (part <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(part);
  }
  const std::string answer = caller.ReadAll();
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr std::size_t kStatusDigits = 3;
  if (!answer.starts_with(kVersion)) {
    return 0;
  }
  const auto status =
    ParseNumber(answer.substr(kVersion.size(), kStatusDigits), 0, 999);
  return static_cast<int>(status.value_or(0));
}

bool
IsServedInTime(std::uint16_t aPort, const std::string& aRequest)
{
  return HoldsInTime([&] { return AskOnce(aPort, aRequest) == 200; });
}

} // namespace marjoramtally::test
