#include "daemon/manifest.hpp"

#include "marjoramtally/base/json.hpp"
#include "marjoramtally/connection/config_messages.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

/// Revisions are zero-padded to this width, so that keys sort numerically.
constexpr std::size_t kRevisionDigits = 12;

Json
ToJson(const Manifest& aManifest)
{
  Json files = Json::array();
  for (const ManifestFile& file : aManifest.files_) {
    files.push_back({ { "name", file.name_ }, { "hash", file.hash_ } });
  }
  return { { "revision", aManifest.revision_.Get() },
           { "edit", aManifest.edit_ },
           { "author", aManifest.author_ },
           { "time", aManifest.unixTime_ },
           { "files", files } };
}

Manifest
FromJson(const Json& aBody)
{
  Manifest manifest;
  manifest.revision_ =
    ConfigRevision{ aBody.at("revision").get<std::uint64_t>() };
  manifest.edit_ = aBody.at("edit").get<std::string>();
  manifest.author_ = aBody.value("author", "");
  manifest.unixTime_ = aBody.value("time", std::uint64_t{ 0 });
  for (const auto& file : aBody.at("files")) {
    manifest.files_.push_back({ file.at("name").get<std::string>(),
                                file.at("hash").get<std::string>() });
  }
  return manifest;
}

} // namespace

std::string
LogKey(ConfigRevision aRevision)
{
  const std::string digits = std::to_string(aRevision.Get());
  const std::size_t fill =
    kRevisionDigits - std::min(kRevisionDigits, digits.size());
  return std::string(kLogPrefix) + std::string(fill, '0') + digits;
}

std::string
BlobKey(std::string_view aHash)
{
  return std::string(kBlobPrefix).append(aHash);
}

std::string
FormatManifest(const Manifest& aManifest)
{
  return ToJson(aManifest).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Manifest>
ParseManifest(const std::string& aText)
{
  try {
    return FromJson(ParseJson(aText));
  } catch (const Json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("unreadable manifest: ") + failure.what() };
  }
}

std::string
FormatContent(const ConfigContent& aContent)
{
  ConfigReply message;
  message.revision_ = aContent.manifest_.revision_;
  message.manifest_ = FormatManifest(aContent.manifest_);
  for (const auto& [hash, text] : aContent.blobs_) {
    message.blobs_.push_back({ hash, text });
  }
  return EncodeConfigReply(message);
}

Result<ConfigContent>
ParseContent(const std::string& aText)
{
  const auto message = DecodeConfigReply(aText);
  if (!message) {
    return message.error();
  }
  auto manifest = ParseManifest(message.value().manifest_);
  if (!manifest) {
    return manifest.error();
  }
  ConfigContent content;
  content.manifest_ = std::move(manifest).value();
  for (const ConfigBlob& blob : message.value().blobs_) {
    if (ContentHash(blob.text_) != blob.hash_) {
      return Error{ ErrorKind::BadInput,
                    "a blob does not match its hash " + blob.hash_ };
    }
    content.blobs_[blob.hash_] = blob.text_;
  }
  return content;
}

Result<std::vector<RulesFile>>
CollectFiles(const ConfigContent& aContent)
{
  std::vector<RulesFile> files;
  for (const ManifestFile& file : aContent.manifest_.files_) {
    const auto blob = aContent.blobs_.find(file.hash_);
    if (blob == aContent.blobs_.end()) {
      return Error{ ErrorKind::NotFound,
                    "the content of " + file.name_ + " is missing" };
    }
    files.push_back({ file.name_, blob->second });
  }
  return files;
}

std::string
ContentHash(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (unsigned int i = 0; i < size; ++i) {
    out += kDigits[digest.at(i) >> 4U];
    out += kDigits[digest.at(i) & 15U];
  }
  return out;
}

} // namespace marjoramtally
