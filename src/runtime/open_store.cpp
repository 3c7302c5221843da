#include "marjoramtally/runtime/open_store.hpp"

#include "marjoramtally/runtime/embedded_store.hpp"
#include "marjoramtally/runtime/etcd_store.hpp"

namespace marjoramtally {

Result<std::unique_ptr<Store>>
OpenStore(const std::string& aAddress,
          HttpClient& aClient,
          Duration aTimeout,
          const Clock& aClock)
{
  if (aAddress.starts_with(kStoreFolderPrefix)) {
    return OpenEmbeddedStore(aAddress.substr(kStoreFolderPrefix.size()),
                             aClock);
  }
  return MakeEtcdStore(aClient, aAddress, aTimeout);
}

} // namespace marjoramtally
