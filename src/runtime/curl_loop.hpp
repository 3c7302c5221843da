/// Calls of libcurl driven by one event loop.
#pragma once

#include "runtime/curl_transfer.hpp"
#include "runtime/io_loop.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <unordered_map>

namespace marjoramtally {

/// Carries out calls on a loop's thread. libcurl says which sockets it waits
/// for; they stand in an epoll set of their own, which the loop watches as
/// one descriptor. So a socket that stays open between two calls costs no
/// system call to watch again, and calls in progress cost nothing until they
/// move.
class CurlLoop
{
public:
  explicit CurlLoop(asio::io_context& aContext);
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  /// Starts a call; from any thread.
  void Post(std::unique_ptr<CurlTransfer> aTransfer);
  /// Ends a call early; from any thread.
  void Cancel(HttpCallId aId);
  /// Goes on receiving a paused transfer.
  void Resume(HttpCallId aId);
  /// Ends all calls as cancelled. Only once the loop has stopped.
  void CancelAll();

private:
  using Instant = SteadyTime;

  /// What a socket is watched for, and what libcurl wants to know.
  struct Interest
  {
    std::uint32_t watched_ = 0;
    std::uint32_t wanted_ = 0;
  };

  static int OnSocket(CURL* aEasy,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aUser,
                      void* aSocketUser);
  static int OnTimer(CURLM* aMulti, long aMillis, void* aUser);
  static curl_socket_t OnOpen(void* aUser,
                              curlsocktype aPurpose,
                              curl_sockaddr* aAddress);
  static int OnClose(void* aUser, curl_socket_t aSocket);

  void Schedule();
  /// Starts what was posted, acts on what is due, reports what has ended.
  void Drive();
  void TakePosted();
  void StartTransfer(std::unique_ptr<CurlTransfer> aTransfer);
  void CancelTransfer(HttpCallId aId);
  /// Looks at a call again when its silence is over, if it has a limit.
  void ArmIdleTimer(CurlTransfer& aTransfer);
  void EndIfIdle(HttpCallId aId);
  void ResumeTransfer(HttpCallId aId);
  void RunTimeoutIfDue();
  void WaitForReadySockets();
  void HandleReadySockets();
  void ArmTimer();
  void FinishCompleted();
  void Finish(CurlTransfer& aTransfer, CURLcode aCode);
  void OnOpened(curl_socket_t aSocket);
  void SetInterest(curl_socket_t aSocket, std::uint32_t aWanted);
  void OnWatchFailed(curl_socket_t aSocket);
  [[nodiscard]] Interest& InterestOf(curl_socket_t aSocket);
  [[nodiscard]] CURL* TakeHandle();

  asio::io_context& context_;
  CURLM* multi_;
  int epoll_;
  asio::posix::stream_descriptor ready_;
  asio::steady_timer timer_;
  /// When libcurl wants to be called; `armed_` is when the timer will run.
  Instant due_ = Instant::max();
  Instant armed_ = Instant::max();
  /// By socket number.
  std::vector<Interest> interests_;
  std::unordered_map<HttpCallId, std::unique_ptr<CurlTransfer>> active_;
  /// Of calls whose silence is limited.
  std::unordered_map<HttpCallId, asio::steady_timer> idleTimers_;
  std::vector<CURL*> idleHandles_;

  std::mutex mutex_;
  bool scheduled_ = false;
  std::vector<std::unique_ptr<CurlTransfer>> posted_;
  std::vector<HttpCallId> cancels_;
  std::vector<HttpCallId> resumes_;
};

} // namespace marjoramtally
