#include "programs/entryd/report_poller.hpp"

#include "marjoramtally/base/json.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

constexpr auto kPollPeriod = std::chrono::milliseconds(50);
constexpr auto kReportTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

Result<UpstreamReport>
ParseReport(const std::string& aBody)
{
  try {
    const auto body = ParseJson(aBody);
    UpstreamReport report;
    report.running_ = body.at("running").get<std::uint64_t>();
    report.queued_ = body.at("queued").get<std::uint64_t>();
    for (const auto& [model, version] : body.at("models").items()) {
      report.models_[model] = WeightVersion{ version.get<std::uint64_t>() };
    }
    report.leaving_ = body.value("leaving", false);
    report.incarnation_ = body.value("incarnation", std::uint64_t{ 0 });
    return report;
  } catch (const nlohmann::json::exception& failure) {
    return Error{ ErrorKind::BadInput, failure.what() };
  }
}

} // namespace

Result<UpstreamReport>
ReadReport(const HttpResult& aResult)
{
  if (aResult.end_ != HttpEnd::Complete) {
    return Error{ ErrorKind::Timeout, aResult.message_ };
  }
  if (aResult.response_.status_ != kOk) {
    return Error{ ErrorKind::Unavailable,
                  "status " + std::to_string(aResult.response_.status_) };
  }
  return ParseReport(aResult.response_.body_);
}

ReportPoller::ReportPoller(Host& aHost, Router& aRouter)
  : host_(aHost)
  , router_(aRouter)
  , plan_(ZoneId{ aHost.Settings().zone_ }, aHost.Settings().instance_)
{
}

void
ReportPoller::Start()
{
  host_.TimerQueue().Every(kPollPeriod, [this] { PollDue(); });
}

void
ReportPoller::SetUpstreams(const std::vector<UpstreamView>& aUpstreams)
{
  const std::lock_guard lock(mutex_);
  plan_.SetUpstreams(aUpstreams, host_.Now());
}

void
ReportPoller::PollDue()
{
  std::vector<UpstreamView> upstreams;
  {
    const std::lock_guard lock(mutex_);
    upstreams = plan_.Due(host_.Now());
  }
  router_.Refresh(host_.Now());
  for (const UpstreamView& upstream : upstreams) {
    Poll(upstream);
  }
}

void
ReportPoller::Poll(const UpstreamView& aUpstream)
{
  HttpCall call;
  call.url_ = "http://" + aUpstream.address_ + "/load";
  call.timeout_ = kReportTimeout;
  host_.Http().Send(std::move(call),
                    [this, id = aUpstream.id_](const HttpResult& aResult) {
                      OnReport(id, aResult);
                    });
}

void
ReportPoller::OnReport(const UpstreamId& aId, const HttpResult& aResult)
{
  auto report = ReadReport(aResult);
  if (!report && report.error().kind_ != ErrorKind::BadInput) {
    return;
  }
  if (!report) {
    LogEvent(
      LogLevel::Warn,
      "report_unreadable",
      { { "upstream", aId.Get() }, { "error", report.error().message_ } });
    return;
  }
  report.value().at_ = host_.Now();
  router_.OnReport(aId, report.value(), host_.Now());
}

} // namespace marjoramtally
