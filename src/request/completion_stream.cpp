#include "marjoramtally/request/completion_stream.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Data of the final event.
constexpr std::string_view kDone = "[DONE]";

Error
Broken(const char* aMessage)
{
  return Error{ ErrorKind::BadInput, aMessage };
}

} // namespace

void
CompletionStream::StartAttempt()
{
  parser_ = {};
  fault_.reset();
  next_ = 0;
  bytes_ = 0;
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
    auto passed = TakeEvent(event);
    if (!passed) {
      fault_ = passed.error();
      break;
    }
    out += passed.value();
  }
  // The caller is owed what came before the fault: it counts as held.
  if (fault_ && out.empty()) {
    return *fault_;
  }
  return out;
}

Result<std::string>
CompletionStream::TakeEvent(const std::string& aData)
{
  if (done_) {
    return Broken("an event after the final one");
  }
  if (aData == kDone) {
    if (!finished_) {
      return Broken("the final event came without a finish reason");
    }
    if (next_ < tokens_ || bytes_ < text_.size()) {
      contradicted_ = true;
      return Broken("a new attempt ended before what the caller holds");
    }
    done_ = true;
    return FormatEvent(kDone);
  }
  const auto piece = ReadPiece(aData);
  if (!piece) {
    return piece.error();
  }
  return TakePiece(aData, piece.value());
}

Result<CompletionStream::Piece>
CompletionStream::ReadPiece(const std::string& aData) const
{
  try {
    const Json event = Json::parse(aData);
    const Json& choice = event.at("choices").at(0);
    Piece piece;
    piece.text_ = choice.value("text", "");
    piece.finished_ =
      choice.contains("finish_reason") && choice["finish_reason"].is_string();
    piece.tokens_ = event.value("tokens", piece.text_.empty() ? 0U : 1U);
    piece.offset_ = event.value("offset", next_);
    piece.version_ =
      WeightVersion{ event.value("weight_version", std::uint64_t{ 0 }) };
    return piece;
  } catch (const Json::exception&) {
    return Broken("an event of the stream is no completion");
  }
}

Result<std::string>
CompletionStream::TakePiece(const std::string& aData, const Piece& aPiece)
{
  if (!started_) {
    started_ = true;
    // An attempt starts anew or right after what the caller holds.
    if (aPiece.offset_ == tokens_) {
      next_ = tokens_;
      bytes_ = text_.size();
    }
  }
  if (finished_ || aPiece.offset_ != next_) {
    return Broken("the stream has a gap");
  }
  const std::uint32_t held = tokens_;
  const auto text = NewText(aPiece);
  if (!text) {
    return text.error();
  }
  next_ += aPiece.tokens_;
  tokens_ = std::max(tokens_, next_);
  finished_ = aPiece.finished_;
  AddSpan(aPiece);
  if (next_ <= held && !finished_) {
    return std::string();
  }
  return FormatEvent(Rewrite(aData, aPiece, text.value()));
}

Result<std::string>
CompletionStream::NewText(const Piece& aPiece)
{
  const std::size_t known = std::min(
    text_.size() - std::min(bytes_, text_.size()), aPiece.text_.size());
  if (text_.compare(bytes_, known, aPiece.text_, 0, known) != 0) {
    contradicted_ = true;
    return Broken("a new attempt gave a different text");
  }
  std::string fresh = aPiece.text_.substr(known);
  bytes_ += aPiece.text_.size();
  text_ += fresh;
  return fresh;
}

void
CompletionStream::AddSpan(const Piece& aPiece)
{
  if (aPiece.offset_ == 0) {
    spans_.clear();
  }
  if (aPiece.tokens_ == 0) {
    return;
  }
  if (spans_.empty() || spans_.back().version_ != aPiece.version_) {
    spans_.push_back({ aPiece.version_, aPiece.offset_, aPiece.offset_ });
  }
  spans_.back().to_ = aPiece.offset_ + aPiece.tokens_;
}

std::string
CompletionStream::Rewrite(const std::string& aData,
                          const Piece& aPiece,
                          const std::string& aNewText) const
{
  Json event = Json::parse(aData);
  const bool same = aNewText.size() == aPiece.text_.size();
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
