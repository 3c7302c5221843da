#include "marjoramtally/version/job_record.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

std::string
Dump(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Upper bound of the items of a job. A submission is limited to 32 MiB and an
/// item takes 20 bytes or more.
constexpr std::uint64_t kMaxItems = 2'000'000;
/// The last millisecond of the year 9999, in milliseconds since 1970.
constexpr std::uint64_t kMaxUnixMillis = 253'402'300'799'999;

/// Calls `aReader` and converts exceptions to errors that name the record.
template<typename Reader>
auto
Read(const char* aWhat, Reader aReader) -> Result<decltype(aReader())>
{
  try {
    return aReader();
  } catch (const std::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("a record of ") + aWhat +
                    " is unreadable: " + failure.what() };
  }
}

Json
WriteVersions(const std::vector<WeightVersion>& aVersions)
{
  Json versions = Json::array();
  for (const WeightVersion& version : aVersions) {
    versions.push_back(version.Get());
  }
  return versions;
}

std::vector<WeightVersion>
ReadVersions(const Json& aValue)
{
  std::vector<WeightVersion> versions;
  for (const Json& version : aValue) {
    versions.emplace_back(
      WholeNumber<std::uint64_t>(version, "version", kMaxExactNumber));
  }
  return versions;
}

Json
WriteResult(const JobResult& aResult)
{
  return { { "id", aResult.id_.Get() },
           { "completed", aResult.completed_ },
           { "text", aResult.text_ },
           { "versions", WriteVersions(aResult.versions_) },
           { "score", aResult.score_ } };
}

JobResult
ReadResult(const Json& aValue)
{
  JobResult result;
  result.id_ = ItemId{ aValue.at("id").get<std::string>() };
  result.completed_ = aValue.at("completed").get<bool>();
  result.text_ = aValue.at("text").get<std::string>();
  result.versions_ = ReadVersions(aValue.at("versions"));
  result.score_ = aValue.at("score").get<std::string>();
  return result;
}

} // namespace

std::string
WritePartialRecords(const std::vector<PartialRecord>& aTexts)
{
  Json list = Json::array();
  for (const PartialRecord& entry : aTexts) {
    list.push_back({ { "id", entry.item_.Get() },
                     { "text", entry.text_.text_ },
                     { "last", entry.text_.lastEvent_ },
                     { "versions", WriteVersions(entry.text_.versions_) },
                     { "whole", entry.text_.complete_ } });
  }
  return Dump(list);
}

Result<std::vector<PartialRecord>>
ReadPartialRecords(std::string_view aText)
{
  return Read("partial texts", [&] {
    std::vector<PartialRecord> texts;
    for (const Json& value : ParseJson(aText)) {
      PartialText text;
      text.text_ = value.at("text").get<std::string>();
      text.lastEvent_ = WholeField(value, "last");
      text.versions_ = ReadVersions(value.at("versions"));
      text.complete_ = value.at("whole").get<bool>();
      texts.push_back(
        { ItemId{ value.at("id").get<std::string>() }, std::move(text) });
    }
    return texts;
  });
}

std::string
WriteOwnerRecord(const JobOwnerRecord& aRecord)
{
  Json value{ { "owner", aRecord.owner_ },
              { "total", aRecord.total_ },
              { "accepted", aRecord.acceptedMillis_ } };
  if (!aRecord.customer_.Get().empty()) {
    value["customer"] = aRecord.customer_.Get();
  }
  return Dump(value);
}

Result<JobOwnerRecord>
ReadOwnerRecord(std::string_view aText)
{
  return Read("an owner", [&] {
    const Json value = ParseJson(aText);
    return JobOwnerRecord{ value.at("owner").get<std::string>(),
                           WholeField(value, "total", kMaxItems),
                           WholeField<std::int64_t>(
                             value, "accepted", kMaxUnixMillis),
                           CustomerId{ value.value("customer", "") } };
  });
}

std::string
WriteSubmissionRecord(const JobSubmissionRecord& aRecord)
{
  // The body follows the first line exactly as received.
  Json head{ { "host", aRecord.host_ },
             { "path", aRecord.path_ },
             { "config", aRecord.acceptedUnder_.Get() } };
  if (!aRecord.customer_.Get().empty()) {
    head["customer"] = aRecord.customer_.Get();
  }
  return Dump(head) + '\n' + aRecord.body_;
}

Result<JobSubmissionRecord>
ReadSubmissionRecord(std::string_view aText)
{
  return Read("a submission", [&] {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const Json head = ParseJson(aText.substr(0, end));
    const std::size_t body = std::min(end + 1, aText.size());
    return JobSubmissionRecord{ head.at("host").get<std::string>(),
                                head.at("path").get<std::string>(),
                                std::string(aText.substr(body)),
                                ConfigRevision{ WholeFieldOr(
                                  head, "config", std::uint64_t{ 0 }) },
                                CustomerId{ head.value("customer", "") } };
  });
}

std::string
WriteResultsRecord(const std::vector<JobResult>& aResults)
{
  Json list = Json::array();
  for (const JobResult& result : aResults) {
    list.push_back(WriteResult(result));
  }
  return Dump(list);
}

Result<std::vector<JobResult>>
ReadResultsRecord(std::string_view aText)
{
  return Read("results", [&] {
    std::vector<JobResult> results;
    for (const Json& value : ParseJson(aText)) {
      results.push_back(ReadResult(value));
    }
    return results;
  });
}

} // namespace marjoramtally
