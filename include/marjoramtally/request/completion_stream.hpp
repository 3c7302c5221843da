/// A streamed completion across retries: tracks what was sent to the caller and
/// removes what a retry repeats.
///
/// A retry either resumes after the tokens already sent, or starts from the
/// beginning. In the latter case its text must repeat the sent text byte by
/// byte, so that the caller receives one complete, consistent answer.
#pragma once

#include "marjoramtally/request/event_stream.hpp"
#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/sample.hpp"

namespace marjoramtally {

/// State of one streamed completion.
class CompletionStream
{
public:
  /// Resets the state of the previous attempt; sent tokens and text are kept.
  void StartAttempt();
  /// Processes the next bytes of the response body of the attempt.
  /// @returns events to send to the caller, including those before a fault; the
  /// fault if there are none
  [[nodiscard]] Result<std::string> Feed(std::string_view aBytes);
  /// @returns the error that ends the attempt, if any
  [[nodiscard]] const std::optional<Error>& Fault() const noexcept
  {
    return fault_;
  }
  /// @returns whether the answer is complete: the attempt delivered a finish
  /// reason and the final event
  [[nodiscard]] bool IsComplete() const noexcept { return done_; }
  /// @returns whether an attempt differed from what was already sent to the
  /// caller, so that further attempts are useless
  [[nodiscard]] bool Contradicted() const noexcept { return contradicted_; }
  /// @returns number of tokens sent to the caller
  [[nodiscard]] std::uint32_t Tokens() const noexcept { return tokens_; }
  /// @returns text sent to the caller
  [[nodiscard]] const std::string& Text() const noexcept { return text_; }

private:
  /// Parsed event of a completion stream.
  struct Chunk
  {
    std::uint32_t offset_ = 0;
    std::uint32_t tokens_ = 0;
    std::string text_;
    bool finished_ = false;
    WeightVersion version_;
  };

  [[nodiscard]] Result<std::string> ProcessEvent(const std::string& aData);
  [[nodiscard]] Result<std::string> ProcessChunk(const std::string& aData,
                                                 const Chunk& aChunk);
  [[nodiscard]] Result<Chunk> ParseChunk(const std::string& aData) const;
  /// Appends the text of a chunk that was not sent yet.
  /// @returns the appended text
  [[nodiscard]] Result<std::string> AppendNewText(const Chunk& aChunk);
  void AddSpan(const Chunk& aChunk);
  [[nodiscard]] std::string Rewrite(const std::string& aData,
                                    const Chunk& aChunk,
                                    const std::string& aNewText) const;

  EventStreamParser parser_;
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::vector<VersionSpan> spans_;
  /// Position of the current attempt: next token, and its byte offset in the
  /// text.
  std::uint32_t nextToken_ = 0;
  std::size_t textOffset_ = 0;
  bool started_ = false;
  bool finished_ = false;
  bool done_ = false;
  bool contradicted_ = false;
  std::optional<Error> fault_;
};

} // namespace marjoramtally
