/// A caller that sends given bytes on a connection.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marjoramtally::test {

class CallerSocket
{
public:
  explicit CallerSocket(std::uint16_t aPort)
    : handle_(socket(AF_INET, SOCK_STREAM, 0))
  {
    // Longer than any read of these tests needs.
    const timeval limit{ 10, 0 };
    setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aPort);
    connected_ = connect(handle_,
                         reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  CallerSocket(CallerSocket&& aOther) noexcept
    : handle_(std::exchange(aOther.handle_, -1))
    , connected_(aOther.connected_)
    , closed_(aOther.closed_)
  {
  }
  CallerSocket& operator=(CallerSocket&&) = delete;
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;
  ~CallerSocket() { Close(); }

  void Send(std::string_view aBytes) const
  {
    static_cast<void>(
      send(handle_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
  }

  /// Sends nothing more, but still reads.
  void EndSending() const { shutdown(handle_, SHUT_WR); }

  void Close()
  {
    if (handle_ >= 0) {
      close(std::exchange(handle_, -1));
    }
  }

  void Reset()
  {
    const linger atOnce{ 1, 0 };
    setsockopt(handle_, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
    Close();
  }

  /// @returns the next bytes; empty if the connection ended, or none came
  /// within the time limit
  std::string Read()
  {
    std::array<char, 4096> part{};
    const ssize_t got = recv(handle_, part.data(), part.size(), 0);
    closed_ = got == 0 || (got < 0 && errno != EAGAIN);
    return { part.data(), got > 0 ? static_cast<std::size_t>(got) : 0 };
  }

  /// @returns all bytes until the connection ends
  std::string ReadAll()
  {
    std::string bytes;
    for (std::string part = Read(); !part.empty(); part = Read()) {
      bytes += part;
    }
    return bytes;
  }

  [[nodiscard]] int Handle() const noexcept { return handle_; }
  [[nodiscard]] bool Connected() const noexcept { return connected_; }
  /// @returns whether the last read saw the connection's end
  [[nodiscard]] bool Closed() const noexcept { return closed_; }

private:
  int handle_;
  bool connected_ = false;
  bool closed_ = false;
};

} // namespace marjoramtally::test
