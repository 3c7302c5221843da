/// Calls that are repeated once a probe proves that their request was lost.
#pragma once

#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"

#include <map>

namespace marjoramtally {

/// Sends idempotent calls whose answers may be large and late. Silence alone
/// does not tell a lost request from an answer that waits for its turn at a
/// busy link. A call of which no head was received for a while is therefore
/// followed by a probe, a small call over a new connection. Once the probe is
/// answered, the call is sent again beside the first one, which stays open: the
/// first that is answered counts. An answer that is being received is never
/// begun anew. Used on the loop of the timers.
class ProbedCalls
{
public:
  /// @param aClient and aTimers must outlive this object
  /// @param aMakeProbe returns a call to the same peer with a small answer
  ProbedCalls(HttpClient& aClient,
              LoopTimers& aTimers,
              std::function<HttpCall()> aMakeProbe);
  ~ProbedCalls();
  ProbedCalls(const ProbedCalls&) = delete;
  ProbedCalls& operator=(const ProbedCalls&) = delete;

  /// @param aDone gets the first answer with status 200, or the last failure;
  /// not called after this object has been destroyed
  void Send(HttpCall aCall, HttpDone aDone);

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  void SendAttempt(const CallPtr& aCall);
  void OnHead(const CallPtr& aCall, std::uint32_t aAttempt);
  void OnEnd(const CallPtr& aCall, std::uint32_t aAttempt, HttpResult aResult);
  /// Sends a probe after a delay, unless the call is answered by then.
  void ProbeAfter(const CallPtr& aCall, Duration aDelay);
  void Probe(const CallPtr& aCall);
  /// Ends all attempts but one.
  void CancelOthers(Call& aCall, std::uint32_t aAttempt);

  HttpClient& client_;
  LoopTimers& timers_;
  std::function<HttpCall()> makeProbe_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
