/// A seeded play of jobs on several gateways before one store, with faults in
/// series and at once; a reader checks what it is told.
#pragma once

#include "daemon/leased_key.hpp"
#include "gateway_fixture.hpp"
#include "marjoramtally/base/random.hpp"
#include "programs/gatewayd/job_api.hpp"

namespace marjoramtally::test {

/// The store as one process reaches it.
class ReachedStore final : public Store
{
public:
  ReachedStore(FakeStore& aStore, LoopTimers& aTimers)
    : store_(aStore)
    , timers_(aTimers)
  {
  }

  void Read(std::string aPrefix, StoreDone<StoreRange> aDone) override;
  void Commit(StoreTxn aTxn, StoreDone<StoreCommit> aDone) override;
  void GrantLease(Duration aTtl, StoreDone<StoreLease> aDone) override;
  void KeepAlive(StoreLeaseId aLease, StoreDone<StoreLease> aDone) override;
  void RevokeLease(StoreLeaseId aLease, StoreDone<bool> aDone) override;
  StoreWatchId Watch(
    std::string aPrefix,
    std::uint64_t aFromRevision,
    std::function<void(const StoreWatchBatch&)> aOnBatch) override;
  void StopWatch(StoreWatchId aWatch) override;

  /// While cut off, calls do nothing and get no answer, those under way get
  /// none, and watches are told once the cut is over.
  void SetCut(bool aCut);
  /// Watches are told this much late, as through a relay that is gone.
  void SetLag(Duration aLag) { lag_ = aLag; }
  /// All watches lose their place.
  void LoseHistory();

  /// Told of each lease that was granted or renewed, with its end.
  std::function<void(StoreLeaseId, TimePoint)> onLease_;
  std::function<TimePoint()> now_;

private:
  struct OwnWatch
  {
    StoreWatchId inner_ = 0;
    std::function<void(const StoreWatchBatch&)> onBatch_;
    std::deque<StoreWatchBatch> waiting_;
  };

  template<typename T>
  StoreDone<T> Answered(StoreDone<T> aDone);
  void Deliver(StoreWatchId aId);

  FakeStore& store_;
  LoopTimers& timers_;
  bool cut_ = false;
  Duration lag_{ 0 };
  StoreWatchId last_ = 0;
  std::map<StoreWatchId, OwnWatch> watches_;
};

/// One run of a gateway's process.
struct PlayedProcess
{
  PlayedProcess(GatewayFakes& aFakes,
                const std::string& aInstance,
                const std::string& aAddress,
                int aRun);

  std::string incarnation_;
  ReachedStore store_;
  LinkedPeers peers_;
  FakeClient client_;
  RelayPlan relays_;
  Metrics metrics_;
  GatewayContext host_;
  UpstreamBoard board_{ ZoneId{ "z1" } };
  RouteTable routes_;
  Forwarder forwarder_{ host_, board_ };
  JobStore jobStore_{ host_ };
  JobDirectory directory_{ host_, jobStore_ };
  JobRunner runner_{ host_, routes_, board_, forwarder_, jobStore_ };
  JobApi api_{ host_, jobStore_, directory_, runner_ };
  LeasedKey life_;
  /// When a fault last touched it.
  TimePoint touched_;
};

/// The play. It collects what broke a promise.
class JobPlay
{
public:
  explicit JobPlay(std::uint64_t aSeed);

  void Run();
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }
  /// @returns results read in the whole play
  [[nodiscard]] std::size_t ResultsRead() const noexcept { return read_; }
  /// @returns jobs that changed their owner
  [[nodiscard]] std::size_t Takeovers() const noexcept { return takeovers_; }

private:
  /// What the reader knows of a job.
  struct PlayedJob
  {
    JobId id_;
    int items_ = 0;
    std::shared_ptr<FakeReply> reply_;
    TimePoint accepted_;
    bool endAsked_ = false;
    std::string owner_;
    /// Results by position, with when each was first read.
    std::vector<std::pair<std::string, TimePoint>> results_;
  };

  void StartProcess(std::size_t aIndex);
  void Kill(std::size_t aIndex);
  void Link();
  void Step();
  void AnswerCalls();
  void LapseLeases();
  void Submit();
  void NoteAccepted();
  void CountTakeovers();
  void ReadSome();
  void Read(std::size_t aJob, std::size_t aProcess, std::uint64_t aAfter);
  void TakeRead(std::size_t aJob,
                std::size_t aProcess,
                std::uint64_t aAfter,
                TimePoint aAsked,
                const FakeReply& aReply);
  void EndSome();
  void Fault();
  void ReadAllEverywhere();
  [[nodiscard]] bool InTouch(std::size_t aProcess) const;
  void Broken(const std::string& aWhat);
  [[nodiscard]] TimePoint Now() const { return fakes_.clock_.Now(); }

  std::uint64_t seed_;
  Random random_;
  GatewayFakes fakes_;
  std::vector<std::unique_ptr<PlayedProcess>> processes_;
  /// Killed runs; they reach nobody, but their timers still refer to them.
  std::vector<std::unique_ptr<PlayedProcess>> dead_;
  std::vector<int> runs_;
  std::map<StoreLeaseId, TimePoint> leases_;
  std::vector<PlayedJob> jobs_;
  TimePoint nextFault_;
  std::size_t read_ = 0;
  std::size_t takeovers_ = 0;
  int answers_ = 0;
  bool faults_ = true;
  std::vector<std::string> violations_;
};

} // namespace marjoramtally::test
