#include "marjoramtally/version/sample_journal.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace marjoramtally;

namespace {

/// A temporary directory that is removed on destruction.
class Folder
{
public:
  Folder()
    : path_(std::filesystem::temp_directory_path() /
            ("marjoram-journal." + std::to_string(getpid())))
  {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directory(path_);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  [[nodiscard]] std::string File() const { return path_ / "samples.sqlite"; }

private:
  std::filesystem::path path_;
};

const TrainerId kTrainer{ "t" };
constexpr std::uint64_t kLarge = 1U << 20U;

StepSpec
MakeStep()
{
  StepSpec spec;
  spec.step_ = StepId{ 1 };
  spec.groupSize_ = 4;
  spec.prompts_ = { "a", "b" };
  return spec;
}

Sample
MakeSample(std::uint32_t aMember)
{
  Sample sample;
  sample.id_ = { StepId{ 1 }, 1, aMember };
  sample.text_ = "text with \xff and \0 bytes";
  sample.text_ += std::to_string(aMember);
  sample.tokens_ = 7;
  sample.spans_ = { { WeightVersion{ 1 }, 0, 3 },
                    { WeightVersion{ 2 }, 3, 7 } };
  sample.reward_ = 0.25;
  sample.upstream_ = UpstreamId{ "u" };
  return sample;
}

/// Overwrites the first occurrence of a text in a file.
void
Overwrite(const std::string& aFile,
          const std::string& aOld,
          const std::string& aNew)
{
  std::fstream file(aFile, std::ios::in | std::ios::out | std::ios::binary);
  const std::string content((std::istreambuf_iterator<char>(file)), {});
  const std::size_t at = content.find(aOld);
  REQUIRE(at != std::string::npos);
  file.clear();
  file.seekp(static_cast<std::streamoff>(at));
  file << aNew;
}

} // namespace

TEST_CASE("candidates survive a restart and corrupt ones are skipped")
{
  const Folder folder;
  const StepSpec spec = MakeStep();
  {
    const auto journal = SampleJournal::Open(folder.File(), kLarge);
    REQUIRE(journal);
    for (const std::uint32_t member : { 0U, 1U, 2U }) {
      CHECK(journal.value()->Append(kTrainer, spec, MakeSample(member)));
    }
  }
  const std::string text = MakeSample(1).text_;
  Overwrite(folder.File(), text, std::string(text.size(), 'x'));
  const auto journal = SampleJournal::Open(folder.File(), kLarge);
  REQUIRE(journal);
  const auto read = journal.value()->Read(kTrainer, spec);
  REQUIRE(read);
  CHECK(read.value().corrupt_ == 1);
  REQUIRE(read.value().samples_.size() == 2);
  const Sample& first = read.value().samples_.front();
  CHECK(first.id_ == MakeSample(0).id_);
  CHECK(first.text_ == MakeSample(0).text_);
  CHECK(first.spans_ == MakeSample(0).spans_);
  CHECK(first.reward_ == MakeSample(0).reward_);
  CHECK(journal.value()->Read(kTrainer, spec).value().corrupt_ == 0);
  // A step with the same number but other prompts has no candidates.
  StepSpec other = spec;
  other.prompts_ = { "a", "c" };
  CHECK(journal.value()->Read(kTrainer, other).value().samples_.empty());
  CHECK(journal.value()->Remove(kTrainer, spec.step_));
  CHECK(journal.value()->Read(kTrainer, spec).value().samples_.empty());
  CHECK(journal.value()->Bytes() == 0);
}

TEST_CASE(
  "the journal stays within its size limit and keeps the newest candidates")
{
  const Folder folder;
  constexpr std::uint64_t kBound = 1000;
  const auto journal = SampleJournal::Open(folder.File(), kBound);
  REQUIRE(journal);
  StepSpec spec = MakeStep();
  spec.groupSize_ = 100;
  for (std::uint32_t member = 0; member < 100; ++member) {
    REQUIRE(journal.value()->Append(kTrainer, spec, MakeSample(member)));
    REQUIRE(journal.value()->Bytes() <= kBound);
  }
  const auto read = journal.value()->Read(kTrainer, spec);
  REQUIRE(read);
  REQUIRE_FALSE(read.value().samples_.empty());
  CHECK(read.value().samples_.back().id_.member_ == 99);
}
