#include "daemon/status_page.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kHead =
  "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">"
  "<title>marjoramtally</title><style>"
  "body{font:16px/1.4 sans-serif;margin:0 auto;padding:12px;max-width:640px;"
  "overflow-wrap:anywhere}"
  "h1{font-size:20px;margin:0 0 8px}h2{font-size:16px;margin:16px 0 "
  "4px}p{margin:4px}"
  "table{border-collapse:collapse;width:100%;table-layout:fixed}"
  "td{border-top:1px solid #ccc;padding:6px 4px;vertical-align:top}"
  ".bad{background:#b00020;color:#fff;padding:8px;margin:8px 0}"
  ".good{background:#14662b;color:#fff;padding:8px;margin:8px 0}"
  "</style></head><body>";

std::string
Escape(std::string_view aText)
{
  std::string out;
  for (const char c : aText) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string
Row(std::string_view aName, std::string_view aValue)
{
  return "<tr><td>" + Escape(aName) + "</td><td>" + Escape(aValue) +
         "</td></tr>";
}

/// Renders a table with a heading, or "none" if there are no rows.
std::string
Section(std::string_view aTitle, const std::string& aRows)
{
  return "<h2>" + Escape(aTitle) + "</h2>" +
         (aRows.empty() ? "<p>none</p>" : "<table>" + aRows + "</table>");
}

std::string
Instances(const ClusterView& aView)
{
  std::string rows;
  for (const auto& [id, record] : aView.instances_) {
    rows += Row(id.Get(), record.role_ + ", " + record.zone_.Get());
  }
  return Section("Instances", rows);
}

std::string
Owners(const ClusterView& aView)
{
  std::string rows;
  for (const auto& [duty, owner] : aView.owners_) {
    rows += Row(duty, owner.owner_.Get());
  }
  return Section("Owners", rows);
}

std::string
Upstreams(const ClusterView& aView)
{
  std::string rows;
  for (const auto& [id, rule] : aView.rules_->upstreams_) {
    rows += Row(id.Get(),
                rule.service_ + ", " + rule.zone_ +
                  (rule.leaving_ ? ", leaving" : ""));
  }
  return Section("Upstreams", rows);
}

std::string
Banner(bool aGood, std::string_view aText)
{
  return std::string("<p class=\"") + (aGood ? "good" : "bad") + "\">" +
         Escape(aText) + "</p>";
}

std::string
Banners(const InstanceStatus& aStatus)
{
  std::string out =
    Banner(aStatus.ready_,
           aStatus.ready_ ? "ready" : "not ready: " + aStatus.notReady_);
  if (aStatus.config_.storeReverted_) {
    out += Banner(false,
                  "the store shows an older or other configuration than is in "
                  "force here; it is not applied: marjoramctl restore " +
                    aStatus.self_.http_);
  }
  if (!aStatus.config_.problem_.empty()) {
    out += Banner(false, aStatus.config_.problem_);
  }
  return out;
}

} // namespace

std::string
RenderStatusJson(const InstanceStatus& aStatus)
{
  const Manifest& manifest = aStatus.config_.inForce_;
  const Json body{ { "instance", aStatus.self_.id_.Get() },
                   { "role", aStatus.self_.role_ },
                   { "zone", aStatus.self_.zone_.Get() },
                   { "revision", manifest.revision_.Get() },
                   { "edit", manifest.edit_ },
                   { "ready", aStatus.ready_ },
                   { "notReady", aStatus.notReady_ },
                   { "problem", aStatus.config_.problem_ },
                   { "storeReverted", aStatus.config_.storeReverted_ },
                   { "instances", aStatus.view_->instances_.size() } };
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
RenderStatusPage(const InstanceStatus& aStatus)
{
  const Manifest& manifest = aStatus.config_.inForce_;
  std::string page(kHead);
  page += "<h1>" + Escape(aStatus.self_.id_.Get()) + "</h1>";
  page += Banners(aStatus);
  page += "<table>";
  page += Row("role", aStatus.self_.role_);
  page += Row("zone", aStatus.self_.zone_.Get());
  page += Row("revision", std::to_string(manifest.revision_.Get()));
  page += Row("by", manifest.author_);
  page += Row("edit", manifest.edit_);
  page += "</table>";
  page += Instances(*aStatus.view_);
  page += Owners(*aStatus.view_);
  page += Upstreams(*aStatus.view_);
  page += "</body></html>";
  return page;
}

} // namespace marjoramtally
