#include "runtime/curl_transfer.hpp"

#include "marjoramtally/base/units.hpp"

#include <algorithm>
#include <limits>

namespace marjoramtally {

namespace {

/// Read buffer of a call. It is below the C library's threshold for large
/// allocations, so that allocating and freeing it is cheap.
constexpr long kReadBufferBytes = 8L * 1024L;
/// Lower statuses are interim responses (RFC 9110, 15.2), which precede the
/// final one.
constexpr long kMinFinalStatus = 200;
/// Statuses of responses without a body (RFC 9112, 6.3).
constexpr long kNoContent = 204;
constexpr long kNotModified = 304;
/// Largest `Content-Length` that libcurl can represent, in bytes.
constexpr std::uint64_t kMaxBodyLength = std::numeric_limits<curl_off_t>::max();

/// Longest request line, in bytes. libcurl refuses an address above 8 MB and
/// then calls the one of the last call with the same handle.
constexpr std::size_t kMaxUrlBytes = 1U << 20U;

std::string_view
TrimValue(std::string_view aText) noexcept
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

/// @returns a line of a head without its line break
std::string_view
WithoutLineBreak(std::string_view aLine) noexcept
{
  if (aLine.ends_with('\n')) {
    aLine.remove_suffix(1);
    if (aLine.ends_with('\r')) {
      aLine.remove_suffix(1);
    }
  }
  return aLine;
}

/// libcurl accepts lengths that contradict each other or are no numbers, and
/// then takes the end of the connection, or an earlier place, for the end of
/// the body (RFC 9112, 6.3).
bool
FramesBody(const HttpHeaders& aHeaders)
{
  std::string_view length;
  for (const HttpHeader& header : aHeaders) {
    if (!IsNamed(header, "Content-Length")) {
      continue;
    }
    const bool valid =
      ParseNumber(header.value_, 0, kMaxBodyLength).has_value();
    if (!valid || (!length.empty() && length != header.value_)) {
      return false;
    }
    length = header.value_;
  }
  return length.empty() || !FindHeader(aHeaders, "Transfer-Encoding");
}

long
Millis(Duration aDuration)
{
  const auto count =
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count();
  return static_cast<long>(std::max<std::int64_t>(count, 1));
}

} // namespace

CurlTransfer::CurlTransfer(HttpCallId aId, HttpCall aCall, HttpDone aDone)
  : id_(aId)
  , call_(std::move(aCall))
  , done_(std::move(aDone))
  , idleTimeout_(call_.idleTimeout_)
{
}

/// Parts of a call can come from other processes. libcurl sends a line break in
/// one of them as it is, and what follows would be read as a request of its
/// own.
std::string
CurlTransfer::FindUnsafePart() const
{
  if (!IsSafeInRequestLine(call_.method_) || !IsSafeInRequestLine(call_.url_)) {
    return "the request line would contain a space or control character";
  }
  if (call_.method_.size() + call_.url_.size() > kMaxUrlBytes) {
    return "the request line would be too long";
  }
  for (const HttpHeader& header : call_.headers_) {
    if (!IsSafeHeader(header.name_, header.value_)) {
      return "the header " + header.name_ + " would not end with its line";
    }
  }
  return {};
}

std::size_t
CurlTransfer::OnHeader(char* aData,
                       std::size_t aSize,
                       std::size_t aCount,
                       void* aUser)
{
  auto& transfer = *static_cast<CurlTransfer*>(aUser);
  auto& headers = transfer.response_.headers_;
  transfer.OnByteReceived();
  const std::string_view line(aData, aSize * aCount);
  transfer.headBytes_ += line.size();
  if (transfer.headBytes_ > kMaxHeadBytes) {
    return transfer.Reject("the head of the response is too long");
  }
  if (transfer.headReported_) {
    // A field of the trailers, which nothing may take for one of the head.
    return line.size();
  }
  const std::string_view text = WithoutLineBreak(line);
  if (!transfer.inHead_) {
    transfer.inHead_ = true;
    headers.clear();
    return line.size();
  }
  if (!text.empty()) {
    return transfer.AddField(text) ? line.size() : 0;
  }
  transfer.inHead_ = false;
  // A response must be rejected here: once the call has ended, libcurl has
  // already kept the connection for the next call.
  return transfer.ReportHead() ? line.size() : 0;
}

/// libcurl accepts fields that others frame the message by in another way:
/// continued lines, spaces in names, control characters (RFC 9112, 5).
bool
CurlTransfer::AddField(std::string_view aLine)
{
  const std::size_t colon = std::min(aLine.find(':'), aLine.size());
  const std::size_t value = std::min(colon + 1, aLine.size());
  HttpHeader field{ std::string(aLine.substr(0, colon)),
                    std::string(TrimValue(aLine.substr(value))) };
  if (colon == aLine.size() || !IsSafeHeader(field.name_, field.value_)) {
    Reject("a field of the head is malformed");
    return false;
  }
  response_.headers_.push_back(std::move(field));
  return true;
}

std::size_t
CurlTransfer::OnBody(char* aData,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aUser)
{
  auto& transfer = *static_cast<CurlTransfer*>(aUser);
  const std::size_t bytes = aSize * aCount;
  transfer.OnByteReceived();
  if (!transfer.headReported_) {
    return transfer.Reject("the response has a body before its head ends");
  }
  if (transfer.call_.mayReceive_ && !transfer.call_.mayReceive_()) {
    return CURL_WRITEFUNC_PAUSE;
  }
  transfer.bodyBytes_ += bytes;
  if (!transfer.call_.onData_) {
    return transfer.AppendToBody({ aData, bytes });
  }
  if (transfer.call_.onData_(std::string_view(aData, bytes))) {
    return bytes;
  }
  transfer.cancelled_ = true;
  return 0;
}

std::size_t
CurlTransfer::AppendToBody(std::string_view aBytes)
{
  std::string& body = response_.body_;
  const std::size_t size = body.size() + aBytes.size();
  if (size > call_.maxBodyBytes_) {
    return Reject("the body of the response is too long");
  }
  if (!budget_->Grow(body.size(), size)) {
    return Reject("too many long responses at once");
  }
  body.append(aBytes);
  return aBytes.size();
}

std::size_t
CurlTransfer::Reject(const char* aWhy) noexcept
{
  rejected_ = aWhy;
  cancelled_ = true;
  return 0;
}

/// Called before each time that libcurl sends the request. libcurl sends it
/// again by itself if a kept connection closes before any byte of the response,
/// although the peer may have executed it.
int
CurlTransfer::OnPrerequest(void* aUser,
                           char* /*aPeerAddress*/,
                           char* /*aLocalAddress*/,
                           int /*aPeerPort*/,
                           int /*aLocalPort*/)
{
  auto& transfer = *static_cast<CurlTransfer*>(aUser);
  if (transfer.SentBytes() == 0) {
    return CURL_PREREQFUNC_OK;
  }
  transfer.resent_ =
    transfer.call_.mayResend_ || transfer.call_.method_ == "GET";
  if (transfer.resent_) {
    return CURL_PREREQFUNC_OK;
  }
  transfer.rejected_ = "the connection closed before the response";
  return CURL_PREREQFUNC_ABORT;
}

void
CurlTransfer::PrepareHandle(CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(aEasy, CURLOPT_BUFFERSIZE, kReadBufferBytes);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, OnPrerequest);
}

void
CurlTransfer::Attach(CURL* aEasy, BufferBudget& aBudget)
{
  easy_ = aEasy;
  budget_ = &aBudget;
  OnByteReceived();
  const long fresh = call_.atMostOnce_ || call_.newConnection_ ? 1L : 0L;
  const long single = call_.atMostOnce_ ? 1L : 0L;
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_URL, call_.url_.c_str());
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, Millis(call_.timeout_));
  curl_easy_setopt(
    easy_, CURLOPT_CONNECTTIMEOUT_MS, Millis(call_.connectTimeout_));
  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, single);
  SetMethod();
  SetHeaders();
}

/// Reads the clock only for calls with an idle timeout, as this runs for each
/// line of a head.
void
CurlTransfer::OnByteReceived()
{
  if (idleTimeout_.Limited()) {
    idleTimeout_.OnByte(std::chrono::steady_clock::now());
  }
}

void
CurlTransfer::SetMethod()
{
  if (call_.method_ == "HEAD") {
    // With any other setting libcurl waits for the body that the head states.
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, nullptr);
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    return;
  }
  curl_easy_setopt(easy_, CURLOPT_NOBODY, 0L);
  if (call_.method_ == "GET") {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, nullptr);
    return;
  }
  const char* custom =
    call_.method_ == "POST" ? nullptr : call_.method_.c_str();
  curl_easy_setopt(easy_, CURLOPT_POST, 1L);
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, custom);
  curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, call_.body_.Get().data());
  curl_easy_setopt(easy_,
                   CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call_.body_.Get().size()));
}

void
CurlTransfer::SetHeaders()
{
  headerLines_.reserve(call_.headers_.size() + 1);
  for (const HttpHeader& header : call_.headers_) {
    headerLines_.push_back(header.name_ + ": " + header.value_);
  }
  headerLines_.emplace_back("Expect:");
  // Keeps libcurl from adding headers that the call does not set.
  for (const char* added : { "Accept", "Content-Type" }) {
    if (!FindHeader(call_.headers_, added)) {
      headerLines_.push_back(std::string(added) + ":");
    }
  }
  headerNodes_.reserve(headerLines_.size());
  for (std::string& line : headerLines_) {
    headerNodes_.push_back({ line.data(), nullptr });
  }
  for (std::size_t i = 1; i < headerNodes_.size(); ++i) {
    headerNodes_[i - 1].next = &headerNodes_[i];
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headerNodes_.data());
}

/// Reports the head of the final response once; interim heads and trailers are
/// not reported.
bool
CurlTransfer::ReportHead()
{
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  if (headReported_ || status < kMinFinalStatus) {
    return true;
  }
  if (!FramesBody(response_.headers_)) {
    Reject("the head of the response does not tell where its body ends");
    return false;
  }
  headReported_ = true;
  bodyFramed_ = call_.method_ == "HEAD" || status == kNoContent ||
                status == kNotModified ||
                FindHeader(response_.headers_, "Content-Length") ||
                FindHeader(response_.headers_, "Transfer-Encoding");
  response_.status_ = static_cast<int>(status);
  if (call_.onHead_ && !call_.onHead_(response_.status_, response_.headers_)) {
    cancelled_ = true;
    return false;
  }
  return true;
}

long
CurlTransfer::SentBytes() const
{
  long bytes = 0;
  curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
  return bytes;
}

HttpEnd
CurlTransfer::Classify(CURLcode aCode) const
{
  // libcurl takes a connection that closes within the head for the end of the
  // response.
  if (aCode == CURLE_OK && headReported_) {
    return HttpEnd::Complete;
  }
  if (SentBytes() == 0) {
    return HttpEnd::NotSent;
  }
  if (cancelled_) {
    return HttpEnd::Cancelled;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut
                                           : HttpEnd::Broken;
}

HttpResult
CurlTransfer::TakeResult(CURLcode aCode)
{
  HttpResult result;
  result.end_ = Classify(aCode);
  if (aCode == CURLE_OK && !headReported_) {
    rejected_ = "the connection closed within the head of the response";
  }
  if (result.end_ != HttpEnd::Complete) {
    result.message_ =
      rejected_ != nullptr ? rejected_ : curl_easy_strerror(aCode);
  }
  if (!headReported_) {
    response_.headers_.clear();
  }
  budget_->Release(response_.body_.size());
  long port = 0;
  long opened = 0;
  curl_easy_getinfo(easy_, CURLINFO_LOCAL_PORT, &port);
  curl_easy_getinfo(easy_, CURLINFO_NUM_CONNECTS, &opened);
  result.localPort_ = static_cast<std::uint16_t>(port);
  result.opened_ = opened > 0;
  result.resent_ = resent_;
  result.headBytes_ = headBytes_;
  result.headReceived_ = headReported_;
  result.bodyFramed_ = bodyFramed_;
  result.bodyBytes_ = bodyBytes_;
  result.response_ = std::move(response_);
  return result;
}

} // namespace marjoramtally
