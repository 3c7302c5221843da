/// Stand-in of a trainer. It records the set of samples that it has, accepts
/// only the answer to its latest take and opens steps ahead of the current
/// one.

#include "standins/balancer.hpp"

#include <iostream>
#include <map>
#include <thread>

namespace marjoramtally::standin {

namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(50);
constexpr std::uint64_t kTakeWaitMillis = 2000;
constexpr std::uint64_t kSamplesPerTake = 32;
constexpr std::uint64_t kMaxTokens = 64;
constexpr Duration::rep kMicrosPerMilli = 1000;

class Trainer
{
public:
  explicit Trainer(const Options& aOptions)
    : options_(aOptions)
    , recorder_(aOptions.recordFile_)
    , balancer_(aOptions.entries_)
    , client_(HttpClient::Create(1))
  {
  }

  int Run()
  {
    prompts_ = ReadPrompts();
    if (prompts_.empty()) {
      std::cerr << "trainer: no prompts in " << options_.promptsFile_ << '\n';
      return kExitBadInput;
    }
    idleSince_ = clock_.Now();
    PublishWeights();
    for (std::uint64_t step = 1; step <= options_.steps_; ++step) {
      TakeStep(step);
      std::this_thread::sleep_for(
        std::chrono::milliseconds(options_.trainMillis_));
      idleSince_ = clock_.Now();
      ++version_;
      PublishWeights();
    }
    recorder_.Write({ { "kind", "trainer_end" },
                      { "idle_ms", totalIdle_.count() / kMicrosPerMilli },
                      { "gap_ms", longestGap_.count() / kMicrosPerMilli } });
    return kExitOk;
  }

private:
  std::vector<std::string> ReadPrompts() const
  {
    std::ifstream file(options_.promptsFile_);
    std::vector<std::string> prompts;
    std::string line;
    while (std::getline(file, line)) {
      prompts.push_back(line);
    }
    return prompts;
  }

  void PublishWeights()
  {
    HttpCall call;
    call.method_ = "PUT";
    call.url_ = "http://" + options_.weightStore_ + "/weights/" +
                options_.model_ + "/" + std::to_string(version_);
    while (SendAndWait(*client_, call).end_ != HttpEnd::Complete) {
      std::this_thread::sleep_for(kRetryDelay);
    }
    SendUntilAnswered("announce", { { "version", version_ } });
  }

  /// Repeats an operation until it is answered with 200, or with 404, which
  /// the caller handles.
  std::pair<int, Json> SendUntilAnswered(const std::string& aOperation,
                                         const Json& aBody)
  {
    while (true) {
      HttpCall call;
      call.method_ = "POST";
      call.url_ = "/v1/trainers/" + options_.trainer_ + "/" + aOperation;
      call.body_ = aBody.dump();
      const HttpResult result = balancer_.Send(std::move(call));
      const int status = result.response_.status_;
      if (result.end_ == HttpEnd::Complete &&
          (status == 200 || status == 404)) {
        return { status, Json::parse(result.response_.body_, nullptr, false) };
      }
      std::this_thread::sleep_for(kRetryDelay);
    }
  }

  /// @param aVersion the trainer's version when it takes the step; it grows by
  /// one with each step
  Json OpenBody(std::uint64_t aStep, std::uint64_t aVersion) const
  {
    Json prompts = Json::array();
    for (std::uint64_t i = 0; i < options_.groups_; ++i) {
      prompts.push_back(
        prompts_[(aStep * options_.groups_ + i) % prompts_.size()]);
    }
    return { { "step", aStep },
             { "version", aVersion },
             { "group_size", options_.groupSize_ },
             { "max_tokens", kMaxTokens },
             { "prompts", prompts } };
  }

  /// Opens the current step and those that may be generated ahead of it.
  void OpenAhead(std::uint64_t aStep)
  {
    const std::uint64_t last =
      std::min(options_.steps_, aStep + options_.stepsAhead_);
    for (std::uint64_t step = aStep; step <= last; ++step) {
      const auto opened =
        open_.try_emplace(step, OpenBody(step, version_ + (step - aStep)));
      if (opened.second) {
        SendUntilAnswered("open", opened.first->second);
      }
    }
  }

  /// Opens all steps again after a change of owner.
  void ReopenSteps()
  {
    for (const auto& [step, body] : open_) {
      SendUntilAnswered("open", body);
    }
  }

  /// Sends one take and ignores answers to earlier ones.
  /// @returns whether samples were received
  bool TakeOnce(std::uint64_t aStep, IndexSet& aHeld)
  {
    ++take_;
    const auto [status, reply] =
      SendUntilAnswered("take",
                        { { "step", aStep },
                          { "version", version_ },
                          { "take", take_ },
                          { "held", aHeld.Format() },
                          { "most", kSamplesPerTake },
                          { "wait_ms", kTakeWaitMillis } });
    if (status == 404) {
      ReopenSteps();
      return false;
    }
    if (reply["take"] != take_) {
      return false;
    }
    for (const Json& sample : reply["samples"]) {
      Accept(aStep, sample, aHeld);
    }
    return !reply["samples"].empty();
  }

  void TakeStep(std::uint64_t aStep)
  {
    TimePoint lastSample = idleSince_;
    IndexSet held;
    OpenAhead(aStep);
    const std::uint64_t total = options_.groups_ * options_.groupSize_;
    while (held.size() < total) {
      if (TakeOnce(aStep, held)) {
        const TimePoint now = clock_.Now();
        longestGap_ = std::max(longestGap_, now - lastSample);
        lastSample = now;
      }
    }
    const Duration idle = clock_.Now() - idleSince_;
    totalIdle_ += idle;
    open_.erase(aStep);
    SendUntilAnswered("close", { { "step", aStep } });
    std::cout << "trainer " << options_.trainer_ << ": step " << aStep
              << " complete at version " << version_ << ", idle "
              << idle.count() / kMicrosPerMilli << " ms" << std::endl;
  }

  void Accept(std::uint64_t aStep, const Json& aSample, IndexSet& aHeld)
  {
    const auto group = aSample["group"].get<std::uint64_t>();
    const auto member = aSample["member"].get<std::uint64_t>();
    const auto index =
      static_cast<std::uint32_t>(group * options_.groupSize_ + member);
    const bool inserted = aHeld.Insert(index);
    recorder_.Write({ { "kind", "sample" },
                      { "trainer", options_.trainer_ },
                      { "step", aStep },
                      { "index", index },
                      { "duplicate", !inserted },
                      { "text", aSample["text"] },
                      { "trainer_version", version_ },
                      { "staleness_bound", options_.staleness_ },
                      { "weight_versions", aSample["weight_versions"] } });
  }

  const Options& options_;
  Recorder recorder_;
  Balancer balancer_;
  std::unique_ptr<HttpClient> client_;
  SystemClock clock_;
  std::vector<std::string> prompts_;
  /// Bodies of the open requests of steps that are not closed.
  std::map<std::uint64_t, Json> open_;
  std::uint64_t version_ = 1;
  std::uint64_t take_ = 0;
  /// End of the last training step.
  TimePoint idleSince_;
  Duration totalIdle_{ 0 };
  /// Longest wait for further samples of a step.
  Duration longestGap_{ 0 };
};

} // namespace

int
RunTrainer(const Options& aOptions)
{
  Trainer trainer(aOptions);
  return trainer.Run();
}

} // namespace marjoramtally::standin
