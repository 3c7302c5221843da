/// Submits configuration edits to the store.
#pragma once

#include "daemon/manifest.hpp"
#include "marjoramtally/runtime.hpp"

#include <functional>
#include <future>

namespace marjoramtally {

/// The manifest and the store revision of its last modification.
struct StoredManifest
{
  Manifest manifest_;
  std::uint64_t modification_ = 0;
};

/// Outcome of an edit.
struct EditResult
{
  /// One of the final steps.
  EditStep step_ = EditStep::Unsettled;
  /// The revision under which the edit was accepted.
  ConfigRevision revision_;
  std::string id_;
  /// Files that other editors changed in the meantime.
  std::vector<std::string> conflicts_;
  Findings problems_;
};

/// Blocks until an asynchronous call has returned its result.
template<typename T, typename Start>
Result<T>
Await(Start aStart)
{
  auto promise = std::make_shared<std::promise<Result<T>>>();
  auto future = promise->get_future();
  aStart([promise](Result<T> aResult) { promise->set_value(aResult); });
  return future.get();
}

/// Makes an empty edit with a new random id and the current time.
[[nodiscard]] ConfigEdit
MakeEdit(std::string aAuthor);
/// Adds the new content of a file to an edit.
void
AddChange(ConfigEdit& aEdit,
          std::string aName,
          std::string aBaseHash,
          std::string aText);

void
ReadStoredManifest(Store& aStore, StoreDone<StoredManifest> aDone);

/// Submits an edit and retries until its outcome is final. An error states
/// whether the edit may have taken effect.
/// @param aStore must outlive the call, like the timers
void
SubmitEdit(Store& aStore,
           Timers& aTimers,
           ConfigEdit aEdit,
           StoreDone<EditResult> aDone);

/// Deletes blobs that no retained revision references.
/// @returns the number of deleted blobs
[[nodiscard]] Result<std::uint64_t>
SweepContents(Store& aStore);

/// @returns the retained log records, oldest first
[[nodiscard]] Result<std::vector<Manifest>>
ReadLog(Store& aStore);

/// @returns the contents of a manifest's files
[[nodiscard]] Result<ConfigContent>
ReadContent(Store& aStore, const Manifest& aManifest);

} // namespace marjoramtally
