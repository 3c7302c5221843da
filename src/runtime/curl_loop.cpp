#include "runtime/curl_loop.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <array>
#include <asio/post.hpp>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace marjoramtally {

namespace {

/// Idle connections kept by each loop.
constexpr long kMaxIdleConnections = 512;
/// Events read from the epoll set by one call.
constexpr int kMaxEventsPerWait = 64;
/// Immediate timeouts of libcurl that are handled before other work of the loop
/// gets its turn.
constexpr int kMaxActionsPerTurn = 4;

std::uint32_t
EpollEvents(int aWhat) noexcept
{
  std::uint32_t events = 0;
  if (aWhat == CURL_POLL_IN || aWhat == CURL_POLL_INOUT) {
    events |= EPOLLIN;
  }
  if (aWhat == CURL_POLL_OUT || aWhat == CURL_POLL_INOUT) {
    events |= EPOLLOUT;
  }
  return events;
}

int
CurlEvents(std::uint32_t aEvents) noexcept
{
  int events = 0;
  events |= (aEvents & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
  events |= (aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
  events |= (aEvents & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
  return events;
}

} // namespace

CurlLoop::CurlLoop(asio::io_context& aContext)
  : context_(aContext)
  , multi_(curl_multi_init())
  , epoll_(epoll_create1(EPOLL_CLOEXEC))
  , ready_(aContext, epoll_)
  , timer_(aContext)
{
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  WaitForReadySockets();
}

CurlLoop::~CurlLoop()
{
  for (CURL* easy : idleHandles_) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(multi_);
}

void
CurlLoop::Post(std::unique_ptr<CurlTransfer> aTransfer)
{
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(aTransfer));
  Schedule();
}

void
CurlLoop::Cancel(HttpCallId aId)
{
  const std::lock_guard lock(mutex_);
  cancels_.push_back(aId);
  Schedule();
}

void
CurlLoop::Resume(HttpCallId aId)
{
  const std::lock_guard lock(mutex_);
  resumes_.push_back(aId);
  Schedule();
}

/// Requires `mutex_` to be held.
void
CurlLoop::Schedule()
{
  if (!scheduled_) {
    scheduled_ = true;
    asio::post(context_, [this] { Drive(); });
  }
}

void
CurlLoop::Drive()
{
  TakePosted();
  RunTimeoutIfDue();
  FinishCompleted();
  ArmTimer();
}

void
CurlLoop::TakePosted()
{
  std::vector<std::unique_ptr<CurlTransfer>> posted;
  std::vector<HttpCallId> cancels;
  std::vector<HttpCallId> resumes;
  {
    const std::lock_guard lock(mutex_);
    posted.swap(posted_);
    cancels.swap(cancels_);
    resumes.swap(resumes_);
    scheduled_ = false;
  }
  for (auto& transfer : posted) {
    StartTransfer(std::move(transfer));
  }
  for (const HttpCallId id : cancels) {
    CancelTransfer(id);
  }
  for (const HttpCallId id : resumes) {
    ResumeTransfer(id);
  }
}

CURL*
CurlLoop::TakeHandle()
{
  if (idleHandles_.empty()) {
    CURL* easy = curl_easy_init();
    CurlTransfer::PrepareHandle(easy);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, OnOpen);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, OnClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    return easy;
  }
  CURL* easy = idleHandles_.back();
  idleHandles_.pop_back();
  return easy;
}

void
CurlLoop::StartTransfer(std::unique_ptr<CurlTransfer> aTransfer)
{
  CurlTransfer& transfer = *aTransfer;
  const std::string unsafe = transfer.FindUnsafePart();
  if (!unsafe.empty()) {
    HttpResult result;
    result.message_ = unsafe;
    transfer.TakeDone()(std::move(result));
    return;
  }
  transfer.Attach(TakeHandle(), budget_);
  active_.emplace(transfer.Id(), std::move(aTransfer));
  curl_multi_add_handle(multi_, transfer.Handle());
  ArmIdleTimer(transfer);
}

void
CurlLoop::ArmIdleTimer(CurlTransfer& aTransfer)
{
  if (!aTransfer.Idle().Limited()) {
    return;
  }
  const HttpCallId id = aTransfer.Id();
  asio::steady_timer& timer =
    idleTimers_.try_emplace(id, context_).first->second;
  timer.expires_at(aTransfer.Idle().DueAt());
  timer.async_wait([this, id](const asio::error_code& aError) {
    if (!aError) {
      EndIfIdle(id);
    }
  });
}

void
CurlLoop::EndIfIdle(HttpCallId aId)
{
  // Bytes already received are processed before the timeout is checked.
  HandleReadySockets();
  Drive();
  const auto it = active_.find(aId);
  if (it == active_.end()) {
    return;
  }
  CurlTransfer& transfer = *it->second;
  if (transfer.Idle().Check(std::chrono::steady_clock::now())) {
    Finish(transfer, CURLE_OPERATION_TIMEDOUT);
  } else {
    ArmIdleTimer(transfer);
  }
}

void
CurlLoop::CancelTransfer(HttpCallId aId)
{
  const auto it = active_.find(aId);
  if (it != active_.end()) {
    it->second->MarkCancelled();
    Finish(*it->second, CURLE_ABORTED_BY_CALLBACK);
  }
}

void
CurlLoop::ResumeTransfer(HttpCallId aId)
{
  const auto it = active_.find(aId);
  if (it == active_.end()) {
    return;
  }
  if (curl_easy_pause(it->second->Handle(), CURLPAUSE_CONT) != CURLE_OK) {
    CancelTransfer(aId);
  }
}

void
CurlLoop::RunTimeoutIfDue()
{
  for (int i = 0; i < kMaxActionsPerTurn; ++i) {
    if (due_ == Instant::max() || due_ > std::chrono::steady_clock::now()) {
      return;
    }
    due_ = Instant::max();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

void
CurlLoop::WaitForReadySockets()
{
  ready_.async_wait(asio::posix::stream_descriptor::wait_read,
                    [this](const asio::error_code& aError) {
                      if (!aError) {
                        HandleReadySockets();
                        Drive();
                        WaitForReadySockets();
                      }
                    });
}

void
CurlLoop::HandleReadySockets()
{
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const int count = epoll_wait(epoll_, events.data(), kMaxEventsPerWait, 0);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events.at(static_cast<std::size_t>(i));
    const curl_socket_t socket = event.data.fd;
    if (InterestOf(socket).wanted_ == 0) {
      // The peer closed an idle connection; libcurl detects that itself.
      epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
      InterestOf(socket).watched_ = 0;
      continue;
    }
    int running = 0;
    curl_multi_socket_action(
      multi_, socket, CurlEvents(event.events), &running);
  }
}

/// Leaves a timer alone that expires early enough: most calls end long before
/// their time limit.
void
CurlLoop::ArmTimer()
{
  if (due_ >= armed_) {
    return;
  }
  armed_ = due_;
  timer_.expires_at(due_);
  timer_.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      armed_ = Instant::max();
      Drive();
    }
  });
}

void
CurlLoop::FinishCompleted()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    CurlTransfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    Finish(*transfer, code);
  }
}

void
CurlLoop::Finish(CurlTransfer& aTransfer, CURLcode aCode)
{
  HttpResult result = aTransfer.TakeResult(aCode);
  curl_multi_remove_handle(multi_, aTransfer.Handle());
  idleHandles_.push_back(aTransfer.Handle());
  const HttpDone done = aTransfer.TakeDone();
  idleTimers_.erase(aTransfer.Id());
  active_.erase(aTransfer.Id());
  done(std::move(result));
}

void
CurlLoop::CancelAll()
{
  TakePosted();
  while (!active_.empty()) {
    CurlTransfer& transfer = *active_.begin()->second;
    transfer.MarkCancelled();
    Finish(transfer, CURLE_ABORTED_BY_CALLBACK);
  }
}

CurlLoop::Interest&
CurlLoop::InterestOf(curl_socket_t aSocket)
{
  const auto index = static_cast<std::size_t>(aSocket);
  if (index >= interests_.size()) {
    interests_.resize(index + 1);
  }
  return interests_[index];
}

void
CurlLoop::SetInterest(curl_socket_t aSocket, std::uint32_t aWanted)
{
  Interest& interest = InterestOf(aSocket);
  interest.wanted_ = aWanted;
  const bool idle = aWanted == 0;
  const bool noWriteEvents = (interest.watched_ & EPOLLOUT) == 0;
  if (idle ? noWriteEvents : interest.watched_ == aWanted) {
    return;
  }
  epoll_event event{};
  event.events = idle ? EPOLLIN : aWanted;
  event.data.fd = aSocket;
  const int action = interest.watched_ == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  if (epoll_ctl(epoll_, action, aSocket, &event) != 0) {
    OnWatchFailed(aSocket);
    return;
  }
  interest.watched_ = event.events;
}

/// Logs a socket that could not be registered. libcurl may report only after it
/// has closed a socket that it no longer wants events; that is not an error.
void
CurlLoop::OnWatchFailed(curl_socket_t aSocket)
{
  const std::error_code error(errno, std::generic_category());
  Interest& interest = InterestOf(aSocket);
  interest.watched_ = 0;
  if (interest.wanted_ != 0) {
    LogEvent(
      LogLevel::Error,
      "socket_not_watched",
      { { "socket", std::to_string(aSocket) }, { "error", error.message() } });
  }
}

int
CurlLoop::OnSocket(CURL* /*aEasy*/,
                   curl_socket_t aSocket,
                   int aWhat,
                   void* aUser,
                   void* /*aSocketUser*/)
{
  static_cast<CurlLoop*>(aUser)->SetInterest(aSocket, EpollEvents(aWhat));
  return 0;
}

int
CurlLoop::OnTimer(CURLM* /*aMulti*/, long aMillis, void* aUser)
{
  auto& self = *static_cast<CurlLoop*>(aUser);
  self.due_ = aMillis < 0 ? Instant::max()
                          : std::chrono::steady_clock::now() +
                              std::chrono::milliseconds(aMillis);
  return 0;
}

/// Opens a socket and clears the state kept for its descriptor. A new socket is
/// in no epoll set, whatever the earlier socket with that number was registered
/// for: libcurl closes a socket that never connected without calling `OnClose`.
/// Without this, no event of the new connection would be received, and its
/// responses would be read only at a time limit.
curl_socket_t
CurlLoop::OnOpen(void* aUser,
                 curlsocktype /*aPurpose*/,
                 curl_sockaddr* aAddress)
{
  const curl_socket_t opened =
    socket(aAddress->family, aAddress->socktype, aAddress->protocol);
  if (opened != CURL_SOCKET_BAD) {
    static_cast<CurlLoop*>(aUser)->OnOpened(opened);
  }
  return opened;
}

/// Registers a new socket for the events that libcurl already wants: it does
/// not report them again for a descriptor with the same number.
void
CurlLoop::OnOpened(curl_socket_t aSocket)
{
  Interest& interest = InterestOf(aSocket);
  interest.watched_ = 0;
  if (interest.wanted_ != 0) {
    SetInterest(aSocket, interest.wanted_);
  }
}

/// Closes a socket with a reset; closing also removes it from the epoll set.
/// Without the reset, the kernel continues to deliver a request that was
/// abandoned: one reached an upstream 3.6 s after its job had ended, when a
/// network partition was over. For the same reason no kernel timer ends an idle
/// connection: every call has a time limit and each stream an idle timeout, so
/// that connections are closed here.
int
CurlLoop::OnClose(void* aUser, curl_socket_t aSocket)
{
  const linger atOnce{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
  static_cast<CurlLoop*>(aUser)->InterestOf(aSocket) = {};
  return close(aSocket);
}

} // namespace marjoramtally
