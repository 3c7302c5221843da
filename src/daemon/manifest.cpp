#include "daemon/manifest.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace marjoramtally {

std::string
FormatManifest(const Manifest& aManifest)
{
  nlohmann::json files = nlohmann::json::array();
  for (const ManifestFile& file : aManifest.files_) {
    files.push_back({ { "name", file.name_ }, { "hash", file.hash_ } });
  }
  const nlohmann::json body{ { "revision", aManifest.revision_.Get() },
                             { "edit", aManifest.edit_ },
                             { "files", files } };
  return body.dump();
}

Result<Manifest>
ParseManifest(const std::string& aText)
{
  try {
    const auto body = nlohmann::json::parse(aText);
    Manifest manifest;
    manifest.revision_ =
      ConfigRevision{ body.at("revision").get<std::uint64_t>() };
    manifest.edit_ = body.at("edit").get<std::string>();
    for (const auto& file : body.at("files")) {
      manifest.files_.push_back({ file.at("name").get<std::string>(),
                                  file.at("hash").get<std::string>() });
    }
    return manifest;
  } catch (const nlohmann::json::exception& failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("unreadable manifest: ") + failure.what() };
  }
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
