/// One run of a command against the store.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_editor.hpp"
#include "programs/ctl/commands.hpp"

namespace marjoramtally {

/// Client, store and timers of one command.
class Session
{
public:
  explicit Session(const CommandInput& aInput);

  [[nodiscard]] Store& PlatformStore() { return *store_; }
  [[nodiscard]] HttpClient& Http() { return *client_; }
  [[nodiscard]] Result<StoredManifest> Accepted();
  /// @returns the records under the live prefix
  [[nodiscard]] Result<std::vector<StoreRecord>> Live();
  /// Submits an edit, prints how it ended and, if wanted, waits until it
  /// is in force.
  /// @returns the program's exit code
  int Submit(ConfigEdit aEdit);
  /// Reads what an instance says of itself.
  /// @returns nothing if it does not answer
  [[nodiscard]] std::optional<std::string> Query(const std::string& aAddress,
                                                 const std::string& aPath);

private:
  [[nodiscard]] Result<bool> CheckStoreNotOlder();
  int Report(const EditResult& aEnd);
  int WaitUntilInForce(ConfigRevision aRevision);

  const CommandInput& input_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<Store> store_;
  Timers timers_;
};

/// One live instance as it registered itself.
struct LiveInstance
{
  std::string id_;
  std::string role_;
  std::string zone_;
  std::string http_;
};

[[nodiscard]] std::vector<LiveInstance>
ListInstances(const std::vector<StoreRecord>& aLive);

/// Prints an error.
/// @returns the exit code of a failure
int
PrintFailure(const Error& aError);

} // namespace marjoramtally
