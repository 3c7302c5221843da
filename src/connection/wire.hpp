/// Helpers for encoding and decoding Cap'n Proto messages as strings.
#pragma once

#include "marjoramtally/base/result.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>
#include <optional>
#include <string>

namespace marjoramtally::impl {

/// Read limit of one message, in words of eight bytes.
inline constexpr std::uint64_t kMaxMessageWords = 8U * 1024U * 1024U;

inline std::string
Flatten(capnp::MessageBuilder& aBuilder)
{
  const auto words = capnp::messageToFlatArray(aBuilder);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/// Decodes a message and converts it with `aConvert`.
/// @returns the converted value, or `BadInput` if Cap'n Proto rejects the bytes
template<typename Root, typename T, typename Function>
Result<T>
ReadMessage(std::string_view aBytes, Function aConvert)
{
  const std::size_t count = aBytes.size() / sizeof(capnp::word);
  if (aBytes.size() % sizeof(capnp::word) != 0 || count == 0) {
    return Error{ ErrorKind::BadInput, "message of a wrong length" };
  }
  auto words = kj::heapArray<capnp::word>(count);
  std::memcpy(words.begin(), aBytes.data(), aBytes.size());
  std::optional<Result<T>> result;
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::FlatArrayMessageReader reader(words, options);
    result.emplace(aConvert(reader.getRoot<Root>()));
  });
  KJ_IF_MAYBE (exception, failure) {
    return Error{ ErrorKind::BadInput,
                  std::string("unreadable message: ") +
                    exception->getDescription().cStr() };
  }
  return *std::move(result);
}

} // namespace marjoramtally::impl
