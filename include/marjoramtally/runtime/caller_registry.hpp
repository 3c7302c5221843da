/// The connections of all callers of a process, over all of its servers.
#pragma once

#include "marjoramtally/process/caller_limits.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace marjoramtally {

class IoPool;
class Metrics;

/// What the machine gives to the process.
struct MachineLimits
{
  /// Bytes; 0: all memory of the machine.
  std::uint64_t memory_ = 0;
  /// 0: as many as the system lets the process open.
  std::uint64_t descriptors_ = 0;
};

/// Applies `CallerLimits` to the connections of a process. Thread-safe; the
/// functions mean what they mean there.
class CallerRegistry
{
public:
  /// Called on any thread when a connection has to give way.
  using GiveWay = std::function<void(const Eviction&)>;

  /// @param aMetrics counts refusals and connections that gave way; outlives
  /// this; may be null
  [[nodiscard]] static std::shared_ptr<CallerRegistry> Create(
    std::shared_ptr<IoPool> aPool,
    const MachineLimits& aLimits,
    Metrics* aMetrics);

  virtual ~CallerRegistry() = default;

  virtual void SetTimeouts(CallerTimeouts aTimeouts) = 0;
  /// Logs and counts a request that was refused before it was handed on.
  virtual void OnRefused(CallerId aCaller, std::string_view aWhy) = 0;

  /// @returns the id of a new connection; nullopt if there is no room for it
  [[nodiscard]] virtual std::optional<CallerId> Open(GiveWay aGiveWay) = 0;
  virtual void Close(CallerId aCaller) = 0;
  [[nodiscard]] virtual bool OnHead(CallerId aCaller, std::uint64_t aHeld) = 0;
  [[nodiscard]] virtual bool HasRoomFor(std::uint64_t aBody) = 0;
  [[nodiscard]] virtual bool OnBody(CallerId aCaller, std::uint64_t aHeld) = 0;
  virtual void OnRequest(CallerId aCaller, std::uint64_t aHeld) = 0;
  virtual void OnResponse(CallerId aCaller, std::uint64_t aBytes) = 0;
  virtual void OnProgress(CallerId aCaller) = 0;
  virtual void OnWritten(CallerId aCaller, std::uint64_t aBytes) = 0;
  virtual void OnAnswered(CallerId aCaller) = 0;
  [[nodiscard]] virtual bool Reserve(std::uint64_t aBytes) = 0;
  virtual void Release(std::uint64_t aBytes) = 0;
};

} // namespace marjoramtally
