/// A daemon of this build that runs as a process on loopback, and what it uses.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <atomic>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>

namespace marjoramtally::test {

/// Runs from construction to destruction. Its memory and descriptors are
/// watched all the time.
class DaemonProcess
{
public:
  /// @param aProgram name of the program
  /// @param aSettings content of its settings file
  DaemonProcess(const std::string& aProgram, const std::string& aSettings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Folder for the settings and the log.
  [[nodiscard]] const std::filesystem::path& Folder() const noexcept
  {
    return folder_;
  }
  /// @returns whether the process has not ended
  [[nodiscard]] bool IsAlive();
  /// @returns the highest resident memory so far, in bytes
  [[nodiscard]] std::uint64_t PeakMemoryBytes() const noexcept
  {
    return peakMemory_;
  }
  /// @returns the highest number of open descriptors that was seen
  [[nodiscard]] std::size_t PeakDescriptors() const noexcept
  {
    return peakDescriptors_;
  }
  /// Asks the process to stop.
  /// @returns its exit code; nullopt if it is still running after `aLimit`
  [[nodiscard]] std::optional<int> Stop(Duration aLimit);
  /// @returns the last lines of the log
  [[nodiscard]] std::string LogEnd() const;

private:
  void Watch();

  std::filesystem::path folder_;
  pid_t pid_ = 0;
  std::atomic<bool> watching_{ true };
  std::atomic<std::uint64_t> peakMemory_{ 0 };
  std::atomic<std::size_t> peakDescriptors_{ 0 };
  std::thread watcher_;
};

/// Waits for a condition to hold.
/// @returns whether it held within a time that only a process that hangs needs
[[nodiscard]] bool
HoldsInTime(const std::function<bool()>& aCondition);

/// Sends one request on a connection of its own and reads the response.
/// @returns its status; 0 if none arrived
[[nodiscard]] int
AskOnce(std::uint16_t aPort, const std::string& aRequest);

/// Waits until a request is answered with 200.
/// @returns whether it was
[[nodiscard]] bool
IsServedInTime(std::uint16_t aPort, const std::string& aRequest);

} // namespace marjoramtally::test
