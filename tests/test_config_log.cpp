#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/version.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <deque>

using namespace marjoramtally;

namespace {

/// Fake store that can lose the answer to a commit or apply a commit late.
class FakeLog
{
public:
  Manifest manifest_;
  std::uint64_t modification_ = 0;
  std::map<std::uint64_t, Manifest> records_;
  std::map<std::string, std::string> blobs_;
  /// Commits with lost answers that have not taken effect yet.
  std::deque<std::pair<Manifest, std::uint64_t>> late_;

  CommitOutcome Commit(const EditSession& aSession)
  {
    for (const FileChange& change : aSession.Edit().changes_) {
      blobs_[change.hash_] = change.text_;
    }
    return Replace(aSession.Proposal(), aSession.Modification())
             ? CommitOutcome::Applied
             : CommitOutcome::NotApplied;
  }

  bool Replace(const Manifest& aManifest, std::uint64_t aModification)
  {
    if (aModification != modification_) {
      return false;
    }
    manifest_ = aManifest;
    ++modification_;
    records_[aManifest.revision_.Get()] = aManifest;
    return true;
  }

  /// Loses the answer; the commit takes effect now (0), later (1) or never.
  void CommitWithLostAnswer(const EditSession& aSession, std::uint64_t aEffect)
  {
    if (aEffect == 0) {
      (void)Commit(aSession);
    } else if (aEffect == 1) {
      blobs_[aSession.Edit().changes_.front().hash_] =
        aSession.Edit().changes_.front().text_;
      late_.emplace_back(aSession.Proposal(), aSession.Modification());
    }
  }

  void ApplyLate()
  {
    if (!late_.empty()) {
      (void)Replace(late_.front().first, late_.front().second);
      late_.pop_front();
    }
  }
};

ConfigEdit
MakeEdit(const std::string& aId,
         const std::string& aFile,
         const std::string& aBase,
         const std::string& aText)
{
  ConfigEdit edit;
  edit.id_ = aId;
  // The text serves as its own hash.
  edit.changes_.push_back({ aFile, aBase, aText, aText });
  return edit;
}

std::string
ServiceText(const std::string& aName, std::uint64_t aLimit)
{
  return "[service " + aName +
         "]\nkind = plain\nupstream-limit = " + std::to_string(aLimit) + "\n";
}

/// Performs the next step of a session.
void
Drive(EditSession& aSession, FakeLog& aLog, Random& aRandom, unsigned aLost)
{
  switch (aSession.Next()) {
    case EditStep::ReadManifest:
      aSession.OnManifest(aLog.manifest_, aLog.modification_);
      break;
    case EditStep::ReadBlobs:
      aSession.OnBlobs(aLog.blobs_);
      break;
    case EditStep::Commit:
      if (aRandom.Below(100) < aLost) {
        aLog.CommitWithLostAnswer(aSession, aRandom.Below(3));
        aSession.OnCommit(CommitOutcome::Unknown);
      } else {
        aSession.OnCommit(aLog.Commit(aSession));
      }
      break;
    case EditStep::ReadRecord: {
      const auto record = aLog.records_.find(aSession.Attempted().Get());
      aSession.OnRecord(record == aLog.records_.end()
                          ? std::nullopt
                          : std::optional(record->second));
      break;
    }
    default:
      break;
  }
}

bool
IsDone(EditStep aStep)
{
  return aStep >= EditStep::Accepted;
}

void
Finish(EditSession& aSession, FakeLog& aLog)
{
  Random random(1);
  while (!IsDone(aSession.Next())) {
    Drive(aSession, aLog, random, 0);
  }
}

} // namespace

TEST_CASE(
  "1,000 concurrent edits with lost answers: none is lost or applied twice")
{
  constexpr std::uint64_t kEdits = 500;
  constexpr unsigned kLostPercent = 10;
  FakeLog log;
  Random random(20261202);
  std::array<std::uint64_t, 2> done{ 0, 0 };
  std::array<std::string, 2> bases;
  std::vector<EditSession> sessions;
  const std::array<std::string, 2> names{ "a", "b" };
  const auto next = [&](std::size_t aEditor) {
    const std::string& name = names.at(aEditor);
    const std::uint64_t number = done.at(aEditor) + 1;
    return EditSession(MakeEdit(name + std::to_string(number),
                                name + ".ini",
                                bases.at(aEditor),
                                ServiceText(name, number)));
  };
  sessions.push_back(next(0));
  sessions.push_back(next(1));
  std::vector<std::pair<std::string, ConfigRevision>> accepted;
  while (done[0] < kEdits || done[1] < kEdits) {
    const std::size_t editor = random.Below(2);
    if (done.at(editor) == kEdits) {
      continue;
    }
    EditSession& session = sessions[editor];
    Drive(session, log, random, kLostPercent);
    if (random.Below(4) == 0) {
      log.ApplyLate();
    }
    REQUIRE(session.Next() <= EditStep::Accepted);
    if (session.Next() == EditStep::Accepted) {
      accepted.emplace_back(session.Edit().id_, session.Attempted());
      bases.at(editor) = session.Edit().changes_.front().hash_;
      ++done.at(editor);
      session = next(editor);
    }
  }
  // The log has each edit exactly once, under the reported revision, and no
  // other records, so that all readers see the same order.
  REQUIRE(log.records_.size() == 2 * kEdits);
  for (const auto& [id, revision] : accepted) {
    CHECK(log.records_.at(revision.Get()).edit_ == id);
  }
  CHECK(log.manifest_.revision_ == ConfigRevision{ 2 * kEdits });
}

TEST_CASE(
  "an edit with a lost answer is reported as accepted even if superseded")
{
  FakeLog log;
  EditSession first(MakeEdit("first", "a.ini", "", ServiceText("a", 1)));
  first.OnManifest(log.manifest_, log.modification_);
  REQUIRE(first.Next() == EditStep::Commit);
  (void)log.Commit(first);
  first.OnCommit(CommitOutcome::Unknown);
  EditSession second(
    MakeEdit("second", "a.ini", ServiceText("a", 1), ServiceText("a", 2)));
  Finish(second, log);
  REQUIRE(second.Next() == EditStep::Accepted);
  Finish(first, log);
  CHECK(first.Next() == EditStep::Accepted);
  CHECK(first.Attempted() == ConfigRevision{ 1 });
  CHECK(log.manifest_.edit_ == "second");
}

TEST_CASE(
  "edits of one file conflict, edits of different files are both accepted")
{
  FakeLog log;
  EditSession first(MakeEdit("1", "a.ini", "", ServiceText("a", 1)));
  EditSession same(MakeEdit("2", "a.ini", "", ServiceText("a", 2)));
  EditSession other(MakeEdit("3", "b.ini", "", ServiceText("b", 3)));
  same.OnManifest(log.manifest_, log.modification_);
  other.OnManifest(log.manifest_, log.modification_);
  Finish(first, log);
  Finish(same, log);
  CHECK(same.Next() == EditStep::Conflicted);
  CHECK(same.Conflicts() == std::vector<std::string>{ "a.ini" });
  Finish(other, log);
  REQUIRE(other.Next() == EditStep::Accepted);
  CHECK(FindHash(log.manifest_, "a.ini") == ServiceText("a", 1));
  CHECK(FindHash(log.manifest_, "b.ini") == ServiceText("b", 3));
}

TEST_CASE("a rebased edit is validated together with the other edits")
{
  FakeLog log;
  EditSession base(MakeEdit("1", "a.ini", "", ServiceText("a", 1)));
  Finish(base, log);
  EditSession uses(
    MakeEdit("2", "t.ini", "", "[trainer t]\nservice = a\nmodel = m\n"));
  uses.OnManifest(log.manifest_, log.modification_);
  EditSession renames(
    MakeEdit("3", "a.ini", ServiceText("a", 1), ServiceText("c", 1)));
  Finish(renames, log);
  REQUIRE(renames.Next() == EditStep::Accepted);
  Finish(uses, log);
  REQUIRE(uses.Next() == EditStep::Rejected);
  CHECK(uses.Problems().Items().front().place_ == SourcePlace{ "t.ini", 2 });
}

TEST_CASE("only a higher revision is applied, and a reverted store is detected")
{
  AppliedConfig applied;
  Manifest manifest;
  manifest.revision_ = ConfigRevision{ 5 };
  manifest.edit_ = "e5";
  CHECK(applied.Judge(manifest, ManifestSource::Store) ==
        ManifestVerdict::Newer);
  CHECK(applied.Apply(manifest));
  CHECK_FALSE(applied.Apply(manifest));
  Manifest older = manifest;
  older.revision_ = ConfigRevision{ 4 };
  older.edit_ = "e4";
  CHECK_FALSE(applied.Apply(older));
  CHECK(applied.Judge(older, ManifestSource::Store) ==
        ManifestVerdict::Reverted);
  CHECK(applied.Judge(older, ManifestSource::Peer) == ManifestVerdict::Lagging);
  // A store restored to an older state reaches the same revision with another
  // edit.
  Manifest fork = manifest;
  fork.edit_ = "other";
  CHECK(applied.Judge(fork, ManifestSource::Peer) == ManifestVerdict::Reverted);
  CHECK_FALSE(applied.Apply(fork));
  CHECK(applied.InForce().edit_ == "e5");
}

TEST_CASE("blobs that no retained record references are garbage")
{
  Manifest old;
  old.files_ = { { "a.ini", "h1" } };
  Manifest now;
  now.files_ = { { "a.ini", "h2" }, { "b.ini", "h3" } };
  CHECK(FindGarbage({ old, now }, { "h0", "h1", "h2", "h3" }) ==
        std::vector<std::string>{ "h0" });
}

TEST_CASE(
  "two watchers of a zone notify their zone and the watchers of other zones")
{
  std::vector<FanoutMember> members;
  for (const char* zone : { "birr", "sal" }) {
    for (const char* name : { "1", "2", "3", "4" }) {
      const std::string id = std::string(zone) + name;
      members.push_back({ ZoneId{ zone }, InstanceId{ id }, id });
    }
  }
  const FanoutRole first = ChooseFanout(members, members.at(0));
  CHECK(first.watches_);
  CHECK(first.targets_ ==
        std::vector<std::string>{ "birr2", "birr3", "birr4", "sal1", "sal2" });
  CHECK_FALSE(ChooseFanout(members, members.at(2)).watches_);
  CHECK(ChooseFanout(members, members.at(2)).targets_.empty());
  // Both watchers are gone: the next members replace them.
  members.erase(members.begin(), members.begin() + 2);
  CHECK(ChooseFanout(members, members.at(0)).watches_);
}

TEST_CASE("one key is set and all other lines stay unchanged")
{
  const std::string text = "; day\n[trainer t]\nmodel = m\n\n[service s]\n"
                           "kind = plain\n";
  const auto weight = ParseAssignment("trainer t.weight=2");
  REQUIRE(weight);
  const std::string added = AssignKey(text, weight.value());
  CHECK(added == "; day\n[trainer t]\nmodel = m\nweight = 2\n\n[service s]\n"
                 "kind = plain\n");
  const auto less = ParseAssignment("trainer t.weight = 1 ");
  REQUIRE(less);
  CHECK(AssignKey(added, less.value()).find("weight = 1\n") !=
        std::string::npos);
  const auto gone = ParseAssignment("trainer t.weight=");
  REQUIRE(gone);
  CHECK(AssignKey(added, gone.value()) == text);
  CHECK(AssignKey("", weight.value()) == "[trainer t]\nweight = 2\n");
  CHECK_FALSE(ParseAssignment("weight=2"));
  CHECK_FALSE(ParseAssignment("trainer t.weight=2\n[x]"));
}
