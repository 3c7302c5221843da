/// A change of the configuration shortens `max_queue_s` while items of a batch
/// job run. Checks that no position of the job changes and that no item stands
/// at two positions.

#include "../jobs.hpp"

namespace {

using namespace review;

constexpr const char* kJob = "7c41e09b52d6a3f8";
constexpr double kChangeAt = 3.0; // seconds after the 202
constexpr double kEnd = 30.0;     // the trainer's deadline

/// What was read first at each position.
class Positions
{
public:
  explicit Positions(Recorder& record)
    : record_(record)
  {
  }

  void OnPage(const std::string& reader, std::size_t after, const Json& page)
  {
    std::size_t position = after;
    for (const Json& result : page.at("results")) {
      const std::string text = result.dump();
      const auto [it, added] = seen_.emplace(position, text);
      if (added) {
        record_.Line("%s reads position %zu: %s",
                     reader.c_str(),
                     position,
                     text.substr(0, 160).c_str());
        const std::string item = result.at("id");
        const auto [place, first] = places_.emplace(item, position);
        if (!first) {
          ++broken_;
          record_.Line("BROKEN (TWICE): item %s stands at positions %zu and "
                       "%zu",
                       item.c_str(),
                       place->second,
                       position);
        }
      } else if (it->second != text && changed_.insert(position).second) {
        ++broken_;
        record_.Line("BROKEN (TWICE): %s reads position %zu, which holds "
                     "another result than before: %s",
                     reader.c_str(),
                     position,
                     text.substr(0, 160).c_str());
      }
      ++position;
    }
  }
  int Broken() const { return broken_; }
  std::size_t Count() const { return seen_.size(); }

private:
  Recorder& record_;
  std::map<std::size_t, std::string> seen_;
  std::map<std::string, std::size_t> places_;
  std::set<std::size_t> changed_;
  int broken_ = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  const Setup setup = ReadSetup(argc, argv);
  Recorder record(setup.record_);
  record.Line("trouble: %s", setup.trouble_ ? "yes" : "no");
  Deployment deployment(setup, record, Millis(110));
  auto& daemons = deployment.daemons_;
  deployment.Start(Config(1, 40));
  const Response accepted = Submit(daemons[0]->Front(),
                                   kJob,
                                   Job({ { "long-1", "g1" },
                                         { "long-2", "g1" },
                                         { "short-1", "g2" },
                                         { "short-2", "g2" } },
                                       2));
  record.Line("trainer submits the job: %d", accepted.status_);
  if (accepted.status_ != 202) {
    deployment.End(2, "could not run: the job was not accepted");
  }

  Positions positions(record);
  const auto begin = Clock::now();
  const auto age = [&] {
    return std::chrono::duration<double>(Clock::now() - begin).count();
  };
  bool changed = false;
  while (age() < kEnd) {
    if (setup.trouble_ && !changed && age() >= kChangeAt) {
      changed = true;
      deployment.store_.Put("op/config", Config(4, 8));
      record.Line("operator writes configuration 4: max_queue_s 40 -> 8");
    }
    for (int i = 0; i < 2; ++i) {
      const Response page = Call(daemons[i]->Front(),
                                 "GET",
                                 "/lots/" + std::string(kJob) + "?after=0",
                                 { { "Host", kHost } },
                                 "",
                                 Millis(2500));
      if (page.status_ == 200) {
        positions.OnPage(
          "reader at " + daemons[i]->Name(), 0, Json::parse(page.body_));
      } else {
        record.Line("reader at %s: %d %s",
                    daemons[i]->Name().c_str(),
                    page.status_,
                    page.error_.c_str());
      }
    }
    Sleep(0.5);
  }
  const Response ended = Call(daemons[0]->Front(),
                              "DELETE",
                              "/lots/" + std::string(kJob),
                              { { "Host", kHost } },
                              "",
                              Millis(2000));
  record.Line("trainer ends the job: %d", ended.status_);
  if (positions.Count() == 0) {
    deployment.End(2, "could not run: nothing was listed");
  }
  if (positions.Broken() > 0) {
    deployment.End(1, "broken: TWICE");
  }
  deployment.End(0, "held");
}
