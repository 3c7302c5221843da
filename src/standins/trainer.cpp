/// Stand-in of a trainer. It keeps the set of samples that it holds and
/// accepts only the answer to its present take.

#include "standins/balancer.hpp"

#include <iostream>
#include <thread>

namespace marjoramtally::standin {

namespace {

constexpr auto kRetryPause = std::chrono::milliseconds(50);
constexpr std::uint64_t kTakeWaitMillis = 2000;
constexpr std::uint64_t kSamplesPerTake = 32;
constexpr std::uint64_t kTokens = 64;

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
    const auto prompts = ReadPrompts();
    if (prompts.empty()) {
      std::cerr << "trainer: no prompts in " << options_.promptsFile_ << '\n';
      return kExitBadInput;
    }
    PublishWeights();
    for (std::uint64_t step = 1; step <= options_.steps_; ++step) {
      TakeStep(step, prompts);
      std::this_thread::sleep_for(
        std::chrono::milliseconds(options_.trainMillis_));
      ++version_;
      PublishWeights();
    }
    recorder_.Write(
      { { "kind", "trainer_end" }, { "idle_ms", idle_.count() / 1000 } });
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
    while (SendAndWait(*client_, call).end_ != HttpEnd::Whole) {
      std::this_thread::sleep_for(kRetryPause);
    }
    Insist("announce", { { "version", version_ } });
  }

  /// Sends an operation until it is answered with success or with a status
  /// that the caller handles.
  std::pair<int, Json> Insist(const std::string& aOperation, const Json& aBody)
  {
    while (true) {
      HttpCall call;
      call.method_ = "POST";
      call.url_ = "/v1/trainers/" + options_.trainer_ + "/" + aOperation;
      call.body_ = aBody.dump();
      const HttpResult result = balancer_.Send(std::move(call));
      const int status = result.response_.status_;
      if (result.end_ == HttpEnd::Whole && (status == 200 || status == 404)) {
        return { status, Json::parse(result.response_.body_, nullptr, false) };
      }
      std::this_thread::sleep_for(kRetryPause);
    }
  }

  Json OpenBody(std::uint64_t aStep, const std::vector<std::string>& aPrompts)
  {
    Json prompts = Json::array();
    for (std::uint64_t i = 0; i < options_.groups_; ++i) {
      prompts.push_back(
        aPrompts[(aStep * options_.groups_ + i) % aPrompts.size()]);
    }
    return { { "step", aStep },
             { "version", version_ },
             { "group_size", options_.groupSize_ },
             { "max_tokens", kTokens },
             { "prompts", prompts } };
  }

  void TakeStep(std::uint64_t aStep, const std::vector<std::string>& aPrompts)
  {
    const Json open = OpenBody(aStep, aPrompts);
    const TimePoint start = clock_.Now();
    IndexSet held;
    Insist("open", open);
    const std::uint64_t all = options_.groups_ * options_.groupSize_;
    while (held.size() < all) {
      const auto [status, reply] = Insist("take",
                                          { { "step", aStep },
                                            { "version", version_ },
                                            { "held", held.Format() },
                                            { "most", kSamplesPerTake },
                                            { "wait_ms", kTakeWaitMillis } });
      if (status == 404) {
        Insist("open", open);
        continue;
      }
      for (const Json& sample : reply["samples"]) {
        Accept(aStep, sample, held);
      }
    }
    idle_ += clock_.Now() - start;
    Insist("close", { { "step", aStep } });
    std::cout << "trainer " << options_.trainer_ << ": step " << aStep
              << " whole at version " << version_ << std::endl;
  }

  void Accept(std::uint64_t aStep, const Json& aSample, IndexSet& aHeld)
  {
    const auto group = aSample["group"].get<std::uint64_t>();
    const auto member = aSample["member"].get<std::uint64_t>();
    const auto index =
      static_cast<std::uint32_t>(group * options_.groupSize_ + member);
    const bool fresh = aHeld.Insert(index);
    recorder_.Write({ { "kind", "sample" },
                      { "trainer", options_.trainer_ },
                      { "step", aStep },
                      { "index", index },
                      { "duplicate", !fresh },
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
  std::uint64_t version_ = 1;
  Duration idle_{ 0 };
};

} // namespace

int
RunTrainer(const Options& aOptions)
{
  Trainer trainer(aOptions);
  return trainer.Run();
}

} // namespace marjoramtally::standin
