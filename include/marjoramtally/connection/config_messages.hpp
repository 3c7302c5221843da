/// Messages that distribute the accepted configuration between instances.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <vector>

namespace marjoramtally {

/// Announces a revision, or requests a newer one.
struct ConfigRequest
{
  /// Revision in force at the sender.
  ConfigRevision revision_;
  /// RPC address of the sender.
  std::string sender_;
  /// Requests the manifest and all contents that are not in `known_`.
  bool fetch_ = false;
  /// Hashes of the contents that the sender already has.
  std::vector<std::string> known_;
};

/// Content of one configuration file and its hash.
struct ConfigBlob
{
  std::string hash_;
  std::string text_;
};

/// Revision in force at the receiver, plus manifest and contents if requested.
struct ConfigReply
{
  ConfigRevision revision_;
  /// The manifest in its stored format.
  std::string manifest_;
  std::vector<ConfigBlob> blobs_;
};

[[nodiscard]] std::string
EncodeConfigRequest(const ConfigRequest& aRequest);
[[nodiscard]] Result<ConfigRequest>
DecodeConfigRequest(std::string_view aBytes);
[[nodiscard]] std::string
EncodeConfigReply(const ConfigReply& aReply);
[[nodiscard]] Result<ConfigReply>
DecodeConfigReply(std::string_view aBytes);

} // namespace marjoramtally
