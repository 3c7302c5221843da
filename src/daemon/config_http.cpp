#include "daemon/config_http.hpp"

#include "daemon/access.hpp"
#include "daemon/config_editor.hpp"
#include "marjoramtally/version/rules_edit.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// One key of one file to set, as a request asks.
struct EditOrder
{
  std::string file_;
  KeyAssignment assignment_;
};

Result<EditOrder>
ReadOrder(const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.value("file", Json()).is_string() ||
      !body.value("set", Json()).is_string()) {
    return Error{ ErrorKind::BadInput,
                  R"(send {"file": "NAME.ini", "set": "SECTION.KEY=VALUE"})" };
  }
  EditOrder order;
  order.file_ = body["file"].get<std::string>();
  auto assignment = ParseAssignment(body["set"].get<std::string>());
  if (!assignment) {
    return assignment.error();
  }
  const bool plain = order.file_.ends_with(".ini") &&
                     order.file_.find_first_of("/\\") == std::string::npos;
  if (!plain) {
    return Error{ ErrorKind::BadInput, "'file' must be a name like 50-x.ini" };
  }
  order.assignment_ = std::move(assignment).value();
  return order;
}

ConfigEdit
MakeOrderedEdit(const ConfigContent& aContent,
                const EditOrder& aOrder,
                const OperatorId& aOperator)
{
  const std::string base = FindHash(aContent.manifest_, aOrder.file_);
  const auto blob = aContent.blobs_.find(base);
  const std::string text =
    blob == aContent.blobs_.end() ? std::string{} : blob->second;
  ConfigEdit edit = MakeEdit(aOperator.Get());
  AddChange(edit, aOrder.file_, base, AssignKey(text, aOrder.assignment_));
  return edit;
}

HttpResponse
MakeAnswer(const Result<EditEnd>& aEnd)
{
  if (!aEnd) {
    const bool unknown = aEnd.error().kind_ == ErrorKind::Timeout;
    return ErrorResponse(unknown ? 504 : 503,
                         unknown ? "unknown" : "unavailable",
                         aEnd.error().message_);
  }
  const EditEnd& end = aEnd.value();
  switch (end.step_) {
    case EditStep::Accepted:
    case EditStep::Unchanged:
      return JsonResponse(200,
                          Json{ { "revision", end.revision_.Get() },
                                { "edit", end.id_ },
                                { "changed", end.step_ == EditStep::Accepted } }
                            .dump());
    case EditStep::Conflicted:
      return ErrorResponse(
        409, "conflict", "others changed this file meanwhile; look again");
    case EditStep::Rejected:
      return ErrorResponse(422, "findings", end.problems_.Render());
    default:
      return ErrorResponse(
        504, "unknown", "not known whether edit " + end.id_ + " was accepted");
  }
}

} // namespace

ConfigHttp::ConfigHttp(ConfigService& aConfig,
                       Cluster& aMembers,
                       Store& aStore,
                       Timers& aTimers)
  : config_(aConfig)
  , members_(aMembers)
  , store_(aStore)
  , timers_(aTimers)
{
}

bool
ConfigHttp::TryServe(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
{
  if (aRequest.path_ == "/config") {
    ServeContent(aRequest, aReply);
    return true;
  }
  if (aRequest.path_ == "/config/edit") {
    ServeEdit(aRequest, aReply);
    return true;
  }
  return false;
}

void
ConfigHttp::ServeContent(const HttpRequest& aRequest,
                         const HttpReplyPtr& aReply)
{
  const auto rules = members_.View()->rules_;
  const auto allowed = CheckOperatorAccess(*rules, aRequest.headers_);
  if (!allowed) {
    aReply->Send(ErrorResponse(401, "refused", allowed.error().message_));
    return;
  }
  HttpResponse response;
  response.headers_.push_back({ "Content-Type", "application/octet-stream" });
  response.body_ = FormatContent(config_.Content());
  aReply->Send(std::move(response));
}

void
ConfigHttp::ServeEdit(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
{
  const auto rules = members_.View()->rules_;
  const auto allowed = CheckOperatorAccess(*rules, aRequest.headers_);
  if (!allowed) {
    aReply->Send(ErrorResponse(401, "refused", allowed.error().message_));
    return;
  }
  const auto order = ReadOrder(aRequest.body_);
  if (aRequest.method_ != "POST" || !order) {
    aReply->Send(ErrorResponse(
      400, "bad_input", order ? "use POST" : order.error().message_));
    return;
  }
  if (config_.Status().storeReverted_) {
    aReply->Send(ErrorResponse(
      409, "conflict", "the store came back older: marjoramctl restore"));
    return;
  }
  SubmitEdit(
    store_,
    timers_,
    MakeOrderedEdit(config_.Content(), order.value(), allowed.value()),
    [aReply](const Result<EditEnd>& aEnd) { aReply->Send(MakeAnswer(aEnd)); });
}

} // namespace marjoramtally
