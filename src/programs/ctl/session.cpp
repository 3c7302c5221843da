#include "programs/ctl/session.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/runtime/program.hpp"

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr auto kStoreTimeout = std::chrono::seconds(5);
constexpr auto kQueryTimeout = std::chrono::seconds(1);
/// Timeout for a revision to be in force at every live instance.
constexpr auto kInForceTimeout = std::chrono::seconds(15);
constexpr auto kInForcePollPeriod = std::chrono::milliseconds(100);
/// Instances queried to detect a store that was restored from an older copy.
constexpr int kMaxQueriedInstances = 3;
/// Every edit whose revision is a multiple of this deletes unused contents.
constexpr std::uint64_t kRevisionsPerSweep = 64;

std::uint64_t
RevisionOf(const std::optional<std::string>& aStatus)
{
  const Json body = aStatus ? ParseJsonOrDiscarded(*aStatus) : Json::object();
  return body.is_object() ? body.value("revision", std::uint64_t{ 0 }) : 0;
}

/// Prints an error if the store cannot be opened; all calls to the returned
/// store then fail.
std::unique_ptr<Store>
OpenOrReport(HttpClient& aClient, const std::string& aAddress)
{
  static const SystemClock kClock;
  auto store = OpenStore(aAddress, aClient, kStoreTimeout, kClock);
  if (!store) {
    std::cerr << "marjoramctl: " << store.error().message_ << '\n';
    return MakeEtcdStore(aClient, "", kStoreTimeout);
  }
  return std::move(store).value();
}

} // namespace

Session::Session(const CommandInput& aInput)
  : input_(aInput)
  , client_(HttpClient::Create(1))
  , store_(OpenOrReport(*client_, aInput.store_))
{
}

Result<StoredManifest>
Session::Accepted()
{
  return Await<StoredManifest>(
    [&](auto aDone) { ReadStoredManifest(*store_, std::move(aDone)); });
}

Result<std::vector<StoreRecord>>
Session::Live()
{
  auto read = Await<StoreRange>([&](auto aDone) {
    store_->Read(std::string(kLivePrefix), std::move(aDone));
  });
  if (!read) {
    return read.error();
  }
  return std::move(read).value().records_;
}

std::optional<std::string>
Session::Query(const std::string& aAddress, const std::string& aPath)
{
  HttpCall call;
  call.url_ = "http://" + aAddress + aPath;
  call.timeout_ = kQueryTimeout;
  call.connectTimeout_ = kQueryTimeout;
  if (!input_.token_.empty()) {
    call.headers_.push_back({ "Authorization", "Bearer " + input_.token_ });
  }
  const HttpResult result = SendAndWait(*client_, std::move(call));
  if (result.end_ != HttpEnd::Complete || result.response_.status_ != 200) {
    return std::nullopt;
  }
  return result.response_.body_;
}

/// A store that was restored from an older copy must not accept edits, because
/// instances would keep their higher revision. Instances are queried before the
/// manifest is read: in a store that was not restored, the manifest is then
/// never older than what they report.
Result<bool>
Session::CheckStoreNotOlder()
{
  const auto live = Live();
  if (!live) {
    return live.error();
  }
  std::uint64_t highest = 0;
  std::string where;
  int queried = 0;
  for (const LiveInstance& instance : ListInstances(live.value())) {
    if (queried++ == kMaxQueriedInstances) {
      break;
    }
    const std::uint64_t has = RevisionOf(Query(instance.http_, "/status.json"));
    if (has > highest) {
      highest = has;
      where = instance.id_ + " (" + instance.http_ + ")";
    }
  }
  const auto accepted = Accepted();
  if (!accepted) {
    return accepted.error();
  }
  const std::uint64_t shown = accepted.value().manifest_.revision_.Get();
  if (shown < highest) {
    return Error{ ErrorKind::Conflict,
                  "not accepted: the store shows revision " +
                    std::to_string(shown) + " but revision " +
                    std::to_string(highest) + " is in force at " + where +
                    "; it came back older: marjoramctl restore ADDRESS" };
  }
  return true;
}

int
Session::Submit(ConfigEdit aEdit)
{
  if (aEdit.aboveRevision_ == ConfigRevision{ 0 }) {
    const auto checked = CheckStoreNotOlder();
    if (!checked) {
      return PrintFailure(checked.error());
    }
  }
  const auto end = Await<EditResult>([&](auto aDone) {
    SubmitEdit(*store_, timers_, std::move(aEdit), std::move(aDone));
  });
  return end ? Report(end.value()) : PrintFailure(end.error());
}

int
Session::Report(const EditResult& aEnd)
{
  switch (aEnd.step_) {
    case EditStep::Accepted:
      break;
    case EditStep::Unchanged:
      std::cout << "nothing to change\n";
      return kExitOk;
    case EditStep::Conflicted:
      std::cerr << "marjoramctl: not accepted: others changed";
      for (const std::string& name : aEnd.conflicts_) {
        std::cerr << ' ' << name;
      }
      std::cerr << " meanwhile; see marjoramctl diff, pull and history\n";
      return kExitFailed;
    case EditStep::Rejected:
      std::cerr << aEnd.problems_.Render();
      return kExitBadInput;
    default:
      std::cerr << "marjoramctl: not known whether edit " << aEnd.id_
                << " was accepted; look for it in marjoramctl history\n";
      return kExitFailed;
  }
  const std::uint64_t revision = aEnd.revision_.Get();
  if (input_.json_) {
    std::cout << Json{ { "revision", revision }, { "edit", aEnd.id_ } }.dump()
              << '\n';
  } else {
    std::cout << "accepted revision " << revision << '\n';
  }
  if (revision % kRevisionsPerSweep == 0) {
    (void)SweepContents(*store_);
  }
  return input_.wait_ ? WaitUntilInForce(aEnd.revision_) : kExitOk;
}

int
Session::WaitUntilInForce(ConfigRevision aRevision)
{
  const auto limit = std::chrono::steady_clock::now() + kInForceTimeout;
  const auto live = Live();
  if (!live) {
    std::cerr << "marjoramctl: accepted, but the store does not tell which "
                 "instances live: "
              << live.error().message_ << '\n';
    return kExitFailed;
  }
  std::vector<LiveInstance> behind = ListInstances(live.value());
  const std::size_t all = behind.size();
  while (true) {
    std::erase_if(behind, [&](const LiveInstance& aInstance) {
      return RevisionOf(Query(aInstance.http_, "/status.json")) >=
             aRevision.Get();
    });
    if (behind.empty() || std::chrono::steady_clock::now() >= limit) {
      break;
    }
    std::this_thread::sleep_for(kInForcePollPeriod);
  }
  for (const LiveInstance& instance : behind) {
    std::cerr << "marjoramctl: not in force at " << instance.id_ << " ("
              << instance.zone_ << ", " << instance.http_ << ")\n";
  }
  if (behind.empty()) {
    std::cout << "in force at all " << all << " live instances\n";
  }
  return behind.empty() ? kExitOk : kExitFailed;
}

std::vector<LiveInstance>
ListInstances(const std::vector<StoreRecord>& aLive)
{
  std::vector<LiveInstance> instances;
  for (const StoreRecord& record : aLive) {
    if (!record.key_.starts_with(kInstancePrefix)) {
      continue;
    }
    const Json body = ParseJsonOrDiscarded(record.value_);
    if (body.is_object()) {
      instances.push_back({ record.key_.substr(kInstancePrefix.size()),
                            body.value("role", ""),
                            body.value("zone", ""),
                            body.value("http", "") });
    }
  }
  return instances;
}

int
PrintFailure(const Error& aError)
{
  std::cerr << "marjoramctl: " << aError.message_ << '\n';
  return kExitFailed;
}

} // namespace marjoramtally
