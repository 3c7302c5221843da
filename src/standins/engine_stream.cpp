#include "standins/engine_stream.hpp"

namespace marjoramtally::standin {

namespace {

constexpr std::uint64_t kVocabularySize = 4096;

std::uint64_t
PromptHash(const std::string& aPrompt)
{
  return std::hash<std::string>{}(aPrompt);
}

} // namespace

std::string
TokenText(const std::string& aPrompt, std::uint64_t aIndex)
{
  Random random(PromptHash(aPrompt) + aIndex);
  return " w" + std::to_string(random.Below(kVocabularySize));
}

TokenStream::TokenStream(const Options& aOptions,
                         EngineOrders& aOrders,
                         Timers& aTimers,
                         StreamSpec aSpec,
                         HttpReplyPtr aReply,
                         std::function<void(bool)> aOnEnd)
  : options_(aOptions)
  , orders_(aOrders)
  , timers_(aTimers)
  , spec_(std::move(aSpec))
  , reply_(std::move(aReply))
  , onEnd_(std::move(aOnEnd))
{
  const std::uint64_t half = spec_.maxTokens_ / 2;
  tokens_ = half + PromptHash(spec_.prompt_) % (half + 1) + 1;
  next_ = std::min(spec_.from_, tokens_);
}

void
TokenStream::Start()
{
  reply_->Begin(200, { { "Content-Type", "text/event-stream" } });
  ScheduleNext();
}

void
TokenStream::ScheduleNext()
{
  timers_.After(Duration(options_.tokenMicros_),
                [self = shared_from_this()] { self->WriteNext(); });
}

void
TokenStream::WriteNext()
{
  if (next_ < tokens_) {
    Write(TokenEvent());
    return;
  }
  Write(LastEvent());
}

Json
TokenStream::TokenEvent()
{
  const Json spans = orders_.Spans(spec_.model_, 1, clock_.Now());
  Json event{
    { "model", spec_.model_ },
    { "choices",
      { { { "text", TokenText(spec_.prompt_, next_) },
          { "finish_reason", nullptr } } } },
    { "offset", next_ },
    { "tokens", 1 },
    { "weight_version", spans.at(0).at("version") },
  };
  ++next_;
  return event;
}

Json
TokenStream::LastEvent() const
{
  return { { "model", spec_.model_ },
           { "choices", { { { "text", "" }, { "finish_reason", "stop" } } } },
           { "offset", next_ },
           { "tokens", 0 },
           { "usage", { { "completion_tokens", tokens_ } } },
           { "weight_versions", Json::array() } };
}

void
TokenStream::Write(const Json& aEvent)
{
  const bool last = aEvent.contains("usage");
  std::string text = "data: " + aEvent.dump() + "\n\n";
  text += last ? "data: [DONE]\n\n" : "";
  if (last) {
    reply_->Chunk(std::move(text), nullptr);
    reply_->End();
    onEnd_(true);
    return;
  }
  reply_->Chunk(std::move(text), [self = shared_from_this()](bool aOk) {
    self->OnWritten(aOk);
  });
}

void
TokenStream::OnWritten(bool aOk)
{
  if (aOk) {
    ScheduleNext();
    return;
  }
  onEnd_(false);
}

} // namespace marjoramtally::standin
