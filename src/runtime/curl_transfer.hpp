/// One HTTP call, carried out by libcurl.
#pragma once

#include "marjoramtally/runtime/http_client.hpp"
#include "runtime/buffer_budget.hpp"
#include "runtime/idle_timeout.hpp"

#include <curl/curl.h>

namespace marjoramtally {

/// One call in progress. The libcurl handle's private pointer refers to this
/// object, so it must not move until the call has ended.
class CurlTransfer
{
public:
  CurlTransfer(HttpCallId aId, HttpCall aCall, HttpDone aDone);
  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  [[nodiscard]] HttpCallId Id() const noexcept { return id_; }
  [[nodiscard]] CURL* Handle() const noexcept { return easy_; }
  void MarkCancelled() noexcept { cancelled_ = true; }
  /// Limits the time without a received byte.
  [[nodiscard]] IdleTimeout& Idle() noexcept { return idleTimeout_; }

  /// Sets the options that are the same for every call; called once for each
  /// handle.
  static void PrepareHandle(CURL* aEasy);
  /// @returns why the call cannot be sent as one request; empty if it can
  [[nodiscard]] std::string FindUnsafePart() const;
  /// Takes a prepared handle and sets the options of this call.
  /// @param aBudget of the loop; outlives this
  void Attach(CURL* aEasy, BufferBudget& aBudget);
  /// Reads the result once libcurl has ended the call.
  [[nodiscard]] HttpResult TakeResult(CURLcode aCode);
  [[nodiscard]] HttpDone TakeDone() noexcept { return std::move(done_); }

private:
  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aUser);
  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aUser);
  static int OnPrerequest(void* aUser,
                          char* aPeerAddress,
                          char* aLocalAddress,
                          int aPeerPort,
                          int aLocalPort);
  void OnByteReceived();
  /// @returns false if the line is no field, which rejects the response
  [[nodiscard]] bool AddField(std::string_view aLine);
  /// @returns the number of bytes taken, as libcurl expects it
  std::size_t AppendToBody(std::string_view aBytes);
  /// Ends the call because of its response.
  /// @returns 0, which makes libcurl end it
  std::size_t Reject(const char* aWhy) noexcept;
  /// @returns the number of bytes of the request that have left this process
  [[nodiscard]] long SentBytes() const;
  void SetMethod();
  void SetHeaders();
  /// @returns false if the caller rejects the response
  [[nodiscard]] bool ReportHead();
  [[nodiscard]] HttpEnd Classify(CURLcode aCode) const;

  HttpCallId id_;
  HttpCall call_;
  HttpDone done_;
  HttpResponse response_;
  IdleTimeout idleTimeout_;
  CURL* easy_ = nullptr;
  BufferBudget* budget_ = nullptr;
  /// Bytes of heads and trailers received.
  std::size_t headBytes_ = 0;
  std::uint64_t bodyBytes_ = 0;
  /// Why the response was rejected, if not by its receiver; else null.
  const char* rejected_ = nullptr;
  /// The request's header lines, and the linked list of them that libcurl
  /// reads.
  std::vector<std::string> headerLines_;
  std::vector<curl_slist> headerNodes_;
  /// A head has begun and not ended; there may be several before the final one.
  bool inHead_ = false;
  bool headReported_ = false;
  /// The head tells where the body ends.
  bool bodyFramed_ = false;
  bool resent_ = false;
  bool cancelled_ = false;
};

} // namespace marjoramtally
