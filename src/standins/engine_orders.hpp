/// The order part of the engine stand-in: weights loaded ahead, switched,
/// roles, fencing numbers.
#pragma once

#include "standins/standin.hpp"

namespace marjoramtally::standin {

/// Weights and role of one engine. Thread-safe.
class EngineOrders
{
public:
  /// Both arguments outlive the object.
  EngineOrders(const Options& aOptions, Recorder& aRecorder);

  /// Takes one order: `kind` is `prefetch`, `switch` or `role`. A switch to
  /// a version that was not loaded ahead loads it first.
  void Handle(const Json& aBody, const HttpReplyPtr& aReply);
  /// Counts a generation in.
  /// @returns false if the model is not served now
  [[nodiscard]] bool BeginGeneration(const std::string& aModel);
  void EndGeneration(const std::string& aModel);
  /// @returns which versions a generation's tokens were made by
  [[nodiscard]] Json Spans(const std::string& aModel,
                           std::uint64_t aTokens,
                           TimePoint aStart);
  /// Adds the versions served, the versions loaded ahead and the role.
  void Describe(Json& aLoad);

private:
  /// From `at_` on the model had this version.
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
    /// New generations are refused until the switch.
    bool draining_ = false;
  };
  struct Order
  {
    std::string model_;
    std::uint64_t version_ = 0;
    std::uint64_t fencing_ = 0;
    bool switch_ = false;
    /// Generations in progress end on the old weights until then.
    TimePoint drainUntil_;
  };

  /// Keeps the highest number seen.
  /// @returns whether an order with this number is to be refused
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
