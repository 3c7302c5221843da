/// A seeded simulation of jobs on several gateways that share one store, with
/// consecutive and overlapping faults. Reads are checked for consistency.
#pragma once

#include "daemon/leased_key.hpp"
#include "job_gateway.hpp"
#include "marjoramtally/base/random.hpp"
#include "store_link.hpp"

namespace marjoramtally::test {

/// One run of a gateway process.
struct SimulatedProcess
{
  SimulatedProcess(GatewayFakes& aFakes,
                   const std::string& aInstance,
                   const std::string& aAddress,
                   int aRun);

  std::string incarnation_;
  StoreLink store_;
  JobGateway site_;
  LeasedKey liveness_;
  /// When a fault last affected it.
  TimePoint lastFaultAt_;
};

/// Runs the simulation and collects violations.
class JobSimulation
{
public:
  explicit JobSimulation(std::uint64_t aSeed);

  void Run();
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return violations_;
  }
  /// @returns the number of distinct results read
  [[nodiscard]] std::size_t ResultsRead() const noexcept { return read_; }
  /// @returns the number of changes of owner
  [[nodiscard]] std::size_t Takeovers() const noexcept { return takeovers_; }

private:
  /// A job and the results read of it.
  struct SimulatedJob
  {
    JobId id_;
    int items_ = 0;
    std::shared_ptr<FakeReply> reply_;
    TimePoint accepted_;
    bool endAsked_ = false;
    std::string owner_;
    /// Results by position and the time when each was first read.
    std::vector<std::pair<std::string, TimePoint>> results_;
  };

  void StartProcess(std::size_t aIndex);
  void Kill(std::size_t aIndex);
  void Link();
  void Step();
  void AnswerCalls();
  void ExpireLeases();
  void Submit();
  void RecordAccepted();
  void CountTakeovers();
  void ReadRandomJob();
  void Read(std::size_t aJob, std::size_t aProcess, std::uint64_t aAfter);
  void CheckRead(std::size_t aJob,
                 std::size_t aProcess,
                 std::uint64_t aAfter,
                 TimePoint aAsked,
                 const FakeReply& aReply);
  void EndRandomJob();
  void InjectFault();
  void ReadAllEverywhere();
  [[nodiscard]] bool IsSettled(std::size_t aProcess) const;
  void AddViolation(const std::string& aWhat);
  [[nodiscard]] TimePoint Now() const { return fakes_.clock_.Now(); }

  std::uint64_t seed_;
  Random random_;
  GatewayFakes fakes_;
  std::vector<std::unique_ptr<SimulatedProcess>> processes_;
  /// Killed processes, kept because timers still refer to them; they are
  /// disconnected.
  std::vector<std::unique_ptr<SimulatedProcess>> killed_;
  std::vector<int> runs_;
  std::map<StoreLeaseId, TimePoint> leases_;
  std::vector<SimulatedJob> jobs_;
  TimePoint nextFault_;
  std::size_t read_ = 0;
  std::size_t takeovers_ = 0;
  int answers_ = 0;
  bool faults_ = true;
  std::vector<std::string> violations_;
};

} // namespace marjoramtally::test
