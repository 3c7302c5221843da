/// A listening socket on loopback, at a port that the kernel chooses.
#pragma once

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>

namespace marjoramtally::test {

/// A listening socket; its owner closes it.
struct LoopbackListener
{
  int socket_ = -1;
  sockaddr_in address_{};

  /// @returns its address as IP:PORT
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port));
  }
};

/// @param aQueue length of the queue of connections not yet accepted
[[nodiscard]] inline LoopbackListener
ListenOnLoopback(int aQueue)
{
  LoopbackListener listener;
  listener.socket_ = socket(AF_INET, SOCK_STREAM, 0);
  listener.address_.sin_family = AF_INET;
  listener.address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(listener.address_);
  auto* const address = reinterpret_cast<sockaddr*>(&listener.address_);
  bind(listener.socket_, address, size);
  getsockname(listener.socket_, address, &size);
  listen(listener.socket_, aQueue);
  return listener;
}

} // namespace marjoramtally::test
