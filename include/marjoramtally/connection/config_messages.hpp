/// Messages of the configuration topic between instances.
#pragma once

#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/result.hpp"

#include <vector>

namespace marjoramtally {

/// Tells a revision, or asks for one.
struct ConfigRequest
{
  /// Revision in force at the sender.
  ConfigRevision revision_;
  /// The sender's RPC address.
  std::string sender_;
  /// Asks for the manifest and the contents not known.
  bool fetch_ = false;
  /// Hashes of the contents that the sender has.
  std::vector<std::string> known_;
};

/// One content and its hash.
struct ConfigBlob
{
  std::string hash_;
  std::string text_;
};

/// The receiver's revision; the rest if it was asked for.
struct ConfigReply
{
  ConfigRevision revision_;
  /// The manifest as it stands in the store.
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
