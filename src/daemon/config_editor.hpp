/// Takes edits to their acceptance in the store.
#pragma once

#include "daemon/manifest.hpp"
#include "marjoramtally/runtime.hpp"

#include <functional>
#include <future>

namespace marjoramtally {

/// The manifest and the store's revision of its last modification.
struct StoredManifest
{
  Manifest manifest_;
  std::uint64_t modification_ = 0;
};

/// How an edit ended.
struct EditResult
{
  /// One of the final steps.
  EditStep step_ = EditStep::Unsettled;
  /// The revision as which it is accepted.
  ConfigRevision revision_;
  std::string id_;
  /// Files that others changed.
  std::vector<std::string> conflicts_;
  Findings problems_;
};

/// Waits for the answer of an asynchronous call.
template<typename T, typename Start>
Result<T>
Await(Start aStart)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto future = promise->get_future();
  aStart([promise](Result<T> aResult) { promise->set_value(aResult); });
  return future.get();
}

/// Makes an edit without changes, with a fresh id and the present time.
[[nodiscard]] ConfigEdit
MakeEdit(std::string aAuthor);
/// Adds a file's new content to an edit.
void
AddChange(ConfigEdit& aEdit,
          std::string aName,
          std::string aBaseHash,
          std::string aText);

void
ReadStoredManifest(Store& aStore, StoreDone<StoredManifest> aDone);

/// Drives an edit until it has ended. An error says whether the edit may
/// have taken effect.
/// @param aStore outlives the call, as do the timers
void
SubmitEdit(Store& aStore,
           Timers& aTimers,
           ConfigEdit aEdit,
           StoreDone<EditResult> aDone);

/// Deletes contents that no kept revision uses.
/// @returns how many
[[nodiscard]] Result<std::uint64_t>
SweepContents(Store& aStore);

/// @returns the kept records of the log, oldest first
[[nodiscard]] Result<std::vector<Manifest>>
ReadLog(Store& aStore);

/// @returns the contents of a manifest's files
[[nodiscard]] Result<ConfigContent>
ReadContent(Store& aStore, const Manifest& aManifest);

} // namespace marjoramtally
