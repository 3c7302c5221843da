/// One streamed completion over all its attempts: what its caller holds,
/// what of a new attempt is new to the caller, and whether it is whole.
///
/// A later attempt either resumes after the tokens that the caller holds,
/// or starts anew; then its text must repeat what the caller holds, byte by
/// byte, so that both together are one whole answer of that attempt.
#pragma once

#include "marjoramtally/request/event_stream.hpp"
#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/sample.hpp"

namespace marjoramtally {

/// A streamed completion of one caller.
class CompletionStream
{
public:
  /// Starts an attempt.
  void StartAttempt();
  /// Takes bytes of the attempt's body.
  /// @returns events to pass to the caller, also those before a fault; the
  /// fault if there are none
  [[nodiscard]] Result<std::string> Feed(std::string_view aBytes);
  /// @returns why the attempt is to be given up, if it is
  [[nodiscard]] const std::optional<Error>& Fault() const noexcept
  {
    return fault_;
  }
  /// @returns whether the attempt gave the whole answer: a finish reason and
  /// the final event
  [[nodiscard]] bool IsComplete() const noexcept { return done_; }
  /// @returns whether what an attempt gave contradicts what the caller
  /// holds, so that no further attempt can help
  [[nodiscard]] bool Contradicted() const noexcept { return contradicted_; }
  /// @returns tokens that the caller holds
  [[nodiscard]] std::uint32_t Tokens() const noexcept { return tokens_; }
  /// @returns text that the caller holds
  [[nodiscard]] const std::string& Text() const noexcept { return text_; }

private:
  /// One event of a completion, read.
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
  /// @returns what of a piece the caller does not hold
  [[nodiscard]] Result<std::string> AppendNewText(const Chunk& aChunk);
  void AddSpan(const Chunk& aChunk);
  [[nodiscard]] std::string Rewrite(const std::string& aData,
                                    const Chunk& aChunk,
                                    const std::string& aNewText) const;

  EventStreamParser parser_;
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::vector<VersionSpan> spans_;
  /// Of the present attempt: next token, and bytes of text up to it.
  std::uint32_t nextToken_ = 0;
  std::size_t textOffset_ = 0;
  bool started_ = false;
  bool finished_ = false;
  bool done_ = false;
  bool contradicted_ = false;
  std::optional<Error> fault_;
};

} // namespace marjoramtally
