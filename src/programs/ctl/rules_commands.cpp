#include "programs/ctl/commands.hpp"

#include "daemon/cluster.hpp"
#include "daemon/manifest.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace marjoramtally {

namespace {

constexpr auto kStoreTimeout = std::chrono::seconds(5);
constexpr int kPushTries = 5;

/// Waits for the answer of an asynchronous store call.
template<typename T, typename Start>
Result<T>
Await(Start aStart)
{
  std::promise<Result<T>> promise;
  auto future = promise.get_future();
  aStart([&promise](Result<T> aResult) { promise.set_value(aResult); });
  return future.get();
}

Checked<std::vector<RulesFile>>
ReadFolder(const std::string& aFolder)
{
  std::vector<RulesFile> files;
  Findings findings;
  std::error_code failure;
  std::filesystem::directory_iterator entries(aFolder, failure);
  if (failure) {
    findings.Add(SourcePlace{ aFolder, 0 }, "cannot read this folder");
    return findings;
  }
  for (const auto& entry : entries) {
    if (entry.path().extension() != ".ini") {
      continue;
    }
    auto text = ReadFile(entry.path());
    if (!text) {
      findings.Add(SourcePlace{ entry.path().string(), 0 },
                   text.error().message_);
      continue;
    }
    files.push_back(
      { entry.path().filename().string(), std::move(text).value() });
  }
  if (!findings.empty()) {
    return findings;
  }
  return files;
}

/// Reads and checks a folder, printing all findings.
std::optional<std::vector<RulesFile>>
LoadChecked(const CommandInput& aInput)
{
  if (aInput.words_.size() != 1) {
    std::cerr << "marjoramctl: give one rules folder\n";
    return std::nullopt;
  }
  const auto files = ReadFolder(aInput.words_.front());
  if (!files) {
    std::cerr << files.error().Render();
    return std::nullopt;
  }
  const auto merged = MergeRulesFiles(files.value());
  const auto rules =
    merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
  if (!rules) {
    std::cerr << rules.error().Render();
    return std::nullopt;
  }
  return files.value();
}

std::string
FreshEditId()
{
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

/// Builds the transaction that replaces the manifest read at a revision.
StoreTxn
MakePush(const std::vector<RulesFile>& aFiles,
         const Manifest& aManifest,
         std::uint64_t aModRevision)
{
  StoreTxn txn;
  txn.compares_.push_back({ std::string(kManifestKey), aModRevision });
  for (const RulesFile& file : aFiles) {
    txn.puts_.push_back(
      { std::string(kBlobPrefix) + ContentHash(file.text_), file.text_, 0 });
  }
  txn.puts_.push_back(
    { std::string(kManifestKey), FormatManifest(aManifest), 0 });
  return txn;
}

/// What is accepted now; revision 0 if nothing is.
struct Accepted
{
  Manifest manifest_;
  std::uint64_t modRevision_ = 0;
};

Result<Accepted>
ReadAccepted(Store& aStore)
{
  const auto read = Await<StoreRange>([&](auto aDone) {
    aStore.Read(std::string(kManifestKey), std::move(aDone));
  });
  if (!read) {
    return read.error();
  }
  Accepted accepted;
  if (!read.value().records_.empty()) {
    const StoreRecord& record = read.value().records_.front();
    auto manifest = ParseManifest(record.value_);
    if (!manifest) {
      return manifest.error();
    }
    accepted.manifest_ = std::move(manifest).value();
    accepted.modRevision_ = record.modRevision_;
  }
  return accepted;
}

/// Replaces the accepted rules; a lost answer is settled by the edit's id.
Result<ConfigRevision>
Push(Store& aStore, const std::vector<RulesFile>& aFiles)
{
  const std::string edit = FreshEditId();
  for (int i = 0; i < kPushTries; ++i) {
    const auto accepted = ReadAccepted(aStore);
    if (!accepted) {
      return accepted.error();
    }
    if (accepted.value().manifest_.edit_ == edit) {
      return accepted.value().manifest_.revision_;
    }
    Manifest next;
    next.edit_ = edit;
    next.revision_ =
      ConfigRevision{ accepted.value().manifest_.revision_.Get() + 1 };
    for (const RulesFile& file : aFiles) {
      next.files_.push_back({ file.name_, ContentHash(file.text_) });
    }
    const auto commit = Await<StoreCommit>([&](auto aDone) {
      aStore.Commit(MakePush(aFiles, next, accepted.value().modRevision_),
                    std::move(aDone));
    });
    if (commit && commit.value().applied_) {
      return next.revision_;
    }
  }
  return Error{ ErrorKind::Conflict, "others kept editing; try again" };
}

} // namespace

int
RunCheck(const CommandInput& aInput)
{
  if (!LoadChecked(aInput)) {
    return kExitBadInput;
  }
  std::cout << aInput.words_.front() << ": ok\n";
  return kExitOk;
}

int
RunPush(const CommandInput& aInput)
{
  const auto files = LoadChecked(aInput);
  if (!files) {
    return kExitBadInput;
  }
  const auto client = HttpClient::Create(1);
  const auto store = MakeEtcdStore(*client, aInput.store_, kStoreTimeout);
  const auto revision = Push(*store, *files);
  if (!revision) {
    std::cerr << "marjoramctl: " << revision.error().message_ << '\n';
    return kExitFailed;
  }
  std::cout << "accepted revision " << revision.value().Get() << '\n';
  return kExitOk;
}

int
RunStatus(const CommandInput& aInput)
{
  const auto client = HttpClient::Create(1);
  const auto store = MakeEtcdStore(*client, aInput.store_, kStoreTimeout);
  const auto accepted = ReadAccepted(*store);
  const auto live = Await<StoreRange>([&](auto aDone) {
    store->Read(std::string(kLivePrefix), std::move(aDone));
  });
  if (!accepted || !live) {
    std::cerr << "marjoramctl: "
              << (accepted ? live.error() : accepted.error()).message_ << '\n';
    return kExitFailed;
  }
  nlohmann::json out{ { "revision",
                        accepted.value().manifest_.revision_.Get() },
                      { "records", nlohmann::json::object() } };
  for (const StoreRecord& record : live.value().records_) {
    out["records"][record.key_.substr(kLivePrefix.size())] =
      nlohmann::json::parse(record.value_, nullptr, false);
  }
  if (aInput.json_) {
    std::cout << out.dump() << '\n';
    return kExitOk;
  }
  std::cout << "revision " << out["revision"] << '\n';
  for (const auto& [key, value] : out["records"].items()) {
    std::cout << key << ' ' << value.dump() << '\n';
  }
  return kExitOk;
}

} // namespace marjoramtally
