/// Compares the records of trainers, callers and engines: samples lost,
/// duplicated, mislabelled or stale, and late live calls.

#include "standins/standin.hpp"

#include <iostream>
#include <set>

namespace marjoramtally::standin {

namespace {

/// Totals over all records.
struct Tally
{
  std::set<std::pair<std::uint64_t, std::uint64_t>> identities_;
  std::map<std::string, Json> generations_;
  std::set<std::string> texts_;
  std::vector<Json> samples_;
  std::uint64_t duplicates_ = 0;
  std::uint64_t mislabelled_ = 0;
  std::uint64_t stale_ = 0;
  std::uint64_t liveCalls_ = 0;
  std::uint64_t liveLate_ = 0;
  std::uint64_t idleMillis_ = 0;
  std::uint64_t gapMillis_ = 0;
  std::uint64_t stalenessMax_ = 0;
  bool trainerEnded_ = false;
};

void
AddRecord(const Json& aLine, Tally& aTally)
{
  const std::string kind = aLine.value("kind", "");
  if (kind == "generation") {
    aTally.generations_[aLine["text"].get<std::string>()] =
      aLine["weight_versions"];
  } else if (kind == "sample") {
    aTally.samples_.push_back(aLine);
  } else if (kind == "live") {
    ++aTally.liveCalls_;
    aTally.liveLate_ += aLine["late"].get<bool>() ? 1 : 0;
  } else if (kind == "trainer_end") {
    aTally.idleMillis_ += aLine["idle_ms"].get<std::uint64_t>();
    aTally.gapMillis_ =
      std::max(aTally.gapMillis_, aLine.value("gap_ms", std::uint64_t{ 0 }));
    aTally.trainerEnded_ = true;
  }
}

void
CheckSample(const Json& aSample, Tally& aTally)
{
  const bool newIdentity = aTally.identities_
                             .emplace(aSample["step"].get<std::uint64_t>(),
                                      aSample["index"].get<std::uint64_t>())
                             .second;
  const std::string text = aSample["text"].get<std::string>();
  const bool newText = aTally.texts_.insert(text).second;
  aTally.duplicates_ += newIdentity && newText ? 0 : 1;
  const auto generation = aTally.generations_.find(text);
  const bool labelled = generation != aTally.generations_.end() &&
                        generation->second == aSample["weight_versions"];
  aTally.mislabelled_ += labelled ? 0 : 1;
  const auto trainerVersion = aSample["trainer_version"].get<std::uint64_t>();
  std::uint64_t oldest = trainerVersion;
  for (const Json& span : aSample["weight_versions"]) {
    oldest = std::min(oldest, span["version"].get<std::uint64_t>());
  }
  const std::uint64_t staleness = trainerVersion - oldest;
  aTally.stalenessMax_ = std::max(aTally.stalenessMax_, staleness);
  const auto bound = aSample["staleness_bound"].get<std::uint64_t>();
  aTally.stale_ += staleness > bound ? 1 : 0;
}

} // namespace

int
RunVerify(const Options& aOptions)
{
  Tally tally;
  for (const auto& entry :
       std::filesystem::directory_iterator(aOptions.records_)) {
    std::ifstream file(entry.path());
    std::string line;
    while (std::getline(file, line)) {
      const Json parsed = Json::parse(line, nullptr, false);
      if (parsed.is_object()) {
        AddRecord(parsed, tally);
      }
    }
  }
  for (const Json& sample : tally.samples_) {
    CheckSample(sample, tally);
  }
  const std::uint64_t expected =
    aOptions.steps_ * aOptions.groups_ * aOptions.groupSize_;
  const std::uint64_t unique = tally.identities_.size();
  const std::uint64_t lost = expected > unique ? expected - unique : 0;
  std::cout << "demo: samples=" << unique << " duplicates=" << tally.duplicates_
            << " lost=" << lost << " mislabelled=" << tally.mislabelled_
            << " stale=" << tally.stale_ << " live_asked=" << tally.liveCalls_
            << " live_late=" << tally.liveLate_
            << " idle_ms=" << tally.idleMillis_
            << " gap_ms=" << tally.gapMillis_
            << " staleness_max=" << tally.stalenessMax_ << '\n';
  const bool passed = unique == expected && lost == 0 &&
                      tally.duplicates_ == 0 && tally.mislabelled_ == 0 &&
                      tally.stale_ == 0 && tally.liveLate_ == 0 &&
                      tally.liveCalls_ > 0 && tally.trainerEnded_;
  return passed ? kExitOk : kExitFailed;
}

} // namespace marjoramtally::standin
