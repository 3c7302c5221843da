/// Stand-in of the platform's load balancer: sends each call to one of the
/// entry instances, and to the next one if a connection cannot be made.
#pragma once

#include "standins/standin.hpp"

namespace marjoramtally::standin {

/// Round-robin over the entry instances. Thread-safe.
class Balancer
{
public:
  explicit Balancer(const std::string& aEntries)
    : client_(HttpClient::Create(2))
  {
    std::size_t from = 0;
    while (from <= aEntries.size()) {
      const std::size_t comma =
        std::min(aEntries.find(',', from), aEntries.size());
      entries_.push_back(aEntries.substr(from, comma - from));
      from = comma + 1;
    }
  }

  /// Sends a call to the next entry and blocks until the call has ended.
  /// Other entries are tried only while the call was not sent.
  HttpResult Send(HttpCall aCall)
  {
    const std::string path = aCall.url_;
    HttpResult result;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      aCall.url_ = "http://" + entries_[next_++ % entries_.size()] + path;
      result = SendAndWait(*client_, aCall);
      if (result.end_ != HttpEnd::NotSent) {
        break;
      }
    }
    return result;
  }

private:
  std::unique_ptr<HttpClient> client_;
  std::vector<std::string> entries_;
  std::atomic<std::size_t> next_{ 0 };
};

} // namespace marjoramtally::standin
