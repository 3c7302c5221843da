#include "client_crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramtally::test {

namespace {

/// A crowd of which nothing is taken for this long has come to rest.
constexpr auto kRestTime = std::chrono::seconds(2);
constexpr auto kTurnInterval = std::chrono::milliseconds(1);
/// Clients that do not read keep little of what is sent to them.
constexpr int kUnreadBytes = 4096;

int
Connect(std::uint16_t aPort, bool aReads)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!aReads) {
    setsockopt(
      handle, SOL_SOCKET, SO_RCVBUF, &kUnreadBytes, sizeof kUnreadBytes);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(handle);
    return -1;
  }
  fcntl(handle, F_SETFL, O_NONBLOCK);
  return handle;
}

bool
WouldBlock()
{
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

ClientCrowd::ClientCrowd(std::uint16_t aPort, CrowdPlan aPlan)
  : plan_(std::move(aPlan))
{
  for (std::size_t i = 0; i < plan_.clients_; ++i) {
    clients_.push_back({ Connect(aPort, plan_.reads_), plan_.script_(i) });
  }
  thread_ = std::thread([this] { Run(); });
}

ClientCrowd::~ClientCrowd()
{
  running_ = false;
  thread_.join();
  for (Client& client : clients_) {
    End(client);
  }
}

void
ClientCrowd::End(Client& aClient)
{
  if (aClient.socket_ >= 0) {
    close(aClient.socket_);
    aClient.socket_ = -1;
  }
}

void
ClientCrowd::Run()
{
  auto restsSince = std::chrono::steady_clock::now();
  while (running_) {
    bool advanced = false;
    std::size_t open = 0;
    for (Client& client : clients_) {
      advanced = Advance(client) || advanced;
      open += client.socket_ >= 0 ? 1 : 0;
    }
    closed_ = clients_.size() - open;
    if (advanced) {
      restsSince = std::chrono::steady_clock::now();
      continue;
    }
    if (std::chrono::steady_clock::now() - restsSince >= kRestTime) {
      settled_ = true;
    }
    std::this_thread::sleep_for(kTurnInterval);
  }
}

bool
ClientCrowd::Advance(Client& aClient) const
{
  if (aClient.socket_ < 0) {
    return false;
  }
  bool advanced = SendPiece(aClient);
  if (!plan_.reads_ || aClient.socket_ < 0) {
    return advanced;
  }
  std::array<char, 16384> part;
  const ssize_t got = recv(aClient.socket_, part.data(), part.size(), 0);
  if (got == 0 || (got < 0 && !WouldBlock())) {
    End(aClient);
    return true;
  }
  return advanced || got > 0;
}

bool
ClientCrowd::SendPiece(Client& aClient) const
{
  std::size_t left = plan_.pieceBytes_;
  while (left > 0 && aClient.part_ < aClient.script_.size()) {
    const RepeatedBytes& part = aClient.script_[aClient.part_];
    if (aClient.sent_ == part.size_) {
      ++aClient.part_;
      aClient.sent_ = 0;
      continue;
    }
    const std::size_t at = aClient.sent_ % part.block_.size();
    const std::uint64_t size = std::min<std::uint64_t>(
      { part.block_.size() - at, part.size_ - aClient.sent_, left });
    const ssize_t sent =
      send(aClient.socket_, part.block_.data() + at, size, MSG_NOSIGNAL);
    if (sent < 0 && !WouldBlock()) {
      End(aClient);
      return true;
    }
    if (sent <= 0) {
      break;
    }
    aClient.sent_ += static_cast<std::uint64_t>(sent);
    left -= static_cast<std::size_t>(sent);
  }
  return left < plan_.pieceBytes_;
}

} // namespace marjoramtally::test
