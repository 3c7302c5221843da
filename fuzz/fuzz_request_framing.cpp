/// Feeds arbitrary bytes to the reader of requests, at once and in pieces: it
/// must find the same requests, and no more than the bytes hold.

#include "runtime/request_framing.hpp"

#include <algorithm>
#include <cstdlib>

using namespace marjoramtally;

namespace {

/// What was read of a connection.
struct Reading
{
  std::string text_;
  std::size_t read_ = 0;
  bool invalid_ = false;
};

void
Note(Reading& aReading, const HttpRequest& aRequest)
{
  aReading.text_ +=
    aRequest.method_ + " " + aRequest.path_ + "?" + aRequest.query_ + "\n";
  for (const HttpHeader& header : aRequest.headers_) {
    if (IsNamed(header, "Content-Length") ||
        IsNamed(header, "Transfer-Encoding")) {
      std::abort();
    }
    aReading.text_ += header.name_ + ":" + header.value_ + "\n";
  }
}

/// Reads the bytes in pieces of a size.
Reading
ReadInPieces(std::string_view aBytes, std::size_t aPiece)
{
  Reading reading;
  RequestFraming framing;
  framing.onBody_ = [&reading](std::string_view aPart) {
    reading.text_ += aPart;
  };
  while (!aBytes.empty() && !reading.invalid_) {
    std::string_view piece = aBytes.substr(0, aPiece);
    aBytes.remove_prefix(piece.size());
    while (!piece.empty() && !reading.invalid_) {
      const RequestFraming::Step step = framing.Read(piece);
      if (step.read_ > piece.size()) {
        std::abort();
      }
      reading.read_ += step.read_;
      piece.remove_prefix(step.read_);
      switch (step.event_) {
        case RequestFraming::Event::NeedsMore:
          if (!piece.empty()) {
            std::abort();
          }
          break;
        case RequestFraming::Event::Head:
          Note(reading, framing.TakeRequest());
          break;
        case RequestFraming::Event::End:
          reading.text_ += framing.KeepsAlive() ? "[end]" : "[last]";
          break;
        case RequestFraming::Event::Invalid:
          reading.invalid_ = true;
          break;
      }
    }
  }
  return reading;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::size_t piece = 1 + aData[0] % 7;
  const std::string_view bytes(reinterpret_cast<const char*>(aData) + 1,
                               aSize - 1);
  const Reading whole = ReadInPieces(bytes, std::max<std::size_t>(1, aSize));
  const Reading pieces = ReadInPieces(bytes, piece);
  if (whole.text_ != pieces.text_ || whole.invalid_ != pieces.invalid_ ||
      whole.read_ > bytes.size()) {
    std::abort();
  }
  return 0;
}
