#include "marjoramtally/connection/config_messages.hpp"

#include "connection/wire.hpp"
#include "wire/config.capnp.h"

namespace marjoramtally {

std::string
EncodeConfigRequest(const ConfigRequest& aRequest)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::ConfigRequest>();
  root.setRevision(aRequest.revision_.Get());
  root.setSender(aRequest.sender_);
  root.setFetch(aRequest.fetch_);
  auto known =
    root.initKnown(static_cast<std::uint32_t>(aRequest.known_.size()));
  for (std::uint32_t i = 0; i < known.size(); ++i) {
    known.set(i, aRequest.known_[i].c_str());
  }
  return impl::Flatten(message);
}

Result<ConfigRequest>
DecodeConfigRequest(std::string_view aBytes)
{
  return impl::ReadMessage<wire::ConfigRequest, ConfigRequest>(
    aBytes, [](wire::ConfigRequest::Reader aIn) {
      ConfigRequest request;
      request.revision_ = ConfigRevision{ aIn.getRevision() };
      request.sender_ = aIn.getSender().cStr();
      request.fetch_ = aIn.getFetch();
      for (const auto hash : aIn.getKnown()) {
        request.known_.emplace_back(hash.cStr());
      }
      return request;
    });
}

std::string
EncodeConfigReply(const ConfigReply& aReply)
{
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::ConfigReply>();
  root.setRevision(aReply.revision_.Get());
  root.setManifest(aReply.manifest_);
  auto blobs = root.initBlobs(static_cast<std::uint32_t>(aReply.blobs_.size()));
  for (std::uint32_t i = 0; i < blobs.size(); ++i) {
    blobs[i].setHash(aReply.blobs_[i].hash_);
    blobs[i].setText(aReply.blobs_[i].text_);
  }
  return impl::Flatten(message);
}

Result<ConfigReply>
DecodeConfigReply(std::string_view aBytes)
{
  return impl::ReadMessage<wire::ConfigReply, ConfigReply>(
    aBytes, [](wire::ConfigReply::Reader aIn) {
      ConfigReply reply;
      reply.revision_ = ConfigRevision{ aIn.getRevision() };
      reply.manifest_ = aIn.getManifest().cStr();
      for (const auto blob : aIn.getBlobs()) {
        reply.blobs_.push_back(
          { blob.getHash().cStr(),
            { blob.getText().cStr(), blob.getText().size() } });
      }
      return reply;
    });
}

} // namespace marjoramtally
