/// Reads registrations of upstreams from the platform's store.
#pragma once

#include "daemon/gateway_context.hpp"

#include <map>

namespace marjoramtally {

/// Decodes entries. An entry that cannot be decoded yields no upstream and is
/// logged with its key once, not at each read.
class UpstreamReader
{
public:
  /// @param aFormats outlives this
  explicit UpstreamReader(const Platform& aFormats)
    : formats_(aFormats)
  {
  }

  /// @returns the upstream, or nothing if the record cannot be decoded
  [[nodiscard]] std::optional<UpstreamEntry> Read(const StoreRecord& aRecord);
  /// @returns the upstreams of a complete read
  [[nodiscard]] std::vector<UpstreamEntry> ReadAll(const StoreRange& aRange);

private:
  const Platform& formats_;
  /// Errors of the entries that cannot be decoded, by key.
  std::map<std::string, std::string> errors_;
};

} // namespace marjoramtally
