/// The store's stand-in: its database behind faults and counters.
#pragma once

#include "standins/faults.hpp"
#include "standins/store_database.hpp"

namespace marjoramtally::standin {

/// Serves etcd v3's JSON gateway, and of its own `POST /faults` and
/// `GET /metrics`. Thread-safe.
class StoreStandin
{
public:
  /// @returns what is wrong with the faults given
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
