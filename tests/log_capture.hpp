/// Captures log output during a test.
#pragma once

#include "marjoramtally/runtime/log.hpp"

#include <array>
#include <cstdio>
#include <string>
#include <unistd.h>

namespace marjoramtally::test {

/// Captures the lines of all events of level `Info` and above for its
/// lifetime.
class LogCapture
{
public:
  LogCapture()
    : file_(std::tmpfile())
    , kept_(dup(STDERR_FILENO))
  {
    InitLog("test", "test", LogLevel::Info);
    dup2(fileno(file_), STDERR_FILENO);
  }

  ~LogCapture()
  {
    dup2(kept_, STDERR_FILENO);
    close(kept_);
    static_cast<void>(std::fclose(file_));
  }

  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// @returns the lines captured so far
  [[nodiscard]] std::string Lines() const
  {
    std::string lines;
    std::array<char, 4096> part{};
    ssize_t got = 0;
    while ((got = pread(fileno(file_),
                        part.data(),
                        part.size(),
                        static_cast<off_t>(lines.size()))) > 0) {
      lines.append(part.data(), static_cast<std::size_t>(got));
    }
    return lines;
  }

  [[nodiscard]] bool Contains(const std::string& aText) const
  {
    return Lines().find(aText) != std::string::npos;
  }

private:
  std::FILE* file_;
  int kept_;
};

} // namespace marjoramtally::test
