#include "standins/store_standin.hpp"

namespace marjoramtally::standin {

void
StoreStandin::Handle(const HttpRequest& aRequest, const HttpReplyPtr& aReply)
{
  if (aRequest.path_ == "/faults") {
    aReply->Send(HandleFaults(aRequest.body_));
  } else if (aRequest.path_ == "/metrics") {
    aReply->Send({ 200, {}, metrics_.Render() });
  } else {
    const Json body = Json::parse(aRequest.body_, nullptr, false);
    if (!body.is_object()) {
      aReply->Send(ErrorResponse(400, "bad_input", "no JSON object"));
      return;
    }
    CountCall(aRequest.path_, body);
    ServeWithFaults(aRequest.path_, body, aReply);
  }
}

/// Counts a call by its operation and by the group of keys that it refers to.
void
StoreStandin::CountCall(const std::string& aPath, const Json& aBody)
{
  const bool config =
    Database::KeyOf(aBody).find("/config/") != std::string::npos;
  metrics_.Count("store_calls_total{call=\"" + aPath + "\",part=\"" +
                 (config ? "config" : "live") + "\"}");
}

/// Applies fault settings. `{"save":true}` saves the state of the database and
/// `{"restore":true}` returns to it.
HttpResponse
StoreStandin::HandleFaults(const std::string& aText)
{
  const Json body = Json::parse(aText, nullptr, false);
  const bool hasSingleKey = body.is_object() && body.size() == 1;
  if (hasSingleKey && body.contains("save")) {
    database_.Save();
  } else if (hasSingleKey && body.contains("restore")) {
    database_.Restore();
  } else if (const Findings findings = faults_.Set(aText); !findings.empty()) {
    return ErrorResponse(400, "bad_input", findings.Render());
  }
  return JsonResponse(200, R"({"taken":true})");
}

void
StoreStandin::ServeWithFaults(const std::string& aPath,
                              const Json& aBody,
                              const HttpReplyPtr& aReply)
{
  const FaultDecision decision = faults_.Decide(Database::Writes(aPath));
  if (decision.down_ == DownMode::Refuse) {
    aReply->Send(ErrorResponse(503, "unavailable", "the store is down"));
  } else if (decision.down_ == DownMode::Unresponsive) {
    HoldReply(aReply);
  } else if (decision.requestDelay_ > Duration::zero()) {
    timers_.After(decision.requestDelay_,
                  [this, aPath, aBody, aReply, decision] {
                    Serve(aPath, aBody, aReply, decision);
                  });
  } else {
    Serve(aPath, aBody, aReply, decision);
  }
}

/// Keeps a reply without sending it, so that its connection stays open.
void
StoreStandin::HoldReply(const HttpReplyPtr& aReply)
{
  constexpr std::size_t kMaxHeldReplies = 10'000;
  const std::lock_guard lock(mutex_);
  held_.push_back(aReply);
  if (held_.size() > kMaxHeldReplies) {
    held_.pop_front();
  }
}

void
StoreStandin::Serve(const std::string& aPath,
                    const Json& aBody,
                    const HttpReplyPtr& aReply,
                    const FaultDecision& aDecision)
{
  if (aPath == "/v3/watch") {
    database_.OpenWatch(aBody.value("create_request", Json::object()), aReply);
  } else {
    Answer(aReply, database_.Serve(aPath, aBody), aDecision);
  }
}

void
StoreStandin::Answer(const HttpReplyPtr& aReply,
                     HttpResponse aResponse,
                     const FaultDecision& aDecision)
{
  if (aDecision.loseAnswer_) {
    HoldReply(aReply);
  } else if (aDecision.answerDelay_ > Duration::zero()) {
    timers_.After(aDecision.answerDelay_,
                  [aReply, response = std::move(aResponse)]() mutable {
                    aReply->Send(std::move(response));
                  });
  } else {
    aReply->Send(std::move(aResponse));
  }
}

} // namespace marjoramtally::standin
