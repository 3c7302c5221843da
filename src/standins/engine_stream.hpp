/// Streamed generations of the engine stand-in: one server-sent event per
/// token, resumable by offset, cancelled when the client disconnects.
#pragma once

#include "standins/engine_orders.hpp"

namespace marjoramtally::standin {

/// Parameters of one streamed generation.
struct StreamSpec
{
  std::string model_;
  std::string prompt_;
  std::uint64_t maxTokens_ = 16;
  /// Number of tokens that the caller already has.
  std::uint64_t from_ = 0;
};

/// One streamed generation in progress.
class TokenStream : public std::enable_shared_from_this<TokenStream>
{
public:
  /// @param aOnEnd called once with true if all tokens were written, false if
  /// the client disconnected
  TokenStream(const Options& aOptions,
              EngineOrders& aOrders,
              Timers& aTimers,
              StreamSpec aSpec,
              HttpReplyPtr aReply,
              std::function<void(bool)> aOnEnd);
  void Start();

private:
  void ScheduleNext();
  void WriteNext();
  void Write(const Json& aEvent);
  void OnWritten(bool aOk);
  [[nodiscard]] Json TokenEvent();
  [[nodiscard]] Json LastEvent() const;

  const Options& options_;
  EngineOrders& orders_;
  Timers& timers_;
  StreamSpec spec_;
  HttpReplyPtr reply_;
  std::function<void(bool)> onEnd_;
  SystemClock clock_;
  std::uint64_t tokens_ = 0;
  std::uint64_t next_ = 0;
};

/// Deterministic, so that every engine can resume a stream.
/// @returns the text of one token
[[nodiscard]] std::string
TokenText(const std::string& aPrompt, std::uint64_t aIndex);

} // namespace marjoramtally::standin
