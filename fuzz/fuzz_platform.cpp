/// Readers of the users' platform accept arbitrary bodies from its store, its
/// upstreams and its trainers, and so do readers of job messages and records.

#include "marjoramtally/connection/job_messages.hpp"
#include "marjoramtally/version/job_record.hpp"
#include "platform.hpp"

#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace marjoramtally;
  static const auto platform = MakePlatform();
  const std::string bytes(reinterpret_cast<const char*>(aData), aSize);
  auto config = platform->ReadConfig(bytes);
  if (config) {
    RouteTable table;
    table.Apply(std::move(config).value());
    static_cast<void>(table.Match("h", bytes));
  }
  static_cast<void>(platform->ReadUpstream(bytes, bytes));
  static_cast<void>(platform->ReadVersion(bytes));
  static_cast<void>(platform->ReadReport(bytes));
  auto spec = platform->ReadSubmission(bytes);
  if (spec) {
    JobLedger ledger(std::move(spec).value(), {}, {});
    static_cast<void>(ledger.Waiting({}));
  }
  HttpRequest request;
  request.method_ = "GET";
  const std::size_t half = aSize / 2;
  request.path_ = bytes.substr(0, half);
  request.query_ = bytes.substr(half);
  static_cast<void>(platform->ReadQuery(request));
  static_cast<void>(DecodeJobResultsRequest(bytes));
  static_cast<void>(DecodeJobResultsReply(bytes));
  static_cast<void>(DecodeJobBodyRequest(bytes));
  static_cast<void>(DecodeJobBodyReply(bytes));
  static_cast<void>(DecodeJobHandover(bytes));
  static_cast<void>(DecodeJobHandoverReply(bytes));
  static_cast<void>(ReadSubmissionRecord(bytes));
  const auto results = ReadResultsRecord(bytes);
  if (results) {
    const auto again = ReadResultsRecord(WriteResultsRecord(results.value()));
    if (!again || again.value().size() != results.value().size()) {
      std::abort();
    }
  }
  static_cast<void>(ReadPartialRecords(bytes));
  static_cast<void>(ReadOwnerRecord(bytes));
  return 0;
}
