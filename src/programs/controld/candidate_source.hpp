/// Produces candidates for samples: an entry instance generates the text, then
/// the trainer's scorer computes the reward.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/connection.hpp"

namespace marjoramtally {

/// Parameters of one candidate.
struct CandidateRequest
{
  TrainerRule rule_;
  SampleId sample_;
  /// Oldest weight version that may generate it.
  WeightVersion minVersion_;
  std::uint32_t maxTokens_ = 0;
  std::string prompt_;
  /// W3C trace context.
  std::string trace_;
};

/// Callbacks on the progress of one candidate.
struct CandidateEvents
{
  /// Generation has completed and scoring starts.
  std::function<void()> scoring_;
  /// Called before scoring is retried; false abandons the candidate.
  std::function<bool(const Sample&)> stillWanted_;
  /// Receives the candidate or the error. Called exactly once, never from
  /// within `Make`.
  std::function<void(const Result<Sample>&)> done_;
};

/// Generates and scores candidates. Thread-safe.
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
