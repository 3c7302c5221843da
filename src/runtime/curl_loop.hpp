/// HTTP calls of libcurl, driven by one event loop.
#pragma once

#include "runtime/curl_transfer.hpp"
#include "runtime/io_loop.hpp"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <unordered_map>

namespace marjoramtally {

/// Runs calls on the thread of an event loop. The sockets that libcurl wants to
/// monitor are in an epoll set of their own, which the loop monitors as one
/// descriptor. A connection that stays open between two calls therefore needs
/// no system call to be monitored again, and calls in progress cost nothing
/// until one of their sockets is ready.
class CurlLoop
{
public:
  explicit CurlLoop(asio::io_context& aContext);
  ~CurlLoop();
  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  /// Starts a call. Thread-safe.
  void Post(std::unique_ptr<CurlTransfer> aTransfer);
  /// Ends a call early. Thread-safe.
  void Cancel(HttpCallId aId);
  /// Resumes receiving on a paused transfer. Thread-safe.
  void Resume(HttpCallId aId);
  /// Ends all calls as cancelled. May be called only after the loop has
  /// stopped.
  void CancelAll();

private:
  using Instant = SteadyTime;

  /// The epoll events that a socket is registered for, and those that libcurl
  /// wants.
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
  /// Processes posted requests, runs libcurl's timeout if it is due and reports
  /// completed calls.
  void Drive();
  void TakePosted();
  void StartTransfer(std::unique_ptr<CurlTransfer> aTransfer);
  void CancelTransfer(HttpCallId aId);
  /// Arms the call's idle timer, if the call has an idle timeout.
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
  /// When libcurl wants to be called for its timeout; `armed_` is the expiry
  /// that `timer_` is set to.
  Instant due_ = Instant::max();
  Instant armed_ = Instant::max();
  /// Indexed by socket descriptor.
  std::vector<Interest> interests_;
  std::unordered_map<HttpCallId, std::unique_ptr<CurlTransfer>> active_;
  /// Timers of the calls that have an idle timeout.
  std::unordered_map<HttpCallId, asio::steady_timer> idleTimers_;
  std::vector<CURL*> idleHandles_;
  BufferBudget budget_;

  std::mutex mutex_;
  bool scheduled_ = false;
  std::vector<std::unique_ptr<CurlTransfer>> posted_;
  std::vector<HttpCallId> cancels_;
  std::vector<HttpCallId> resumes_;
};

} // namespace marjoramtally
