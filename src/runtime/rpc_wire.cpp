#include "runtime/rpc_wire.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// Largest message that either side reads, in words of eight bytes.
constexpr std::uint64_t kMaxMessageWords = 8U * 1024U * 1024U;

capnp::Data::Reader
AsData(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

std::string
AsString(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

} // namespace

capnp::ReaderOptions
RpcReaderLimits()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageWords;
  return options;
}

std::uint64_t
WallMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void
WriteCall(wire::Peer::CallParams::Builder aParams,
          const RpcCall& aCall,
          const RpcStamp& aStamp)
{
  const auto limit =
    std::chrono::ceil<std::chrono::milliseconds>(aCall.timeout_);
  aParams.setTopic(static_cast<std::uint16_t>(aCall.topic_));
  aParams.setTimeoutMs(static_cast<std::uint32_t>(limit.count()));
  aParams.setTraceparent(aCall.traceparent_);
  aParams.setBody(AsData(aCall.body_));
  aParams.setSentMs(aStamp.unixMillis_);
  aParams.setNonce(aStamp.nonce_);
  aParams.setMac(AsData(aStamp.mac_));
}

RpcCall
ReadCall(wire::Peer::CallParams::Reader aParams)
{
  RpcCall call;
  call.topic_ = static_cast<RpcTopic>(aParams.getTopic());
  call.timeout_ = std::chrono::milliseconds(aParams.getTimeoutMs());
  call.traceparent_ = aParams.getTraceparent().cStr();
  call.body_ = AsString(aParams.getBody());
  return call;
}

RpcStamp
ReadStamp(wire::Peer::CallParams::Reader aParams)
{
  return { aParams.getSentMs(),
           aParams.getNonce(),
           AsString(aParams.getMac()) };
}

void
WriteReply(wire::Peer::CallResults::Builder aResults,
           const RpcReply& aReply,
           const RpcMac& aMac,
           const RpcStamp& aCall)
{
  std::uint16_t error = 0;
  if (aReply) {
    aResults.setBody(AsData(aReply.value()));
  } else {
    error = static_cast<std::uint16_t>(
      static_cast<std::uint16_t>(aReply.error().kind_) + 1);
    aResults.setError(error);
    aResults.setMessage(aReply.error().message_);
  }
  const std::string& covered =
    aReply ? aReply.value() : aReply.error().message_;
  aResults.setMac(AsData(aMac.SignReply(aCall, error, covered)));
}

RpcReply
ReadReply(wire::Peer::CallResults::Reader aResults,
          const RpcMac& aMac,
          const RpcStamp& aCall)
{
  const std::uint16_t error = aResults.getError();
  std::string covered = error == 0 ? AsString(aResults.getBody())
                                   : std::string(aResults.getMessage().cStr());
  const std::string mac = AsString(aResults.getMac());
  if (!aMac.VerifyReply(aCall, error, covered, mac)) {
    LogEvent(LogLevel::Warn, "peer_answer_refused");
    return Error{ ErrorKind::Timeout, "the answer's proof is wrong" };
  }
  if (error == 0) {
    return covered;
  }
  const auto last = static_cast<std::uint16_t>(ErrorKind::Internal);
  const auto kind = std::min<std::uint16_t>(error - 1, last);
  return Error{ static_cast<ErrorKind>(kind), std::move(covered) };
}

} // namespace marjoramtally
