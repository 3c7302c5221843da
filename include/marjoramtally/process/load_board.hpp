/// What the processes of a fleet tell each other about load: the slots that
/// their calls hold, the slots that they want, and the load that upstreams
/// reported to them. Performs no input or output.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/process/upstream_load.hpp"
#include "marjoramtally/process/upstream_table.hpp"

#include <map>
#include <string>
#include <vector>

namespace marjoramtally {

/// Slots of a service that a process wants at present, for calls that it holds
/// there and calls that wait.
struct SlotDemand
{
  ServiceId service_;
  /// Empty for a plain service.
  std::string model_;
  /// Oldest weight version of the model that may serve the calls.
  WeightVersion minVersion_;
  std::uint32_t wanted_ = 0;
};

/// Calls of a process in flight at one upstream.
struct HeldSlots
{
  UpstreamId upstream_;
  std::uint32_t calls_ = 0;
};

/// A load report that a process received from an upstream.
struct ObservedLoad
{
  UpstreamId upstream_;
  UpstreamStart start_;
  LoadReport report_;
  /// Age of the report when the news was sent.
  Duration age_{ 0 };
};

/// The news of one process. Newer news replaces older news as a whole.
struct LoadNews
{
  /// Incarnation of the process.
  std::string process_;
  /// Increases with each news of the process.
  std::uint64_t sequence_ = 0;
  std::vector<SlotDemand> demands_;
  std::vector<HeldSlots> held_;
  std::vector<ObservedLoad> loads_;
};

/// How long news counts.
struct LoadBoardPolicy
{
  /// News without a successor for this long no longer counts: its process has
  /// died, or is cut off and then cannot place calls here either.
  Duration lifetime_ = std::chrono::milliseconds(1500);
};

/// The newest news of each other process. Not thread-safe.
class LoadBoard
{
public:
  explicit LoadBoard(std::string aSelf, LoadBoardPolicy aPolicy = {});

  /// @param aAge time since the news was sent by its process
  /// @returns whether the news is newer than what is known of its process
  bool OnNews(LoadNews aNews, Duration aAge, TimePoint aNow);
  /// The process has ended.
  void OnGone(const std::string& aProcess);

  /// @returns slots that other processes hold at an upstream
  [[nodiscard]] std::uint32_t Held(const UpstreamId& aUpstream,
                                   TimePoint aNow) const;
  /// @returns slots of a service that other processes want
  [[nodiscard]] std::vector<SlotDemand> Demands(const ServiceId& aService,
                                                TimePoint aNow) const;

private:
  struct Entry
  {
    LoadNews news_;
    TimePoint sentAt_;
  };

  [[nodiscard]] bool Counts(const Entry& aEntry, TimePoint aNow) const noexcept
  {
    return aNow - aEntry.sentAt_ <= policy_.lifetime_;
  }

  std::string self_;
  LoadBoardPolicy policy_;
  std::map<std::string, Entry> entries_;
};

} // namespace marjoramtally
