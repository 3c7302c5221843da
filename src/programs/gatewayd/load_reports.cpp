#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

void
RecordLoad(const GatewayContext& aHost,
           UpstreamTable& aTable,
           const UpstreamId& aUpstream,
           const HttpHeaders& aHeaders)
{
  const auto text = FindHeader(aHeaders, aHost.Formats().Names().load_);
  if (!text) {
    return;
  }
  const auto report = aHost.Formats().ReadLoad(*text);
  const std::string_view fault =
    report ? aTable.OnLoad(aUpstream, *report, aHost.Now()) : "not a load";
  if (!fault.empty()) {
    aHost.Measures().Count("load_reports_ignored_total");
    LogEvent(LogLevel::Debug,
             "load_report_ignored",
             { { "upstream", aUpstream.Get() },
               { "report", std::string(*text) },
               { "why", std::string(fault) } });
  }
}

} // namespace marjoramtally
