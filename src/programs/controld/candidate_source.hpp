/// Makes candidates for samples: has an entry generate them, then has the
/// trainer's scorer score them.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/connection.hpp"

namespace marjoramtally {

/// One candidate to make.
struct CandidateRequest
{
  TrainerRule rule_;
  SampleId sample_;
  /// The oldest version that may generate it.
  WeightVersion minVersion_;
  std::uint32_t maxTokens_ = 0;
  std::string prompt_;
  /// W3C trace context.
  std::string trace_;
};

/// What a candidate's maker is told.
struct CandidateEvents
{
  /// The generation ended; scoring begins.
  std::function<void()> scoring_;
  /// Asked before scoring is tried again.
  std::function<bool(const Sample&)> stillWanted_;
  /// The candidate, or why there is none; called exactly once, never from
  /// within `Make`.
  std::function<void(const Result<Sample>&)> done_;
};

/// Generates and scores. Thread-safe.
class CandidateSource
{
public:
  explicit CandidateSource(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  void Make(const CandidateRequest& aRequest, CandidateEvents aEvents);

private:
  struct Scoring
  {
    Sample sample_;
    std::string scorer_;
    std::string body_;
    Backoff backoff_;
    CandidateEvents events_;
  };
  using ScoringPtr = std::shared_ptr<Scoring>;

  void OnReply(const CandidateRequest& aRequest,
               CandidateEvents aEvents,
               const RpcReply& aReply);
  void Score(const ScoringPtr& aScoring);
  void OnScore(const ScoringPtr& aScoring, const HttpResult& aResult);
  void RetryScoreLater(const ScoringPtr& aScoring, const HttpResult& aResult);
  [[nodiscard]] std::optional<std::string> ChooseEntry();

  Host& host_;
  std::atomic<std::uint64_t> nextEntry_{ 0 };
};

} // namespace marjoramtally
