#include "job_simulation.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kProcesses = 5;
constexpr auto kStep = 20ms;
constexpr auto kDuration = 30s;
/// A process is checked only if no fault affected it for this long.
constexpr auto kSettledAfter = 3s;
/// Every process must return a result this long after it was first read.
constexpr auto kVisibleWithin = 1s;
/// Maximum delay of watch events caused by a failed relay.
constexpr std::uint64_t kMaxLagMillis = 1650;
constexpr auto kIdleLease = 12s;

std::string
AddressOf(std::size_t aIndex)
{
  return "a:" + std::to_string(aIndex);
}

} // namespace

SimulatedProcess::SimulatedProcess(GatewayFakes& aFakes,
                                   const std::string& aInstance,
                                   const std::string& aAddress,
                                   int aRun)
  : incarnation_(aInstance + "~" + std::to_string(aRun))
  , store_(aFakes.store_, aFakes.timers_)
  , site_(aFakes, store_, incarnation_)
  , liveness_(store_,
              aFakes.timers_,
              aFakes.clock_,
              { job_keys::Liveness(incarnation_),
                WriteLivenessRecord({ ZoneId{ "z1" }, aAddress }),
                kIdleLease,
                false })
{
  for (int i = 0; i < 3; ++i) {
    UpstreamEntry entry;
    entry.id_ = UpstreamId{ "e" + std::to_string(i) };
    entry.service_ = ServiceId{ "lm" };
    entry.address_ = entry.id_.Get() + ":1";
    entry.zone_ = ZoneId{ "z1" };
    entry.slots_ = 20;
    entry.models_ = { { "m0", WeightVersion{ 5 } },
                      { "m1", WeightVersion{ 5 } },
                      { "m2", WeightVersion{ 5 } } };
    site_.upstreamTable_.OnEntry(std::move(entry));
  }
}

JobSimulation::JobSimulation(std::uint64_t aSeed)
  : seed_(aSeed)
  , random_(aSeed)
  , processes_(kProcesses)
  , runs_(kProcesses, 0)
{
}

void
JobSimulation::AddViolation(const std::string& aWhat)
{
  violations_.push_back("seed " + std::to_string(seed_) + " at " +
                        std::to_string(WholeMillis(Now() - TimePoint{})) +
                        " ms: " + aWhat);
}

bool
JobSimulation::IsSettled(std::size_t aProcess) const
{
  const auto& process = processes_[aProcess];
  return process && Now() - process->lastFaultAt_ >= kSettledAfter;
}

void
JobSimulation::StartProcess(std::size_t aIndex)
{
  auto process = std::make_unique<SimulatedProcess>(
    fakes_, "p" + std::to_string(aIndex), AddressOf(aIndex), ++runs_[aIndex]);
  SimulatedProcess& started = *process;
  started.lastFaultAt_ = Now();
  started.store_.now_ = [this] { return Now(); };
  started.store_.onLease_ = [this](StoreLeaseId aLease, TimePoint aEnd) {
    leases_[aLease] = aEnd;
  };
  started.site_.runner_.onUnfinishedChanged_ = [this, &started](bool aOwning) {
    started.liveness_.SetTtl(aOwning ? fakes_.settings_.leaseTtl_
                                     : Duration{ kIdleLease });
  };
  processes_[aIndex] = std::move(process);
  Link();
  started.liveness_.Start();
  started.site_.directory_.Start();
}

void
JobSimulation::Kill(std::size_t aIndex)
{
  if (!processes_[aIndex]) {
    return;
  }
  processes_[aIndex]->store_.SetCut(true);
  processes_[aIndex]->site_.peers_.cut_ = true;
  killed_.push_back(std::move(processes_[aIndex]));
  Link();
  fakes_.timers_.After(500ms, [this, aIndex] { StartProcess(aIndex); });
}

void
JobSimulation::Link()
{
  for (auto& process : processes_) {
    if (!process) {
      continue;
    }
    process->site_.peers_.others_.clear();
    for (std::size_t i = 0; i < kProcesses; ++i) {
      if (processes_[i]) {
        process->site_.peers_.others_[AddressOf(i)] =
          &processes_[i]->site_.peers_;
      }
    }
  }
}

void
JobSimulation::AnswerCalls()
{
  for (auto& process : processes_) {
    if (!process || process->site_.client_.open_.empty() ||
        random_.Below(20) != 0) {
      continue;
    }
    auto& open = process->site_.client_.open_;
    const SentCall call = open[random_.Below(open.size())];
    HttpResponse response = fakes_.Answer(
      call, 200, "id: 1\ndata: run" + std::to_string(++answers_) + "\n\n");
    response.headers_.push_back({ fakes_.platform_->Names().versions_, "5" });
    process->site_.client_.Answer(call, std::move(response));
  }
}

void
JobSimulation::ExpireLeases()
{
  std::vector<StoreLeaseId> expired;
  for (const auto& [lease, end] : leases_) {
    if (end <= Now()) {
      expired.push_back(lease);
    }
  }
  for (const StoreLeaseId lease : expired) {
    leases_.erase(lease);
    fakes_.store_.ExpireLease(lease);
  }
}

void
JobSimulation::Submit()
{
  const std::size_t at = random_.Below(kProcesses);
  if (!processes_[at]) {
    return;
  }
  SimulatedJob job;
  job.id_ = JobId{ "j" + std::to_string(jobs_.size()) };
  job.items_ = 2 + static_cast<int>(random_.Below(10));
  job.accepted_ = kNever;
  std::string items;
  for (int i = 0; i < job.items_; ++i) {
    items += (i == 0 ? "" : ",") + std::string(R"({"id":")") + job.id_.Get() +
             "i" + std::to_string(i) + R"(","path":"/i/a","headers":{},)" +
             R"("body":"aGk=","tokens":1})";
  }
  HttpRequest request;
  request.method_ = "POST";
  request.path_ = "/i/" + job.id_.Get();
  request.headers_ = { { "Host", "h" },
                       { fakes_.platform_->Names().attempt_, job.id_.Get() } };
  request.body_ = R"({"model":"m)" + std::to_string(random_.Below(3)) +
                  R"(","items":[)" + items + "]}";
  job.reply_ = std::make_shared<FakeReply>();
  processes_[at]->site_.jobs_.Submit(
    std::move(request), ConfigRevision{ 1 }, job.reply_);
  jobs_.push_back(std::move(job));
}

void
JobSimulation::RecordAccepted()
{
  for (SimulatedJob& job : jobs_) {
    if (job.accepted_ == kNever && job.reply_->status_ == 202) {
      job.accepted_ = Now();
    }
  }
}

void
JobSimulation::Read(std::size_t aJob,
                    std::size_t aProcess,
                    std::uint64_t aAfter)
{
  if (!processes_[aProcess]) {
    return;
  }
  JobQuery query;
  query.job_ = jobs_[aJob].id_;
  query.verb_ = JobQuery::Verb::Read;
  query.after_ = aAfter;
  const bool disturbed = !IsSettled(aProcess);
  const std::string incarnation = processes_[aProcess]->incarnation_;
  const auto reply = std::make_shared<FakeReply>();
  const TimePoint asked = Now();
  processes_[aProcess]->site_.jobs_.Query(query, HttpRequest{}, reply);
  fakes_.timers_.After(
    1500ms,
    [this, aJob, aProcess, aAfter, asked, reply, disturbed, incarnation] {
      if (!disturbed && IsSettled(aProcess) &&
          processes_[aProcess]->incarnation_ == incarnation) {
        CheckRead(aJob, aProcess, aAfter, asked, *reply);
      }
    });
}

void
JobSimulation::CheckRead(std::size_t aJob,
                         std::size_t aProcess,
                         std::uint64_t aAfter,
                         TimePoint aAsked,
                         const FakeReply& aReply)
{
  SimulatedJob& job = jobs_[aJob];
  const std::string where = job.id_.Get() + " at " +
                            processes_[aProcess]->incarnation_ + " after " +
                            std::to_string(aAfter);
  if (aReply.status_ == 404 && aAsked - kVisibleWithin > job.accepted_) {
    AddViolation(where + ": job not found");
  }
  if (aReply.status_ != 200) {
    return;
  }
  const auto page = nlohmann::json::parse(aReply.body_);
  std::size_t position = aAfter;
  for (const auto& result : page.at("results")) {
    const std::string what = result.dump();
    if (position < job.results_.size()) {
      if (job.results_[position].first != what) {
        AddViolation(where + ": different result at " +
                     std::to_string(position));
      }
    } else if (position == job.results_.size()) {
      job.results_.emplace_back(what, Now());
      ++read_;
    }
    ++position;
  }
  for (std::size_t i = position; i < job.results_.size(); ++i) {
    if (job.results_[i].second + kVisibleWithin < aAsked) {
      AddViolation(
        where + ": no result at " + std::to_string(i) + ", first read " +
        std::to_string(WholeMillis(aAsked - job.results_[i].second)) +
        " ms earlier" + (job.endAsked_ ? ", job ended" : ""));
      break;
    }
  }
}

void
JobSimulation::CountTakeovers()
{
  for (SimulatedJob& job : jobs_) {
    const auto it = fakes_.store_.records_.find(job_keys::Owner(job.id_));
    if (it == fakes_.store_.records_.end()) {
      continue;
    }
    const std::string owner = ReadOwnerRecord(it->second.value_).value().owner_;
    takeovers_ += job.owner_.empty() || owner == job.owner_ ? 0 : 1;
    job.owner_ = owner;
  }
}

void
JobSimulation::ReadRandomJob()
{
  if (jobs_.empty()) {
    return;
  }
  const std::size_t job = random_.Below(jobs_.size());
  const std::size_t process = random_.Below(kProcesses);
  Read(job, process, random_.Below(2) == 0 ? 0 : jobs_[job].results_.size());
}

void
JobSimulation::EndRandomJob()
{
  const std::size_t index = random_.Below(jobs_.size());
  const std::size_t process = random_.Below(kProcesses);
  SimulatedJob& job = jobs_[index];
  if (job.endAsked_ || job.results_.empty() || !processes_[process]) {
    return;
  }
  job.endAsked_ = true;
  JobQuery query;
  query.job_ = job.id_;
  query.verb_ = JobQuery::Verb::End;
  processes_[process]->site_.jobs_.Query(
    query, HttpRequest{}, std::make_shared<FakeReply>());
}

/// Injects faults of one process, of all processes and of the store; faults
/// may overlap.
void
JobSimulation::InjectFault()
{
  const std::size_t index = random_.Below(kProcesses);
  SimulatedProcess* process = processes_[index].get();
  const auto lasts = std::chrono::milliseconds(500 + random_.Below(5000));
  nextFault_ = Now() + std::chrono::milliseconds(300 + random_.Below(2500));
  if (process == nullptr) {
    return;
  }
  const auto after = [&](Duration aPause, std::function<void()> aTask) {
    fakes_.timers_.After(aPause, std::move(aTask));
  };
  switch (random_.Below(9)) {
    case 0:
    case 8: {
      // A long disconnection may exceed the store's event history.
      const bool loses = random_.Below(2) == 0;
      process->lastFaultAt_ = kNever;
      process->store_.SetCut(true);
      after(lasts, [this, process, loses] {
        if (loses) {
          process->store_.LoseHistory();
        }
        process->store_.SetCut(false);
        process->lastFaultAt_ = Now();
      });
      return;
    }
    case 1:
      Kill(index);
      return;
    case 2:
      process->store_.SetLag(
        std::chrono::milliseconds(random_.Below(kMaxLagMillis)));
      after(lasts, [process] { process->store_.SetLag(Duration{ 0 }); });
      return;
    case 3:
      for (auto& other : processes_) {
        if (other) {
          other->store_.LoseHistory();
        }
      }
      return;
    case 4:
      process->store_.LoseHistory();
      return;
    case 5:
      process->site_.peers_.cut_ = true;
      process->lastFaultAt_ = kNever;
      after(lasts, [this, process] {
        process->site_.peers_.cut_ = false;
        process->lastFaultAt_ = Now();
      });
      return;
    case 6:
      fakes_.store_.delay_ = 300ms;
      after(lasts, [this] { fakes_.store_.delay_ = 4ms; });
      return;
    default:
      fakes_.store_.fault_ = StoreFault::LosesAnswers;
      after(600ms, [this] { fakes_.store_.fault_ = StoreFault::None; });
      return;
  }
}

void
JobSimulation::Step()
{
  AnswerCalls();
  ExpireLeases();
  RecordAccepted();
  if (faults_ && random_.Below(70) == 0) {
    Submit();
  }
  if (random_.Below(3) == 0) {
    ReadRandomJob();
  }
  if (!jobs_.empty() && random_.Below(60) == 0) {
    EndRandomJob();
  }
  if (faults_ && Now() >= nextFault_) {
    InjectFault();
  }
  CountTakeovers();
  fakes_.timers_.Advance(kStep);
}

void
JobSimulation::ReadAllEverywhere()
{
  for (std::size_t job = 0; job < jobs_.size(); ++job) {
    for (std::size_t process = 0; process < kProcesses; ++process) {
      Read(job, process, 0);
    }
  }
  fakes_.timers_.Advance(2s);
}

void
JobSimulation::Run()
{
  for (std::size_t i = 0; i < kProcesses; ++i) {
    StartProcess(i);
  }
  fakes_.timers_.Advance(100ms);
  nextFault_ = Now() + 2s;
  const TimePoint end = Now() + kDuration;
  while (Now() < end) {
    Step();
  }
  // No more faults: every process is connected and must return all results.
  faults_ = false;
  const TimePoint calm = Now() + 12s;
  while (Now() < calm) {
    Step();
  }
  ReadAllEverywhere();
}

} // namespace marjoramtally::test
