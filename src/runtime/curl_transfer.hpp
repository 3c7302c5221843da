/// One call as libcurl carries it out.
#pragma once

#include "marjoramtally/runtime/http_client.hpp"
#include "runtime/idle_timeout.hpp"

#include <curl/curl.h>

namespace marjoramtally {

/// One call in progress; its address is the handle's private pointer, so it
/// stays where it is until the call has ended.
class CurlTransfer
{
public:
  CurlTransfer(HttpCallId aId, HttpCall aCall, HttpDone aDone);

  [[nodiscard]] HttpCallId Id() const noexcept { return id_; }
  [[nodiscard]] CURL* Handle() const noexcept { return easy_; }
  void MarkCancelled() noexcept { cancelled_ = true; }
  /// How long no byte may come.
  [[nodiscard]] IdleTimeout& Idle() noexcept { return idleTimeout_; }

  /// Sets what is the same for every call; once for each handle.
  static void PrepareHandle(CURL* aEasy);
  /// Takes a prepared handle and sets what this call needs.
  void Attach(CURL* aEasy);
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
  void OnByteReceived();
  void SetMethod();
  void SetHeaders();
  /// @returns whether the answer is believed
  [[nodiscard]] bool ReportHead();
  [[nodiscard]] HttpEnd Classify(CURLcode aCode) const;

  HttpCallId id_;
  HttpCall call_;
  HttpDone done_;
  HttpResponse response_;
  IdleTimeout idleTimeout_;
  CURL* easy_ = nullptr;
  /// The request's header lines and the list of them that libcurl reads.
  std::vector<std::string> headerLines_;
  std::vector<curl_slist> headerNodes_;
  bool headReported_ = false;
  bool cancelled_ = false;
};

} // namespace marjoramtally
