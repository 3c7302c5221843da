/// Connects one run of a command to the store and to instances.
#pragma once

#include "daemon/cluster.hpp"
#include "daemon/config_editor.hpp"
#include "programs/ctl/commands.hpp"

namespace marjoramtally {

/// HTTP client, store and timers of one command.
class Session
{
public:
  explicit Session(const CommandInput& aInput);

  [[nodiscard]] Store& PlatformStore() { return *store_; }
  [[nodiscard]] HttpClient& Http() { return *client_; }
  [[nodiscard]] Result<StoredManifest> Accepted();
  /// @returns the records under the live prefix
  [[nodiscard]] Result<std::vector<StoreRecord>> Live();
  /// Submits an edit, prints its outcome and, with `--wait`, waits until it is
  /// in force.
  /// @returns the program's exit code
  int Submit(ConfigEdit aEdit);
  /// Fetches a path from an instance.
  /// @returns the body, or nothing without a complete response of status 200
  [[nodiscard]] std::optional<std::string> Query(const std::string& aAddress,
                                                 const std::string& aPath);

private:
  /// @returns an error if the store was restored from an older copy
  [[nodiscard]] Result<bool> CheckStoreNotOlder();
  int Report(const EditResult& aEnd);
  int WaitUntilInForce(ConfigRevision aRevision);

  const CommandInput& input_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<Store> store_;
  Timers timers_;
};

/// A live instance, from its registration in the store.
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
/// @returns the exit code for failure
int
PrintFailure(const Error& aError);

} // namespace marjoramtally
