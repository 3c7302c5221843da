#include "daemon/upstream_reader.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

std::optional<UpstreamEntry>
UpstreamReader::Read(const StoreRecord& aRecord)
{
  auto entry = formats_.ReadUpstream(aRecord.key_, aRecord.value_);
  if (entry) {
    faults_.erase(aRecord.key_);
    return std::move(entry).value();
  }
  std::string& fault = faults_[aRecord.key_];
  if (fault != entry.error().message_) {
    fault = entry.error().message_;
    LogEvent(LogLevel::Error,
             "upstream_unreadable",
             { { "key", aRecord.key_ },
               { "revision", std::to_string(aRecord.modRevision_) },
               { "error", fault } });
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
    faults_, [&](const auto& aFault) { return !keys.contains(aFault.first); });
  return entries;
}

} // namespace marjoramtally
