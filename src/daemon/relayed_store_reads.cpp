/// Complete reads of watched prefixes, and the mirrors from which peers read.

#include "daemon/relayed_store.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

void
RelayedStore::ReadEarlier(std::string aPrefix, StoreDone<StoreRange> aDone)
{
  ReadWatched(aPrefix, &Store::ReadEarlier, std::move(aDone));
}

void
RelayedStore::ReadAgain(std::string aPrefix, StoreDone<StoreRange> aDone)
{
  ReadWatched(aPrefix, &Store::ReadAgain, std::move(aDone));
}

void
RelayedStore::ReadWatched(const std::string& aPrefix,
                          ReadStore aReadStore,
                          StoreDone<StoreRange> aDone)
{
  if (relays_(aPrefix).empty()) {
    ReadFromStore(aPrefix, aReadStore, std::move(aDone));
    return;
  }
  reading_.Read(aPrefix,
                [this, aPrefix, aReadStore, done = std::move(aDone)](
                  Result<StoreRange> aRange) {
                  if (aRange) {
                    done(std::move(aRange));
                  } else {
                    ReadFromStore(aPrefix, aReadStore, done);
                  }
                });
}

void
RelayedStore::ReadFromStore(const std::string& aPrefix,
                            ReadStore aReadStore,
                            StoreDone<StoreRange> aDone)
{
  (store_.*aReadStore)(aPrefix,
                       [this, alive = alive_, aPrefix, done = std::move(aDone)](
                         const Result<StoreRange>& aRange) {
                         if (!*alive) {
                           return;
                         }
                         if (aRange && relays_(aPrefix).empty()) {
                           mirrors_[aPrefix].Load(aRange.value(), clock_.Now());
                           answers_.NotifyChange(aPrefix);
                         }
                         done(aRange);
                       });
}

bool
RelayedStore::LoadMirror(const std::string& aPrefix)
{
  if (mirrors_.contains(aPrefix) || !relays_(aPrefix).empty()) {
    return false;
  }
  if (FindDirect(aPrefix) != nullptr && loading_.insert(aPrefix).second) {
    store_.Read(
      aPrefix,
      [this, alive = alive_, aPrefix](const Result<StoreRange>& aRange) {
        if (*alive) {
          OnLoaded(aPrefix, aRange);
        }
      });
  }
  return true;
}

void
RelayedStore::OnLoaded(const std::string& aPrefix,
                       const Result<StoreRange>& aRange)
{
  loading_.erase(aPrefix);
  const OwnWatch* own = FindDirect(aPrefix);
  // The watch has reported changes during the read, which the mirror lacks.
  if (!aRange || own == nullptr ||
      !own->history_.Covers(aRange.value().revision_)) {
    LogEvent(LogLevel::Info,
             "relay_not_loaded",
             { { "prefix", aPrefix },
               { "error",
                 aRange ? "the watch does not continue the read"
                        : aRange.error().message_ } });
    return;
  }
  PrefixMirror& mirror = mirrors_[aPrefix];
  mirror.Load(aRange.value(), clock_.Now());
  mirror.Append(own->history_.After(aRange.value().revision_), clock_.Now());
  answers_.NotifyChange(aPrefix);
}

RelayedStore::OwnWatch*
RelayedStore::FindDirect(const std::string& aPrefix)
{
  for (auto& [id, own] : watches_) {
    if (own.prefix_ == aPrefix && own.direct_ != 0) {
      return &own;
    }
  }
  return nullptr;
}

const ChangeSource*
RelayedStore::SourceOfServed(const std::string& aPrefix)
{
  const auto mirror = mirrors_.find(aPrefix);
  if (mirror != mirrors_.end()) {
    return &mirror->second;
  }
  const OwnWatch* own = FindDirect(aPrefix);
  return own == nullptr ? nullptr : &own->history_;
}

} // namespace marjoramtally
