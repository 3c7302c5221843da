/// Entries of other writers that are odd: what the daemons read beside them
/// holds and is followed further.

#include "daemon/upstream_reader.hpp"
#include "gateway_fixture.hpp"
#include "log_capture.hpp"
#include "marjoramtally/process/usage_ledger.hpp"
#include "marjoramtally/runtime/log_limit.hpp"
#include "marjoramtally/version/job_record.hpp"
#include "order_fixture.hpp"
#include "programs/gatewayd/job_directory.hpp"

#include <array>
#include <catch2/catch.hpp>

using namespace marjoramtally;
using namespace marjoramtally::test;
using namespace std::chrono_literals;

namespace {

/// @returns a registration in which one field has another value
/// @param aValue JSON text; empty: without the field
std::string
Registration(const std::string& aField = {}, const std::string& aValue = {})
{
  std::map<std::string, std::string> fields{
    { "service", R"("s")" },   { "address", R"("10.0.0.1:1")" },
    { "zone", R"("z1")" },     { "slots", "4" },
    { "state", R"("ready")" }, { "models", R"([{"name":"m","version":1}])" },
  };
  if (!aField.empty()) {
    fields[aField] = aValue;
  }
  std::string text;
  for (const auto& [name, value] : fields) {
    if (!value.empty()) {
      text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
    }
  }
  return text + "}";
}

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string
NestedObjects(std::size_t aDepth)
{
  std::string text;
  for (std::size_t i = 0; i < aDepth; ++i) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aDepth, '}');
}

std::string
Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

constexpr std::size_t kDeep = 200'000;
constexpr std::size_t kMegabytes = 4U << 20U;

/// Registrations that name no upstream that could be used.
std::vector<std::string>
OddRegistrations()
{
  std::vector<std::string> odd{
    "",
    " ",
    "null",
    "NaN",
    "1e400",
    "\xff\xfe",
    std::string(1, '\0'),
    Nested(kDeep),
    NestedObjects(kDeep),
    std::string(kMegabytes, 'x'),
    Quoted(std::string(kMegabytes, 'x')),
    Registration("a\xff", "1"),
    Registration("state", Quoted(std::string(kMegabytes, 'x'))),
    Registration("other", "1e400"),
    Registration("other", Nested(kDeep)),
    Registration("models", R"([{"name":"m","version":1e400}])"),
    Registration("models", R"([{"name":"m","version":-1}])"),
    Registration("models", R"([{"name":"m","version":1.5}])"),
    Registration("models",
                 R"([{"name":"m","version":99999999999999999999999}])"),
    Registration("models", R"([{"name":1,"version":1}])"),
    Registration("models", "[1]"),
    Registration("models", R"([{"name":"m","version":)" + Nested(kDeep) + "}]"),
  };
  for (const char* port : { "0",
                            "-0",
                            "-1",
                            "+1",
                            "65536",
                            "70000",
                            "99999999999999999999",
                            "1e3",
                            "0x50",
                            "",
                            "80 ",
                            "80/",
                            "http" }) {
    odd.push_back(
      Registration("address", Quoted(std::string("10.0.0.1:") + port)));
  }
  for (const char* address : { "10.0.0.1",
                               ":80",
                               "",
                               " :80",
                               "a b:80",
                               "a\\u0000b:80",
                               "a\\r\\nb:80",
                               "a\\u007fb:80",
                               "a/b:80",
                               "a?b:80",
                               "a#b:80",
                               "a@b:80",
                               "\xff:80" }) {
    odd.push_back(Registration("address", Quoted(address)));
  }
  odd.push_back(
    Registration("address", Quoted(std::string(kMegabytes, 'a') + ":80")));
  for (const char* number : { "0",
                              "-0",
                              "-1",
                              "1.5",
                              "1e400",
                              "-1e400",
                              "1e308",
                              "4294967295",
                              "9223372036854775808",
                              "18446744073709551615",
                              "99999999999999999999999999",
                              "NaN",
                              "\"8\"",
                              "true",
                              "null",
                              "[]",
                              "{}" }) {
    odd.push_back(Registration("slots", number));
  }
  for (const char* number : { "-1",
                              "1.5",
                              "1e400",
                              "1e308",
                              "9007199254740993",
                              "18446744073709551615",
                              "99999999999999999999999999",
                              "\"8\"",
                              "true",
                              "null",
                              "[]" }) {
    odd.push_back(Registration("born", number));
  }
  for (const char* field : { "service", "zone", "state", "address" }) {
    for (const char* value :
         { "", "\"\"", "1", "1e400", "true", "null", "[]", "{}", "NaN" }) {
      odd.push_back(Registration(field, value));
    }
    odd.push_back(Registration(field, Nested(kDeep)));
  }
  for (const char* value : { "1", "\"yes\"", "null", "[]" }) {
    odd.push_back(Registration("spot", value));
  }
  return odd;
}

StoreRecord
Record(const std::string& aKey, std::string aValue, std::uint64_t aRevision)
{
  StoreRecord record;
  record.key_ = aKey;
  record.value_ = std::move(aValue);
  record.modRevision_ = aRevision;
  return record;
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("an odd registration names no upstream and is logged once")
{
  const auto platform = MakePlatform();
  const std::string prefix = platform->Places().upstreams_;
  for (const std::string& odd : OddRegistrations()) {
    INFO(odd.substr(0, 200));
    LogCapture log;
    UpstreamReader reader(*platform);
    const StoreRange range{ 3,
                            { Record(prefix + "a", Registration(), 1),
                              Record(prefix + "odd", odd, 2),
                              Record(prefix + "z", Registration(), 3) } };
    const auto entries = reader.ReadAll(range);
    CHECK(entries.size() == 2);
    CHECK(reader.ReadAll(range).size() == 2);
    const std::string lines = log.Lines();
    CHECK(CountOf(lines, "event=upstream_unreadable key=" + prefix + "odd") ==
          1);
    // Longer lines are dropped whole.
    CHECK(lines.size() < LogBuffer::kMaxBytes);
    // A later value of the same key.
    CHECK(reader.Read(Record(prefix + "odd", Registration(), 4)));
  }
}

// Calls carry the id in a header; with such an id they could not be sent.
TEST_CASE("a registration whose key names no id names no upstream")
{
  using namespace std::string_literals;
  const auto platform = MakePlatform();
  const std::string prefix = platform->Places().upstreams_;
  CHECK(platform->ReadUpstream(prefix + "i-1", Registration()));
  for (const std::string& id :
       { ""s, "a\0b"s, "a\r\nb"s, "a b"s, "a\x7f"s, "\x1b[2J"s }) {
    INFO(id);
    CHECK_FALSE(platform->ReadUpstream(prefix + id, Registration()));
  }
}

namespace {

/// JSON texts that are no whole number that can be used.
constexpr std::array kOddNumbers{
  "-1",
  "-9223372036854775808",
  "1.5",
  "0.5",
  "1e308",
  "-1e308",
  "1e400",
  "18446744073709551615",
  "9223372036854775808",
  "9007199254740993",
  "99999999999999999999999999",
  "NaN",
  "\"NaN\"",
  "\"1\"",
  "true",
  "null",
  "[]",
  "{}",
};

/// @returns a text in which the only `#` is replaced
std::string
Filled(std::string aText, const std::string& aValue)
{
  return aText.replace(aText.find('#'), 1, aValue);
}

} // namespace

TEST_CASE("a configuration with an odd number is unreadable, not another one")
{
  const auto platform = MakePlatform();
  for (const char* text : {
         R"({"version":#,"routes":[]})",
         R"({"version":1,"routes":[{"host":"h","prefix":"/","priority":#}]})",
         R"({"version":1,"routes":[{"host":"h","prefix":"/",)"
         R"("max_attempts":#}]})",
         R"({"version":1,"routes":[{"host":"h","prefix":"/",)"
         R"("traffic_split":[{"service":"s","weight":#}]}]})",
         R"({"version":1,"routes":[],"services":[{"name":"s","max_conns":#}]})",
         R"({"version":1,"routes":[],)"
         R"("services":[{"name":"s","scale":{"max":#}}]})",
         R"({"version":1,"routes":[],)"
         R"("services":[{"name":"s","scale":{"min":#,"max":9}}]})",
         R"({"version":1,"routes":[],"limits":{"max_body_bytes":#}})",
       }) {
    for (const char* number : kOddNumbers) {
      INFO(Filled(text, number));
      CHECK_FALSE(platform->ReadConfig(Filled(text, number)));
    }
    CHECK(platform->ReadConfig(Filled(text, "7")));
    CHECK(platform->ReadConfig(Filled(text, "7.0")));
  }
}

TEST_CASE("odd numbers in a version, a submission or a report are errors")
{
  const auto platform = MakePlatform();
  const Platform& formats = *platform;
  for (const char* number : kOddNumbers) {
    INFO(number);
    CHECK_FALSE(
      formats.ReadVersion(Filled(R"({"model":"m","version":#})", number)));
    for (const char* field : { "step", "min_version", "target_groups" }) {
      CHECK_FALSE(formats.ReadSubmission(
        R"({"items":[],")" + std::string(field) + "\":" + number + "}"));
    }
    CHECK_FALSE(formats.ReadSubmission(
      Filled(R"({"items":[{"id":"i","path":"/","tokens":#}]})", number)));
    for (const char* report :
         { R"({"seq":#})", R"({"models":[{"name":"m","version":#}]})" }) {
      CHECK_FALSE(formats.ReadReport(Filled(report, number)));
    }
  }
}

TEST_CASE("odd numbers in records of jobs, usage or processes are errors")
{
  for (const char* number : kOddNumbers) {
    INFO(number);
    CHECK_FALSE(ReadOwnerRecord(
      Filled(R"({"owner":"a~1","total":#,"accepted":0})", number)));
    CHECK_FALSE(ReadOwnerRecord(
      Filled(R"({"owner":"a~1","total":1,"accepted":#})", number)));
    CHECK_FALSE(ReadSubmissionRecord(
      Filled(R"({"host":"h","path":"/","config":#})", number)));
    CHECK_FALSE(ReadResultsRecord(Filled(
      R"([{"id":"i","completed":true,"text":"","versions":[#],"score":""}])",
      number)));
    CHECK_FALSE(ReadPartialRecords(
      Filled(R"([{"id":"i","text":"","last":#,"versions":[],"whole":true}])",
             number)));
    CHECK_FALSE(ReadLivenessRecord(
      Filled(R"({"zone":"z","address":"a:1","capacity":#})", number)));
    CHECK_FALSE(
      ReadSettledWindow(Filled(R"({"sent":true,"counts":{"c":#}})", number)));
  }
  CHECK_FALSE(
    ReadOwnerRecord(R"({"owner":"a~1","total":99999999,"accepted":0})"));
  CHECK(ReadOwnerRecord(R"({"owner":"a~1","total":9,"accepted":7.0})"));
}

TEST_CASE("records of jobs that are no such records are errors")
{
  std::vector<std::string> texts{ "",       "null",        "7",
                                  "\"\"",   "{}",          "[1]",
                                  "\xff",   Nested(kDeep), NestedObjects(kDeep),
                                  "[null]", "[[]]" };
  for (const std::string& text : texts) {
    INFO(text.substr(0, 100));
    CHECK_FALSE(ReadOwnerRecord(text));
    CHECK_FALSE(ReadSubmissionRecord(text));
    CHECK_FALSE(ReadLivenessRecord(text));
    CHECK_FALSE(ReadSettledWindow(text));
    if (text != "null" && text != "{}") {
      CHECK_FALSE(ReadResultsRecord(text));
      CHECK_FALSE(ReadPartialRecords(text));
    }
  }
}

// Removing a job lists the keys of all its results.
TEST_CASE("an odd owner record of a job is neither claimed nor removed")
{
  const std::string odd =
    GENERATE(R"("total":18446744073709551615,"accepted":0)",
             R"("total":-1,"accepted":0)",
             R"("total":1,"accepted":-9223372036854775808)",
             R"("total":1,"accepted":9223372036854775807)",
             R"("total":1,"accepted":-1e300)");
  INFO(odd);
  GatewayFakes fakes;
  const JobId job{ "0123456789abcdef" };
  fakes.store_.Put(job_keys::Owner(job), R"({"owner":"gone~1",)" + odd + "}");
  fakes.store_.Put(job_keys::End(job), "");
  fakes.store_.Put(job_keys::Liveness("self~1"),
                   R"({"zone":"z1","address":"a:1"})");
  const LogCapture log;
  JobStore store(fakes.context_);
  JobDirectory directory(fakes.context_, store);
  directory.Start(0ms);
  fakes.timers_.Advance(3min);
  CHECK(directory.Find(job) == nullptr);
  CHECK(log.Contains("event=record_unreadable key=" + job_keys::Owner(job)));
  CHECK(fakes.store_.records_.contains(job_keys::Owner(job)));
}
