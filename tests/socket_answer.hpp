/// Ends calls that a test's fake client holds with bytes that the real HTTP
/// client received from a socket.
#pragma once

#include "gateway_fixture.hpp"
#include "socket_client.hpp"

namespace marjoramtally::test {

/// @returns `aCall` as sent to another address, with time limits that no test
/// reaches
[[nodiscard]] inline HttpCall
RedirectedTo(const std::string& aAddress, HttpCall aCall)
{
  const std::size_t host = aCall.url_.find("://") + 3;
  const std::size_t path =
    std::min(aCall.url_.find('/', host), aCall.url_.size());
  aCall.url_ = "http://" + aAddress + aCall.url_.substr(path);
  aCall.timeout_ = std::chrono::minutes(1);
  aCall.idleTimeout_ = Duration{ 0 };
  aCall.connectTimeout_ = std::chrono::minutes(1);
  return aCall;
}

/// Ends a call with what the real client makes of an upstream that sends
/// `aBytes` and closes.
/// @param aIdHeader see `CuttingServer`
inline void
EndWithBytes(FakeClient& aFake,
             SentCall aCall,
             const std::string& aBytes,
             const std::string& aIdHeader = {})
{
  aFake.Cancel(aCall.id_);
  --aFake.cancelled_;
  const CuttingServer server(aBytes, aIdHeader);
  const auto client = HttpClient::Create(1);
  aCall.done_(
    SendAndWait(*client, RedirectedTo(server.Address(), aCall.call_)));
}

/// @returns the beginnings of a response with a JSON body: some end within the
/// head, some within the body
[[nodiscard]] inline std::vector<std::string>
CutAnswers(int aStatus, const std::string& aBody = R"({"revision":0})")
{
  const std::string line = "HTTP/1.1 " + std::to_string(aStatus) + " x\r\n";
  const std::string type = line + "Content-Type: application/json\r\n";
  const std::string length =
    type + "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  return { line,
           type,
           type + "Content-Len",
           length,
           length + "\r",
           length + "\r\n",
           length + "\r\n" + aBody.substr(0, aBody.size() - 1),
           type + "Transfer-Encoding: chunked\r\n\r\n",
           type + "Transfer-Encoding: chunked\r\n\r\n" + "2\r\n" +
             aBody.substr(0, 2) + "\r\n" };
}

/// @returns such beginnings for some statuses
[[nodiscard]] inline std::vector<std::string>
CutAnswersOf(const std::vector<int>& aStatuses)
{
  std::vector<std::string> all;
  for (const int status : aStatuses) {
    const auto some = CutAnswers(status);
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

} // namespace marjoramtally::test
