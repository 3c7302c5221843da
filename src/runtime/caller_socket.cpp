#include "runtime/caller_socket.hpp"

#include "marjoramtally/runtime/io_pool.hpp"

#include <algorithm>
#include <cstring>
#include <unordered_map>

namespace marjoramtally {

/// Why a request is refused before it is handed on.
struct CallerSocket::Refusal
{
  /// As logs and metrics have it.
  const char* why_;
  HttpResponse response_;
  /// What follows cannot be read, or is not worth it.
  bool closes_ = false;
};

namespace {

/// The fields of a head are kept as text and as a list.
constexpr std::uint64_t kFieldCopies = 2;

/// A connection that was accepted and whose socket the library does not yet
/// read from.
struct AdmittedConnection
{
  std::shared_ptr<ListenerState> state_;
  CallerId caller_;
};

thread_local std::optional<AdmittedConnection> gAdmitted;
/// The socket that reports a request at this moment.
thread_local CallerSocket* gReporting = nullptr;
/// Open connections of the current thread's loop.
thread_local std::unordered_map<CallerId, CallerSocket*> gOpen;

using Refusal = CallerSocket::Refusal;

Refusal
BodyTooLarge(std::uint64_t aLimit)
{
  return { "body_too_large",
           ErrorResponse(413,
                         "body_too_large",
                         "the body has more than " + std::to_string(aLimit) +
                           " bytes; nothing was run") };
}

Refusal
HeadTooLong(std::uint64_t aLimit)
{
  return { "head_too_long",
           ErrorResponse(431,
                         "head_too_long",
                         "the header fields have more than " +
                           std::to_string(aLimit) + " bytes; nothing was run"),
           true };
}

Refusal
BadInput(const std::string& aWhat)
{
  return { "bad_input",
           ErrorResponse(400, "bad_input", aWhat + "; nothing was run"),
           true };
}

Refusal
NoMemory()
{
  Refusal refusal{
    "memory",
    ErrorResponse(
      503,
      "refused_not_run",
      "no memory for this request at the moment; nothing was run")
  };
  refusal.response_.headers_.push_back({ "Retry-After", "1" });
  return refusal;
}

/// The library accepts a field whose name ends with a space, which others read
/// as the field of that name (RFC 9112, 5.1), and control characters.
std::string
FindUnsafePart(const HttpRequest& aRequest)
{
  if (!IsSafeInRequestLine(aRequest.path_) ||
      !IsSafeInRequestLine(aRequest.query_)) {
    return "the request line contains a control character";
  }
  for (const HttpHeader& header : aRequest.headers_) {
    if (!IsSafeHeader(header.name_, header.value_)) {
      return "the header '" + header.name_ + "' contains a control character " +
             "or its name a space";
    }
  }
  return {};
}

} // namespace

CallerSocket::~CallerSocket()
{
  Deregister();
}

bool
CallerSocket::Admit(const std::shared_ptr<ListenerState>& aState)
{
  if (gAdmitted) {
    // The library gave up the connection before its first read.
    gAdmitted->state_->callers_->Close(gAdmitted->caller_);
    gAdmitted.reset();
  }
  const auto caller =
    aState->callers_->Open([pool = aState->pool_, loop = aState->pool_->Pick()](
                             const Eviction& aEviction) {
      pool->Post(loop, [aEviction] {
        if (CallerSocket* socket = Find(aEviction.caller_)) {
          socket->GiveWay(aEviction);
        }
      });
    });
  if (caller) {
    gAdmitted = { aState, *caller };
  }
  return caller.has_value();
}

ReceivedRequest
CallerSocket::TakeReported()
{
  return std::move(*gReporting->connection_->reported_);
}

CallerSocket*
CallerSocket::Find(CallerId aCaller)
{
  const auto it = gOpen.find(aCaller);
  return it == gOpen.end() ? nullptr : it->second;
}

void
CallerSocket::close()
{
  Deregister();
  Base::close();
}

asio::error_code
CallerSocket::close(asio::error_code& aError)
{
  Deregister();
  return Base::close(aError);
}

void
CallerSocket::Deregister()
{
  if (connection_ && gOpen.erase(connection_->caller_) > 0) {
    connection_->state_->callers_->Close(connection_->caller_);
  }
}

void
CallerSocket::Receive(asio::mutable_buffer aBuffer, ReadDone aDone)
{
  if (!connection_) {
    connection_ = std::make_unique<Connection>();
    connection_->state_ = gAdmitted->state_;
    connection_->caller_ = gAdmitted->caller_;
    connection_->framing_.onBody_ = [this](std::string_view aBytes) {
      OnBody(aBytes);
    };
    gAdmitted.reset();
    gOpen[connection_->caller_] = this;
  }
  if (connection_->unread_.empty() && !connection_->evicted_) {
    ReadMore(aBuffer, std::move(aDone));
    return;
  }
  // The library must not be called back from within its own call.
  asio::post(get_executor(), [this, aBuffer, done = std::move(aDone)] {
    const std::string unread = std::exchange(connection_->unread_, {});
    Consume(unread, aBuffer, done);
  });
}

void
CallerSocket::ReadMore(asio::mutable_buffer aBuffer, ReadDone aDone)
{
  connection_->reading_ = true;
  Base::async_read_some(
    aBuffer,
    [this, aBuffer, done = std::move(aDone)](const asio::error_code& aError,
                                             std::size_t aSize) {
      connection_->reading_ = false;
      // A read is cancelled for the connection to give way.
      if (!is_open() || (aError && !MustGiveWay())) {
        done(aError, 0);
        return;
      }
      Consume({ static_cast<char*>(aBuffer.data()), aSize }, aBuffer, done);
    });
}

void
CallerSocket::Consume(std::string_view aBytes,
                      asio::mutable_buffer aBuffer,
                      const ReadDone& aDone)
{
  Connection& connection = *connection_;
  bool complete = connection.refusal_.has_value();
  if (connection.dropping_) {
    connection.droppedBytes_ += aBytes.size();
  }
  while (!complete && !aBytes.empty()) {
    const RequestFraming::Step step = connection.framing_.Read(aBytes);
    aBytes.remove_prefix(step.read_);
    if (step.event_ == RequestFraming::Event::Invalid) {
      aDone(asio::error::invalid_argument, 0);
      return;
    }
    complete = OnEvent(step.event_);
  }
  if (!complete) {
    Account();
    complete = connection.refusal_.has_value();
  }
  if (!is_open()) {
    aDone(asio::error::operation_aborted, 0);
  } else if (connection.evicted_) {
    aDone(asio::error::eof, 0);
  } else if (complete) {
    connection.unread_.assign(aBytes);
    Report(aBuffer, aDone);
  } else {
    ReadMore(aBuffer, aDone);
  }
}

bool
CallerSocket::OnEvent(RequestFraming::Event aEvent)
{
  Connection& connection = *connection_;
  if (aEvent == RequestFraming::Event::Head) {
    OnHead();
  } else if (aEvent == RequestFraming::Event::End) {
    if (!std::exchange(connection.dropping_, false)) {
      Account();
      connection.receiving_ = false;
      return true;
    }
  }
  return connection.refusal_.has_value();
}

void
CallerSocket::OnHead()
{
  Connection& connection = *connection_;
  const RequestLimits& limits = connection.state_->limits_;
  connection.request_ = connection.framing_.TakeRequest();
  connection.keepsAlive_ = connection.framing_.KeepsAlive();
  connection.maxBodyBytes_ = limits.maxBodyBytes_;
  connection.receiving_ = true;
  const std::uint64_t headBytes = connection.framing_.HeadBytes();
  const std::uint64_t length = connection.framing_.BodyLength();
  connection.bodyBytes_ = length;
  const std::string unsafe = FindUnsafePart(connection.request_);
  if (headBytes > limits.maxHeadBytes_) {
    Refuse(HeadTooLong(limits.maxHeadBytes_));
  } else if (!unsafe.empty()) {
    Refuse(BadInput(unsafe));
  } else if (length > connection.maxBodyBytes_) {
    Refuse(BodyTooLarge(connection.maxBodyBytes_));
  } else if (length > 0 && !connection.state_->callers_->HasRoomFor(length)) {
    Refuse(NoMemory());
  }
}

void
CallerSocket::OnBody(std::string_view aBytes)
{
  Connection& connection = *connection_;
  if (connection.dropping_ || connection.refusal_) {
    return;
  }
  std::string& body = connection.request_.body_;
  const std::size_t size = body.size() + aBytes.size();
  if (size > connection.maxBodyBytes_) {
    Refuse(BodyTooLarge(connection.maxBodyBytes_));
    return;
  }
  try {
    if (size > CallerLimits::kSmallBytes && size > body.capacity()) {
      const std::uint64_t doubled =
        std::min<std::uint64_t>(2 * size, connection.maxBodyBytes_);
      body.reserve(connection.bodyBytes_ > 0 ? connection.bodyBytes_ : doubled);
    }
    body.append(aBytes);
  } catch (const std::bad_alloc&) {
    Refuse(NoMemory());
  }
}

void
CallerSocket::Account()
{
  Connection& connection = *connection_;
  const RequestFraming& framing = connection.framing_;
  CallerRegistry& callers = *connection.state_->callers_;
  const std::uint64_t maxHeadBytes = connection.state_->limits_.maxHeadBytes_;
  if (connection.refusal_) {
    return;
  }
  if (connection.dropping_) {
    connection.evicted_ |= !callers.OnHead(connection.caller_, 0) ||
                           connection.droppedBytes_ > connection.maxBodyBytes_;
  } else if (connection.receiving_) {
    if (framing.TrailerBytes() > maxHeadBytes) {
      Refuse(HeadTooLong(maxHeadBytes));
    } else if (!callers.OnBody(connection.caller_, HeldBytes())) {
      Refuse(NoMemory());
    }
  } else if (framing.IsWithinRequest()) {
    if (framing.HeadBytes() > maxHeadBytes) {
      Refuse(HeadTooLong(maxHeadBytes));
    } else if (!callers.OnHead(connection.caller_, HeldBytes())) {
      connection.evicted_ = true;
    }
  }
}

std::uint64_t
CallerSocket::HeldBytes() const
{
  return connection_->framing_.HeadBytes() * kFieldCopies +
         connection_->request_.body_.size();
}

void
CallerSocket::Refuse(Refusal aRefusal)
{
  connection_->state_->callers_->OnRefused(connection_->caller_, aRefusal.why_);
  connection_->refusal_ = std::move(aRefusal.response_);
  connection_->closes_ = aRefusal.closes_;
  // Gives the memory back at once.
  connection_->request_.body_ = std::string();
}

void
CallerSocket::Report(asio::mutable_buffer aBuffer, const ReadDone& aDone)
{
  Connection& connection = *connection_;
  const std::uint64_t held = connection.refusal_ ? 0 : HeldBytes();
  ReceivedRequest received;
  received.caller_ = connection.caller_;
  received.request_ = std::exchange(connection.request_, {});
  received.refusal_ = std::exchange(connection.refusal_, {});
  received.closes_ = std::exchange(connection.closes_, false);
  // The rest of a request that was refused before its end.
  connection.dropping_ = std::exchange(connection.receiving_, false);
  connection.droppedBytes_ = 0;
  connection.reported_ = std::move(received);
  connection.state_->callers_->OnRequest(connection.caller_, held);
  const std::string_view head =
    connection.keepsAlive_ ? "GET / HTTP/1.1\r\n\r\n"
                           : "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
  std::memcpy(aBuffer.data(), head.data(), head.size());
  gReporting = this;
  aDone({}, head.size());
  gReporting = nullptr;
}

void
CallerSocket::OnWriteProgress()
{
  if (connection_) {
    connection_->state_->callers_->OnProgress(connection_->caller_);
  }
}

void
CallerSocket::GiveWay(const Eviction& aEviction)
{
  asio::error_code ignored;
  if (aEviction.refuse_) {
    // The request may have become complete in the meantime.
    if (connection_->receiving_ && connection_->reading_ &&
        !connection_->refusal_) {
      Refuse(NoMemory());
      cancel(ignored);
    }
    return;
  }
  connection_->evicted_ = true;
  if (connection_->reading_) {
    cancel(ignored);
    return;
  }
  // A response that the caller does not read is dropped with the connection.
  set_option(linger(true, 0), ignored);
  shutdown(shutdown_both, ignored);
}

} // namespace marjoramtally
