#include "marjoramtally/runtime/program.hpp"
#include "marjoramtally/version/rules_edit.hpp"
#include "programs/ctl/folder.hpp"
#include "programs/ctl/session.hpp"

#include <algorithm>
#include <iostream>

namespace marjoramtally {

namespace {

bool
HasArguments(const CommandInput& aInput, std::size_t aCount, const char* aUsage)
{
  if (aInput.arguments_.size() == aCount) {
    return true;
  }
  std::cerr << "marjoramctl: usage: marjoramctl " << aUsage << '\n';
  return false;
}

/// Adds the per-file changes that turn the files of a manifest into those of a
/// folder.
void
AddDifferences(ConfigEdit& aEdit,
               const Manifest& aBase,
               const std::vector<RulesFile>& aFiles)
{
  for (const RulesFile& file : aFiles) {
    const std::string base = FindHash(aBase, file.name_);
    if (base != ContentHash(file.text_)) {
      AddChange(aEdit, file.name_, base, file.text_);
    }
  }
  const Manifest now = ManifestOf(aFiles);
  for (const ManifestFile& file : aBase.files_) {
    if (FindHash(now, file.name_).empty()) {
      aEdit.changes_.push_back({ file.name_, file.hash_, {}, {} });
    }
  }
}

/// Builds the edit that restores the files of an older revision.
Result<ConfigEdit>
MakeRevert(Session& aSession,
           const CommandInput& aInput,
           const Manifest& aNow,
           const Manifest& aThen)
{
  const auto content = ReadContent(aSession.PlatformStore(), aThen);
  auto files = content ? CollectFiles(content.value())
                       : Result<std::vector<RulesFile>>(content.error());
  if (!files) {
    return files.error();
  }
  ConfigEdit edit = MakeEdit(aInput.author_);
  AddDifferences(edit, aNow, files.value());
  return edit;
}

/// Assigns one key in one accepted file.
int
SubmitAssignment(Session& aSession,
                 const CommandInput& aInput,
                 const Manifest& aNow,
                 const std::string& aFile,
                 const KeyAssignment& aAssignment)
{
  Manifest only;
  const std::string base = FindHash(aNow, aFile);
  if (!base.empty()) {
    only.files_.push_back({ aFile, base });
  }
  const auto content = ReadContent(aSession.PlatformStore(), only);
  auto files = content ? CollectFiles(content.value())
                       : Result<std::vector<RulesFile>>(content.error());
  if (!files) {
    return PrintFailure(files.error());
  }
  const std::string text =
    files.value().empty() ? std::string{} : files.value().front().text_;
  ConfigEdit edit = MakeEdit(aInput.author_);
  AddChange(edit, aFile, base, AssignKey(text, aAssignment));
  return aSession.Submit(std::move(edit));
}

} // namespace

int
RunPush(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 1, "push DIR [--wait]")) {
    return kExitBadInput;
  }
  const std::string& folder = aInput.arguments_.front();
  const auto files = LoadChecked(folder);
  if (!files) {
    return kExitBadInput;
  }
  Session session(aInput);
  ConfigEdit edit = MakeEdit(aInput.author_);
  AddDifferences(edit, ReadBase(folder).value_or(Manifest{}), *files);
  const int code = session.Submit(std::move(edit));
  if (code == kExitOk) {
    const auto written = WriteBase(folder, ManifestOf(*files));
    if (!written) {
      std::cerr << "marjoramctl: accepted, but: " << written.error().message_
                << '\n';
    }
  }
  return code;
}

int
RunPull(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 1, "pull DIR")) {
    return kExitBadInput;
  }
  const std::string& folder = aInput.arguments_.front();
  const auto local = ReadFolder(folder);
  if (!local) {
    std::cerr << local.error().Render();
    return kExitBadInput;
  }
  Session session(aInput);
  const auto accepted = session.Accepted();
  if (!accepted) {
    return PrintFailure(accepted.error());
  }
  const Manifest& now = accepted.value().manifest_;
  const auto content = ReadContent(session.PlatformStore(), now);
  auto files = content ? CollectFiles(content.value())
                       : Result<std::vector<RulesFile>>(content.error());
  if (!files) {
    return PrintFailure(files.error());
  }
  const Manifest base = ReadBase(folder).value_or(Manifest{});
  const Manifest here = ManifestOf(local.value());
  int kept = 0;
  for (const RulesFile& file : files.value()) {
    const std::string mine = FindHash(here, file.name_);
    const std::string theirs = ContentHash(file.text_);
    if (mine == theirs) {
      continue;
    }
    if (!mine.empty() && mine != FindHash(base, file.name_)) {
      std::cerr << "marjoramctl: kept " << file.name_
                << ": changed both here and there; move it away, pull again\n";
      ++kept;
      continue;
    }
    const auto written = WriteFile(folder + "/" + file.name_, file.text_);
    if (!written) {
      return PrintFailure(written.error());
    }
    std::cout << "wrote " << file.name_ << '\n';
  }
  if (kept != 0) {
    return kExitFailed;
  }
  const auto written = WriteBase(folder, now);
  return written ? kExitOk : PrintFailure(written.error());
}

int
RunEdit(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 2, "edit FILE 'SECTION.KEY=VALUE'")) {
    return kExitBadInput;
  }
  const std::string& file = aInput.arguments_.front();
  const auto assignment = ParseAssignment(aInput.arguments_.back());
  if (!assignment || !file.ends_with(".ini")) {
    std::cerr << "marjoramctl: "
              << (assignment ? "the file's name must end in .ini"
                             : assignment.error().message_)
              << '\n';
    return kExitBadInput;
  }
  Session session(aInput);
  const auto accepted = session.Accepted();
  return accepted ? SubmitAssignment(session,
                                     aInput,
                                     accepted.value().manifest_,
                                     file,
                                     assignment.value())
                  : PrintFailure(accepted.error());
}

int
RunDrain(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 1, "drain UPSTREAM [--undo]")) {
    return kExitBadInput;
  }
  const std::string section = "upstream " + aInput.arguments_.front();
  Session session(aInput);
  const auto accepted = session.Accepted();
  if (!accepted) {
    return PrintFailure(accepted.error());
  }
  const Manifest& now = accepted.value().manifest_;
  const auto content = ReadContent(session.PlatformStore(), now);
  const auto files = content ? CollectFiles(content.value())
                             : Result<std::vector<RulesFile>>(content.error());
  if (!files) {
    return PrintFailure(files.error());
  }
  // Edits the last file that sets the key, else the last one that sets the
  // address.
  auto origins = ExplainKey(files.value(), section + ".leaving");
  if (origins.empty()) {
    origins = ExplainKey(files.value(), section + ".address");
  }
  if (origins.empty()) {
    std::cerr << "marjoramctl: there is no [" << section << "]\n";
    return kExitBadInput;
  }
  return SubmitAssignment(session,
                          aInput,
                          now,
                          origins.back().value_.place_.file_,
                          { section, "leaving", aInput.undo_ ? "no" : "yes" });
}

int
RunRevertTo(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 1, "revert-to REVISION")) {
    return kExitBadInput;
  }
  const auto revision = ParseNumber(aInput.arguments_.front(), 1, UINT64_MAX);
  Session session(aInput);
  const auto accepted = session.Accepted();
  const auto log = ReadLog(session.PlatformStore());
  if (!accepted || !log) {
    return PrintFailure(accepted ? log.error() : accepted.error());
  }
  for (const Manifest& record : log.value()) {
    if (revision && record.revision_.Get() == *revision) {
      auto edit =
        MakeRevert(session, aInput, accepted.value().manifest_, record);
      return edit ? session.Submit(std::move(edit).value())
                  : PrintFailure(edit.error());
    }
  }
  std::cerr << "marjoramctl: revision " << aInput.arguments_.front()
            << " is not in the log; the last " << kKeptRevisions
            << " are kept\n";
  return kExitBadInput;
}

int
RunRestore(const CommandInput& aInput)
{
  if (!HasArguments(aInput, 1, "restore ADDRESS")) {
    return kExitBadInput;
  }
  Session session(aInput);
  const auto text = session.Query(aInput.arguments_.front(), "/config");
  const auto content =
    text ? ParseContent(*text)
         : Result<ConfigContent>(Error{
             ErrorKind::Unavailable, "this instance does not give its rules" });
  const auto files = content ? CollectFiles(content.value())
                             : Result<std::vector<RulesFile>>(content.error());
  const auto accepted = session.Accepted();
  if (!files || !accepted) {
    return PrintFailure(files ? accepted.error() : files.error());
  }
  ConfigEdit edit = MakeEdit(aInput.author_);
  edit.aboveRevision_ = content.value().manifest_.revision_;
  AddDifferences(edit, accepted.value().manifest_, files.value());
  return session.Submit(std::move(edit));
}

} // namespace marjoramtally
