/// Streamed generations of the engine stand-in: server-sent events, one a
/// token, resumed by offset, cancelled when the reader goes away.
#pragma once

#include "standins/engine_orders.hpp"

namespace marjoramtally::standin {

/// What is asked of one streamed generation.
struct StreamSpec
{
  std::string model_;
  std::string prompt_;
  std::uint64_t maxTokens_ = 16;
  /// Tokens that the caller holds already.
  std::uint64_t from_ = 0;
};

/// One streamed generation in progress.
class TokenStream : public std::enable_shared_from_this<TokenStream>
{
public:
  /// @param aOnEnd called once, with whether all tokens were written
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

/// @returns the text of one token, the same at every engine
[[nodiscard]] std::string
TokenText(const std::string& aPrompt, std::uint64_t aIndex);

} // namespace marjoramtally::standin
