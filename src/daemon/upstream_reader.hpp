/// Reads registrations of upstreams from the platform's store.
#pragma once

#include "daemon/gateway_context.hpp"

#include <map>

namespace marjoramtally {

/// Decodes entries. One that another writer made names no upstream; it is
/// logged with its place once, not each time that it is read.
class UpstreamReader
{
public:
  /// @param aFormats outlives this
  explicit UpstreamReader(const Platform& aFormats)
    : formats_(aFormats)
  {
  }

  /// @returns the upstream, or nothing if the record names none
  [[nodiscard]] std::optional<UpstreamEntry> Read(const StoreRecord& aRecord);
  /// @returns the upstreams that a whole reading names
  [[nodiscard]] std::vector<UpstreamEntry> ReadAll(const StoreRange& aRange);

private:
  const Platform& formats_;
  /// What was wrong with the entries that cannot be read, by key.
  std::map<std::string, std::string> errors_;
};

} // namespace marjoramtally
