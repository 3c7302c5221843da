/// Stand-in of the store: a database with fault injection and metrics.
#pragma once

#include "standins/faults.hpp"
#include "standins/store_database.hpp"

namespace marjoramtally::standin {

/// Serves the JSON gateway of etcd v3 and, in addition, `POST /faults` and
/// `GET /metrics`. Thread-safe.
class StoreStandin
{
public:
  /// @returns the errors in the fault settings
  [[nodiscard]] Findings SetFaults(const std::string& aText)
  {
    return faults_.Set(aText);
  }
  void Handle(const HttpRequest& aRequest, const HttpReplyPtr& aReply);

private:
  HttpResponse HandleFaults(const std::string& aText);
  void CountCall(const std::string& aPath, const Json& aBody);
  void ServeWithFaults(const std::string& aPath,
                       const Json& aBody,
                       const HttpReplyPtr& aReply);
  void Serve(const std::string& aPath,
             const Json& aBody,
             const HttpReplyPtr& aReply,
             const FaultDecision& aDecision);
  void Answer(const HttpReplyPtr& aReply,
              HttpResponse aResponse,
              const FaultDecision& aDecision);
  void HoldReply(const HttpReplyPtr& aReply);

  Faults faults_;
  Metrics metrics_;
  Database database_;
  std::mutex mutex_;
  std::deque<HttpReplyPtr> held_;
  Timers timers_;
};

} // namespace marjoramtally::standin
