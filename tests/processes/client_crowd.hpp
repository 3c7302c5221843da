/// Clients on sockets that send given bytes all at once and then stay.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <vector>

namespace marjoramtally::test {

/// Bytes in which a block is repeated; the last repetition may be cut.
struct RepeatedBytes
{
  std::string block_;
  std::uint64_t size_ = 0;

  static constexpr std::uint64_t kEndless =
    std::numeric_limits<std::uint64_t>::max();
};

/// What one client sends.
using ClientScript = std::vector<RepeatedBytes>;

/// A part that is sent once.
[[nodiscard]] inline RepeatedBytes
Once(std::string aBytes)
{
  const std::uint64_t size = aBytes.size();
  return { std::move(aBytes), size };
}

/// What all clients of a crowd do.
struct CrowdPlan
{
  std::size_t clients_ = 0;
  /// Script of the client with that index.
  std::function<ClientScript(std::size_t)> script_;
  /// Maximum bytes that a client sends before the others have their turn.
  std::size_t pieceBytes_ = 1U << 20U;
  /// Whether the clients read what is sent to them.
  bool reads_ = true;
};

/// Connects and sends on a thread of its own. Connections stay open, and are
/// read if the plan says so, until destruction.
class ClientCrowd
{
public:
  ClientCrowd(std::uint16_t aPort, CrowdPlan aPlan);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// @returns whether each client has sent all it will, its connection has
  /// ended, or nothing more was taken from any of them for a while
  [[nodiscard]] bool HasSettled() const noexcept { return settled_; }
  /// @returns the number of connections that the process closed
  [[nodiscard]] std::size_t Closed() const noexcept { return closed_; }

private:
  struct Client
  {
    int socket_ = -1;
    ClientScript script_;
    std::size_t part_ = 0;
    /// Bytes sent of the current part.
    std::uint64_t sent_ = 0;
  };

  void Run();
  /// One turn of a client.
  /// @returns whether it sent or received anything or its connection ended
  [[nodiscard]] bool Advance(Client& aClient) const;
  [[nodiscard]] bool SendPiece(Client& aClient) const;
  static void End(Client& aClient);

  CrowdPlan plan_;
  std::vector<Client> clients_;
  std::atomic<bool> running_{ true };
  std::atomic<bool> settled_{ false };
  std::atomic<std::size_t> closed_{ 0 };
  std::thread thread_;
};

} // namespace marjoramtally::test
