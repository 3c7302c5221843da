#include "programs/controld/candidate_store.hpp"

namespace marjoramtally {

namespace {

void
LogFailure(const Error& aError)
{
  LogEvent(LogLevel::Error, "journal_failed", { { "error", aError.message_ } });
}

} // namespace

CandidateStore::CandidateStore(const DaemonSettings& aSettings)
{
  if (aSettings.dataDir_.empty()) {
    return;
  }
  auto opened = SampleJournal::Open(aSettings.dataDir_ + "/samples.sqlite",
                                    aSettings.dataBytes_);
  if (opened) {
    journal_ = std::move(opened).value();
  } else {
    LogFailure(opened.error());
  }
}

void
CandidateStore::Append(const TrainerId& aTrainer,
                       const StepSpec& aSpec,
                       const Sample& aSample)
{
  if (journal_ == nullptr) {
    return;
  }
  const auto written = journal_->Append(aTrainer, aSpec, aSample);
  if (!written) {
    LogFailure(written.error());
  }
}

std::vector<Sample>
CandidateStore::Read(const TrainerId& aTrainer, const StepSpec& aSpec)
{
  if (journal_ == nullptr) {
    return {};
  }
  auto read = journal_->Read(aTrainer, aSpec);
  if (!read) {
    LogFailure(read.error());
    return {};
  }
  if (read.value().corrupt_ > 0) {
    LogEvent(LogLevel::Error,
             "journal_rows_corrupt",
             { { "trainer", aTrainer.Get() },
               { "rows", std::to_string(read.value().corrupt_) } });
  }
  return std::move(read).value().samples_;
}

void
CandidateStore::Remove(const TrainerId& aTrainer, StepId aStep)
{
  if (journal_ == nullptr) {
    return;
  }
  const auto removed = journal_->Remove(aTrainer, aStep);
  if (!removed) {
    LogFailure(removed.error());
  }
}

} // namespace marjoramtally
