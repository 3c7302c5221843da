/// HTTP interface for trainers; forwards operations to the trainer's owner.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/connection.hpp"

namespace marjoramtally {

/// Serves `/v1/trainers/…`. Thread-safe.
class TrainerApi
{
public:
  explicit TrainerApi(Host& aHost) noexcept
    : host_(aHost)
  {
  }

  void Serve(const HttpRequest& aRequest,
             const TraceContext& aTrace,
             const HttpReplyPtr& aReply);

private:
  /// One operation that is forwarded.
  struct Forward
  {
    TrainerRequest request_;
    Duration timeout_{ 0 };
    Span span_;
    HttpReplyPtr reply_;
    /// Addresses to which it was sent.
    std::vector<std::string> tried_;
  };
  using ForwardPtr = std::shared_ptr<Forward>;

  void SendToPeer(const ForwardPtr& aForward, const std::string& aPeer);
  void TryNextPeer(const ForwardPtr& aForward, const std::string& aFailure);
  void OnPeerReply(const ForwardPtr& aForward, const RpcReply& aReply);
  /// @returns the owner's address if it is known and not tried yet, otherwise a
  /// control instance that is not tried yet, of this zone first
  [[nodiscard]] std::optional<std::string> ChoosePeer(
    const Forward& aForward) const;

  Host& host_;
};

} // namespace marjoramtally
