#include "marjoramtally/request/completion_stream.hpp"

#include "marjoramtally/base/json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Data of the event that ends a stream.
constexpr std::string_view kDone = "[DONE]";

Error
InvalidStream(const char* aMessage)
{
  return Error{ ErrorKind::BadInput, aMessage };
}

} // namespace

void
CompletionStream::StartAttempt()
{
  parser_ = {};
  fault_.reset();
  nextToken_ = 0;
  textOffset_ = 0;
  started_ = false;
  finished_ = false;
}

Result<std::string>
CompletionStream::Feed(std::string_view aBytes)
{
  if (fault_) {
    return *fault_;
  }
  const auto events = parser_.Feed(aBytes);
  if (!events) {
    fault_ = events.error();
    return *fault_;
  }
  std::string out;
  for (const std::string& event : events.value()) {
    auto passed = ProcessEvent(event);
    if (!passed) {
      fault_ = passed.error();
      break;
    }
    out += passed.value();
  }
  // Events before the fault are still sent to the caller, since they are
  // already counted as sent.
  if (fault_ && out.empty()) {
    return *fault_;
  }
  return out;
}

Result<std::string>
CompletionStream::ProcessEvent(const std::string& aData)
{
  if (done_) {
    return InvalidStream("stream event received after the final event");
  }
  if (aData == kDone) {
    if (!finished_) {
      return InvalidStream("stream ended without a finish reason");
    }
    if (nextToken_ < tokens_ || textOffset_ < text_.size()) {
      contradicted_ = true;
      return InvalidStream(
        "retry ended before the text already sent to the caller");
    }
    done_ = true;
    return FormatEvent(kDone);
  }
  const auto chunk = ParseChunk(aData);
  if (!chunk) {
    return chunk.error();
  }
  return ProcessChunk(aData, chunk.value());
}

Result<CompletionStream::Chunk>
CompletionStream::ParseChunk(const std::string& aData) const
{
  try {
    const Json event = ParseJson(aData);
    const Json& choice = event.at("choices").at(0);
    Chunk chunk;
    chunk.text_ = choice.value("text", "");
    chunk.finished_ =
      choice.contains("finish_reason") && choice["finish_reason"].is_string();
    chunk.tokens_ = event.value("tokens", chunk.text_.empty() ? 0U : 1U);
    chunk.offset_ = event.value("offset", nextToken_);
    chunk.version_ =
      WeightVersion{ event.value("weight_version", std::uint64_t{ 0 }) };
    return chunk;
  } catch (const Json::exception&) {
    return InvalidStream("stream event is not a completion");
  }
}

Result<std::string>
CompletionStream::ProcessChunk(const std::string& aData, const Chunk& aChunk)
{
  if (!started_) {
    started_ = true;
    // An attempt starts either from the beginning or right after the tokens
    // that were already sent.
    if (aChunk.offset_ == tokens_) {
      nextToken_ = tokens_;
      textOffset_ = text_.size();
    }
  }
  if (finished_ || aChunk.offset_ != nextToken_) {
    return InvalidStream(
      "stream event out of order or after the finish reason");
  }
  const std::uint32_t sentTokens = tokens_;
  const auto text = AppendNewText(aChunk);
  if (!text) {
    return text.error();
  }
  nextToken_ += aChunk.tokens_;
  tokens_ = std::max(tokens_, nextToken_);
  finished_ = aChunk.finished_;
  AddSpan(aChunk);
  if (nextToken_ <= sentTokens && !finished_) {
    return std::string();
  }
  return FormatEvent(Rewrite(aData, aChunk, text.value()));
}

Result<std::string>
CompletionStream::AppendNewText(const Chunk& aChunk)
{
  const std::size_t known = std::min(
    text_.size() - std::min(textOffset_, text_.size()), aChunk.text_.size());
  if (text_.compare(textOffset_, known, aChunk.text_, 0, known) != 0) {
    contradicted_ = true;
    return InvalidStream(
      "retry differs from the text already sent to the caller");
  }
  std::string fresh = aChunk.text_.substr(known);
  textOffset_ += aChunk.text_.size();
  text_ += fresh;
  return fresh;
}

void
CompletionStream::AddSpan(const Chunk& aChunk)
{
  if (aChunk.offset_ == 0) {
    spans_.clear();
  }
  if (aChunk.tokens_ == 0) {
    return;
  }
  if (spans_.empty() || spans_.back().version_ != aChunk.version_) {
    spans_.push_back({ aChunk.version_, aChunk.offset_, aChunk.offset_ });
  }
  spans_.back().to_ = aChunk.offset_ + aChunk.tokens_;
}

std::string
CompletionStream::Rewrite(const std::string& aData,
                          const Chunk& aChunk,
                          const std::string& aNewText) const
{
  Json event = ParseJson(aData);
  const bool same = aNewText.size() == aChunk.text_.size();
  const bool labels = event.contains("weight_versions");
  if (same && !labels) {
    return aData;
  }
  event["choices"][0]["text"] = aNewText;
  if (labels) {
    Json spans = Json::array();
    for (const VersionSpan& span : spans_) {
      spans.push_back({ { "version", span.version_.Get() },
                        { "from", span.from_ },
                        { "to", span.to_ } });
    }
    event["weight_versions"] = std::move(spans);
  }
  return event.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace marjoramtally
