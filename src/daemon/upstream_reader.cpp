#include "daemon/upstream_reader.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

std::optional<UpstreamEntry>
UpstreamReader::Read(const StoreRecord& aRecord)
{
  auto entry = formats_.ReadUpstream(aRecord.key_, aRecord.value_);
  if (entry) {
    errors_.erase(aRecord.key_);
    return std::move(entry).value();
  }
  std::string& error = errors_[aRecord.key_];
  if (error != entry.error().message_) {
    error = entry.error().message_;
    LogEvent(LogLevel::Error,
             "upstream_unreadable",
             { { "key", aRecord.key_ },
               { "revision", std::to_string(aRecord.modRevision_) },
               { "error", error } });
  }
  return std::nullopt;
}

std::vector<UpstreamEntry>
UpstreamReader::ReadAll(const StoreRange& aRange)
{
  std::vector<UpstreamEntry> entries;
  std::set<std::string> keys;
  for (const StoreRecord& record : aRange.records_) {
    keys.insert(record.key_);
    if (auto entry = Read(record)) {
      entries.push_back(std::move(*entry));
    }
  }
  std::erase_if(
    errors_, [&](const auto& aError) { return !keys.contains(aError.first); });
  return entries;
}

} // namespace marjoramtally
