#include "daemon/config_http.hpp"

#include "daemon/access.hpp"
#include "daemon/config_editor.hpp"
#include "marjoramtally/base/json.hpp"
#include "marjoramtally/version/rules_edit.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// The assignment of one key in one file, parsed from a request.
struct EditRequest
{
  std::string file_;
  KeyAssignment assignment_;
};

Result<EditRequest>
ParseEditRequest(const std::string& aBody)
{
  const Json body = ParseJsonOrDiscarded(aBody);
  if (!body.is_object() || !body.value("file", Json()).is_string() ||
      !body.value("set", Json()).is_string()) {
    return Error{ ErrorKind::BadInput,
                  R"(send {"file": "NAME.ini", "set": "SECTION.KEY=VALUE"})" };
  }
  EditRequest editRequest;
  editRequest.file_ = body["file"].get<std::string>();
  auto assignment = ParseAssignment(body["set"].get<std::string>());
  if (!assignment) {
    return assignment.error();
  }
  const bool plain =
    editRequest.file_.ends_with(".ini") &&
    editRequest.file_.find_first_of("/\\") == std::string::npos;
  if (!plain) {
    return Error{ ErrorKind::BadInput, "'file' must be a name like 50-x.ini" };
  }
  editRequest.assignment_ = std::move(assignment).value();
  return editRequest;
}

ConfigEdit
MakeRequestedEdit(const ConfigContent& aContent,
                  const EditRequest& aEditRequest,
                  const OperatorId& aOperator)
{
  const std::string base = FindHash(aContent.manifest_, aEditRequest.file_);
  const auto blob = aContent.blobs_.find(base);
  const std::string text =
    blob == aContent.blobs_.end() ? std::string{} : blob->second;
  ConfigEdit edit = MakeEdit(aOperator.Get());
  AddChange(
    edit, aEditRequest.file_, base, AssignKey(text, aEditRequest.assignment_));
  return edit;
}

HttpResponse
MakeResponse(const Result<EditResult>& aResult)
{
  if (!aResult) {
    const bool unknown = aResult.error().kind_ == ErrorKind::Timeout;
    return ErrorResponse(unknown ? 504 : 503,
                         unknown ? "unknown" : "unavailable",
                         aResult.error().message_);
  }
  const EditResult& result = aResult.value();
  switch (result.step_) {
    case EditStep::Accepted:
    case EditStep::Unchanged:
      return JsonResponse(
        200,
        Json{ { "revision", result.revision_.Get() },
              { "edit", result.id_ },
              { "changed", result.step_ == EditStep::Accepted } }
          .dump());
    case EditStep::Conflicted:
      return ErrorResponse(
        409, "conflict", "others changed this file meanwhile; look again");
    case EditStep::Rejected:
      return ErrorResponse(422, "findings", result.problems_.Render());
    default:
      return ErrorResponse(504,
                           "unknown",
                           "not known whether edit " + result.id_ +
                             " was accepted");
  }
}

} // namespace

ConfigHttp::ConfigHttp(ConfigService& aConfig,
                       Cluster& aCluster,
                       Store& aStore,
                       Timers& aTimers)
  : config_(aConfig)
  , cluster_(aCluster)
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
  const auto rules = cluster_.View()->rules_;
  const auto allowed = CheckOperatorAccess(*rules, aRequest.headers_);
  if (!allowed) {
    aReply->Send(ErrorResponse(401, "refused", allowed.error().message_));
    return;
  }
  aReply->Send({ 200,
                 { { "Content-Type", "application/octet-stream" } },
                 FormatContent(config_.Content()) });
}

void
ConfigHttp::ServeEdit(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
{
  const auto rules = cluster_.View()->rules_;
  const auto allowed = CheckOperatorAccess(*rules, aRequest.headers_);
  if (!allowed) {
    aReply->Send(ErrorResponse(401, "refused", allowed.error().message_));
    return;
  }
  const auto editRequest = ParseEditRequest(aRequest.body_);
  if (aRequest.method_ != "POST" || !editRequest) {
    aReply->Send(
      ErrorResponse(400,
                    "bad_input",
                    editRequest ? "use POST" : editRequest.error().message_));
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
    MakeRequestedEdit(config_.Content(), editRequest.value(), allowed.value()),
    [aReply](const Result<EditResult>& aResult) {
      aReply->Send(MakeResponse(aResult));
    });
}

} // namespace marjoramtally
