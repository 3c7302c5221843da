#include "marjoramtally/runtime/program.hpp"

#include "marjoramtally/base/json.hpp"
#include "programs/ctl/folder.hpp"
#include "programs/ctl/session.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// The accepted rules with their files.
struct AcceptedRules
{
  Manifest manifest_;
  std::vector<RulesFile> files_;
  Rules rules_;
};

Result<AcceptedRules>
ReadAcceptedRules(Session& aSession)
{
  const auto accepted = aSession.Accepted();
  if (!accepted) {
    return accepted.error();
  }
  AcceptedRules out;
  out.manifest_ = accepted.value().manifest_;
  const auto content = ReadContent(aSession.PlatformStore(), out.manifest_);
  auto files = content ? CollectFiles(content.value())
                       : Result<std::vector<RulesFile>>(content.error());
  if (!files) {
    return files.error();
  }
  out.files_ = std::move(files).value();
  const auto merged = MergeRulesFiles(out.files_);
  auto rules =
    merged ? BuildRules(merged.value()) : Checked<Rules>(merged.error());
  if (!rules) {
    return Error{ ErrorKind::BadInput, rules.error().Render() };
  }
  out.rules_ = std::move(rules).value();
  return out;
}

/// Prints rows that share the same keys, as lines of key=value or as JSON.
void
PrintRows(const CommandInput& aInput, const Json& aRows)
{
  if (aInput.json_) {
    std::cout << aRows.dump() << '\n';
    return;
  }
  for (const Json& row : aRows) {
    std::string line;
    for (const auto& [key, value] : row.items()) {
      line += line.empty() ? "" : "  ";
      line += key + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
    std::cout << line << '\n';
  }
}

/// @returns names of files that differ between two manifests
std::vector<std::string>
ChangedFiles(const Manifest& aBefore, const Manifest& aAfter)
{
  std::vector<std::string> names;
  for (const ManifestFile& file : aAfter.files_) {
    if (FindHash(aBefore, file.name_) != file.hash_) {
      names.push_back(file.name_);
    }
  }
  for (const ManifestFile& file : aBefore.files_) {
    if (FindHash(aAfter, file.name_).empty()) {
      names.push_back("-" + file.name_);
    }
  }
  return names;
}

/// Lists the keys whose merged values differ.
Json
DiffKeys(const IniDocument& aBefore, const IniDocument& aAfter)
{
  Json rows = Json::array();
  const auto add = [&](const IniDocument& aFrom,
                       const IniDocument& aOther,
                       bool aIsAfter) {
    for (const auto& [section, keys] : aFrom) {
      const auto other = aOther.find(section);
      for (const auto& [key, value] : keys) {
        const bool known = other != aOther.end() && other->second.contains(key);
        const std::string text =
          known ? other->second.at(key).text_ : std::string{};
        if ((aIsAfter && (!known || text != value.text_)) ||
            (!aIsAfter && !known)) {
          rows.push_back({ { "key", section + "." + key },
                           { "accepted", aIsAfter ? text : value.text_ },
                           { "here", aIsAfter ? value.text_ : "" },
                           { "place",
                             value.place_.file_ + ":" +
                               std::to_string(value.place_.line_) } });
        }
      }
    }
  };
  add(aAfter, aBefore, true);
  add(aBefore, aAfter, false);
  return rows;
}

/// Describes one instance and the configuration that it reports.
Json
DescribeInstance(Session& aSession, const LiveInstance& aInstance)
{
  Json row{ { "instance", aInstance.id_ },
            { "role", aInstance.role_ },
            { "zone", aInstance.zone_ },
            { "http", aInstance.http_ } };
  const auto text = aSession.Query(aInstance.http_, "/status.json");
  const Json body = text ? ParseJsonOrDiscarded(*text) : Json(nullptr);
  if (!body.is_object()) {
    row["revision"] = "no answer";
    return row;
  }
  row["revision"] = body.value("revision", std::uint64_t{ 0 });
  if (!body.value("problem", "").empty()) {
    row["problem"] = body["problem"];
  }
  if (body.value("storeReverted", false)) {
    row["problem"] = "the store shows less than is in force here";
  }
  return row;
}

} // namespace

int
RunCheck(const CommandInput& aInput)
{
  if (aInput.arguments_.size() != 1) {
    std::cerr << "marjoramctl: usage: marjoramctl check DIR [--explain KEY]\n";
    return kExitBadInput;
  }
  const std::string& folder = aInput.arguments_.front();
  const auto files = LoadChecked(folder);
  if (!files) {
    return kExitBadInput;
  }
  if (aInput.explain_.empty()) {
    std::cout << folder << ": ok\n";
    return kExitOk;
  }
  const auto origins = ExplainKey(*files, aInput.explain_);
  for (std::size_t i = 0; i < origins.size(); ++i) {
    const KeyOrigin& origin = origins[i];
    const bool last = i + 1 == origins.size() ||
                      origins[i + 1].section_ != origin.section_ ||
                      origins[i + 1].key_ != origin.key_;
    std::cout << origin.value_.place_.file_ << ':' << origin.value_.place_.line_
              << ": [" << origin.section_ << "] " << origin.key_ << " = "
              << origin.value_.text_
              << (last ? ": in force\n" : ": overridden\n");
  }
  if (origins.empty()) {
    std::cerr << "marjoramctl: no file sets '" << aInput.explain_ << "'\n";
    return kExitFailed;
  }
  return kExitOk;
}

int
RunDiff(const CommandInput& aInput)
{
  if (aInput.arguments_.size() != 1) {
    std::cerr << "marjoramctl: usage: marjoramctl diff DIR\n";
    return kExitBadInput;
  }
  const auto files = LoadChecked(aInput.arguments_.front());
  if (!files) {
    return kExitBadInput;
  }
  Session session(aInput);
  const auto accepted = ReadAcceptedRules(session);
  if (!accepted) {
    return PrintFailure(accepted.error());
  }
  const auto before = MergeRulesFiles(accepted.value().files_);
  const auto after = MergeRulesFiles(*files);
  if (before && after) {
    PrintRows(aInput, DiffKeys(before.value(), after.value()));
  }
  return kExitOk;
}

int
RunHistory(const CommandInput& aInput)
{
  Session session(aInput);
  const auto log = ReadLog(session.PlatformStore());
  if (!log) {
    return PrintFailure(log.error());
  }
  Json rows = Json::array();
  Manifest before;
  for (const Manifest& record : log.value()) {
    rows.push_back({ { "revision", record.revision_.Get() },
                     { "time", record.unixTime_ },
                     { "author", record.author_ },
                     { "edit", record.edit_ },
                     { "files", ChangedFiles(before, record) } });
    before = record;
  }
  PrintRows(aInput, rows);
  return kExitOk;
}

int
RunStatus(const CommandInput& aInput)
{
  Session session(aInput);
  const auto accepted = session.Accepted();
  const auto live = session.Live();
  if (!accepted || !live) {
    return PrintFailure(accepted ? live.error() : accepted.error());
  }
  Json out{ { "revision", accepted.value().manifest_.revision_.Get() },
            { "instances", Json::array() },
            { "records", Json::object() } };
  for (const StoreRecord& record : live.value()) {
    out["records"][record.key_.substr(kLivePrefix.size())] =
      ParseJsonOrDiscarded(record.value_);
  }
  for (const LiveInstance& instance : ListInstances(live.value())) {
    out["instances"].push_back(DescribeInstance(session, instance));
  }
  if (aInput.json_) {
    std::cout << out.dump() << '\n';
    return kExitOk;
  }
  std::cout << "revision " << out["revision"] << '\n';
  PrintRows(aInput, out["instances"]);
  for (const auto& [key, value] : out["records"].items()) {
    std::cout << key << ' ' << value.dump() << '\n';
  }
  return kExitOk;
}

int
RunUpstreams(const CommandInput& aInput)
{
  Session session(aInput);
  const auto accepted = ReadAcceptedRules(session);
  if (!accepted) {
    return PrintFailure(accepted.error());
  }
  Json rows = Json::array();
  for (const auto& [id, rule] : accepted.value().rules_.upstreams_) {
    rows.push_back({ { "upstream", id.Get() },
                     { "service", rule.service_ },
                     { "zone", rule.zone_ },
                     { "address", rule.address_ },
                     { "leaving", rule.leaving_ } });
  }
  PrintRows(aInput, rows);
  return kExitOk;
}

int
RunTrainers(const CommandInput& aInput)
{
  Session session(aInput);
  const auto accepted = ReadAcceptedRules(session);
  if (!accepted) {
    return PrintFailure(accepted.error());
  }
  Json rows = Json::array();
  for (const auto& [id, rule] : accepted.value().rules_.trainers_) {
    rows.push_back({ { "trainer", id.Get() },
                     { "service", rule.service_ },
                     { "model", rule.model_ },
                     { "staleness", rule.staleness_ },
                     { "weight", rule.weight_ },
                     { "in-flight", rule.inFlight_ } });
  }
  PrintRows(aInput, rows);
  return kExitOk;
}

} // namespace marjoramtally
