/// Stand-in of the platform's key-value service: an in-memory subset of the
/// JSON gateway of etcd v3.

#include "standins/store_standin.hpp"

#include <iostream>

namespace marjoramtally::standin {

int
RunStore(const Options& aOptions)
{
  StoreStandin store;
  if (const Findings findings = store.SetFaults(aOptions.faults_);
      !findings.empty()) {
    std::cerr << findings.Render();
    return kExitBadInput;
  }
  return ServeUntilStopped(
    aOptions,
    [&store](const HttpRequest& aRequest, const HttpReplyPtr& aReply) {
      store.Handle(aRequest, aReply);
    });
}

} // namespace marjoramtally::standin
