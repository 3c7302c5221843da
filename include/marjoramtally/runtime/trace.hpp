/// Tracing: a span for each hop in the OTLP JSON format, one per line.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramtally {

/// Position in a trace, as in a W3C trace context.
struct TraceContext
{
  /// 32 hexadecimal digits.
  std::string traceId_;
  /// 16 hexadecimal digits; the parent of the next span.
  std::string spanId_;

  /// Parses a `traceparent` value.
  /// @returns nullopt if it is malformed
  [[nodiscard]] static std::optional<TraceContext> Parse(
    std::string_view aText) noexcept;
  /// Creates a context with a new trace id.
  [[nodiscard]] static TraceContext Fresh();
  /// @returns the `traceparent` value
  [[nodiscard]] std::string Format() const;
};

/// One hop with its start and end, in nanoseconds of wall time.
struct Span
{
  TraceContext context_;
  std::string parentSpanId_;
  std::string name_;
  std::uint64_t startNanos_ = 0;
  std::uint64_t endNanos_ = 0;
  std::map<std::string, std::string> attributes_;
};

/// Starts a span as a child of a context.
[[nodiscard]] Span
StartSpan(const TraceContext& aParent, std::string aName);

/// Writes ended spans to a file; does nothing without one.
class TraceWriter
{
public:
  /// @param aPath file to append to; empty disables writing
  TraceWriter(const std::string& aPath, std::string aProcess);
  ~TraceWriter();
  TraceWriter(const TraceWriter&) = delete;
  TraceWriter& operator=(const TraceWriter&) = delete;
  /// Sets the span's end time and writes it.
  void End(Span aSpan);
  [[nodiscard]] bool Enabled() const noexcept;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace marjoramtally
