#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

void
Store::ReadAfter(std::string aPrefix,
                 std::string aAfter,
                 StoreDone<StoreRange> aDone)
{
  Read(std::move(aPrefix),
       [after = std::move(aAfter),
        done = std::move(aDone)](Result<StoreRange> aRange) {
         if (aRange) {
           std::erase_if(aRange.value().records_,
                         [&after](const StoreRecord& aRecord) {
                           return aRecord.key_ <= after;
                         });
         }
         done(std::move(aRange));
       });
}

} // namespace marjoramtally
