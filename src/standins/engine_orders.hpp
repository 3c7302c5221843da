/// Handles the orders that the engine stand-in receives: prefetches and
/// switches of weights, roles, fencing numbers.
#pragma once

#include "standins/standin.hpp"

namespace marjoramtally::standin {

/// Weights, role and fencing number of one engine. Thread-safe.
class EngineOrders
{
public:
  /// Both arguments must outlive the object.
  EngineOrders(const Options& aOptions, Recorder& aRecorder);

  /// Executes one order, whose `kind` is `prefetch`, `switch` or `role`. A
  /// switch to a version that was not prefetched loads it first.
  void Handle(const Json& aBody, const HttpReplyPtr& aReply);
  /// Counts a generation as running.
  /// @returns false if the model is not served or is draining
  [[nodiscard]] bool BeginGeneration(const std::string& aModel);
  void EndGeneration(const std::string& aModel);
  /// @returns the weight version of each token range of a generation
  [[nodiscard]] Json Spans(const std::string& aModel,
                           std::uint64_t aTokens,
                           TimePoint aStart);
  /// Adds the versions served, the versions loaded last and the role.
  void Describe(Json& aLoad);

private:
  /// The model switched to `version_` at `at_`.
  struct Swap
  {
    TimePoint at_;
    std::uint64_t version_ = 0;
  };
  struct Model
  {
    std::vector<Swap> swaps_;
    std::uint64_t loaded_ = 0;
    std::uint64_t running_ = 0;
    /// New generations are refused until the switch is done.
    bool draining_ = false;
  };
  struct Order
  {
    std::string model_;
    std::uint64_t version_ = 0;
    std::uint64_t fencing_ = 0;
    bool switch_ = false;
    /// Until this time the switch waits for running generations, which finish
    /// on the old weights.
    TimePoint drainUntil_;
  };

  /// Records the highest fencing number received.
  /// @returns whether an order with this number must be refused
  [[nodiscard]] bool IsFencedOut(std::uint64_t aFencing);
  void Load(const Order& aOrder, const HttpReplyPtr& aReply);
  void FinishLoad(const Order& aOrder,
                  const HttpResult& aResult,
                  const HttpReplyPtr& aReply);
  void Switch(const Order& aOrder, const HttpReplyPtr& aReply);
  void FinishSwitch(const Order& aOrder, const HttpReplyPtr& aReply);
  [[nodiscard]] bool ShouldFailSwap();

  const Options& options_;
  Recorder& recorder_;
  SystemClock clock_;
  std::mutex mutex_;
  Random random_;
  std::map<std::string, Model> models_;
  std::string role_;
  std::uint64_t fencing_ = 0;
  std::unique_ptr<HttpClient> client_;
  Timers timers_;
};

} // namespace marjoramtally::standin
