#include "marjoramtally/runtime/trace.hpp"

#include "marjoramtally/base/random.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace marjoramtally {

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;

std::string
RandomHex(std::size_t aDigits)
{
  constexpr std::size_t kDigitBits = 4;
  constexpr std::size_t kDigitsPerDraw = 16;
  static constexpr std::string_view kDigits = "0123456789abcdef";
  static thread_local Random random{ std::random_device{}() *
                                     std::uint64_t{ std::random_device{}() } };
  std::string out(aDigits, '0');
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < aDigits; ++i) {
    bits = i % kDigitsPerDraw == 0 ? random.Next() : bits >> kDigitBits;
    out[i] = kDigits[bits % kDigits.size()];
  }
  return out;
}

bool
IsHex(std::string_view aText) noexcept
{
  return std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
}

std::uint64_t
WallNanos()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

} // namespace

std::optional<TraceContext>
TraceContext::Parse(std::string_view aText) noexcept
{
  constexpr std::size_t kTraceparentLength = 55;
  if (aText.size() != kTraceparentLength || !aText.starts_with("00-") ||
      aText[35] != '-' || aText[52] != '-') {
    return std::nullopt;
  }
  const std::string_view trace = aText.substr(3, kTraceIdDigits);
  const std::string_view span = aText.substr(36, kSpanIdDigits);
  if (!IsHex(trace) || !IsHex(span)) {
    return std::nullopt;
  }
  return TraceContext{ std::string(trace), std::string(span) };
}

TraceContext
TraceContext::Fresh()
{
  return TraceContext{ RandomHex(kTraceIdDigits), RandomHex(kSpanIdDigits) };
}

std::string
TraceContext::Format() const
{
  return "00-" + traceId_ + "-" + spanId_ + "-01";
}

Span
StartSpan(const TraceContext& aParent, std::string aName)
{
  Span span;
  span.context_ = TraceContext{ aParent.traceId_, RandomHex(kSpanIdDigits) };
  span.parentSpanId_ = aParent.spanId_;
  span.name_ = std::move(aName);
  span.startNanos_ = WallNanos();
  return span;
}

struct TraceWriter::State
{
  std::mutex mutex_;
  std::ofstream file_;
  std::string process_;
};

TraceWriter::TraceWriter(const std::string& aPath, std::string aProcess)
  : state_(std::make_unique<State>())
{
  state_->process_ = std::move(aProcess);
  if (!aPath.empty()) {
    state_->file_.open(aPath, std::ios::app);
  }
}

TraceWriter::~TraceWriter() = default;

bool
TraceWriter::Enabled() const noexcept
{
  return state_->file_.is_open();
}

void
TraceWriter::End(Span aSpan)
{
  if (!Enabled()) {
    return;
  }
  aSpan.endNanos_ = WallNanos();
  nlohmann::json attributes = nlohmann::json::array();
  aSpan.attributes_["process"] = state_->process_;
  for (const auto& [key, value] : aSpan.attributes_) {
    attributes.push_back(
      { { "key", key }, { "value", { { "stringValue", value } } } });
  }
  const nlohmann::json line{
    { "traceId", aSpan.context_.traceId_ },
    { "spanId", aSpan.context_.spanId_ },
    { "parentSpanId", aSpan.parentSpanId_ },
    { "name", aSpan.name_ },
    { "startTimeUnixNano", std::to_string(aSpan.startNanos_) },
    { "endTimeUnixNano", std::to_string(aSpan.endNanos_) },
    { "attributes", attributes },
  };
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const std::lock_guard lock(state_->mutex_);
  state_->file_ << text << '\n' << std::flush;
}

} // namespace marjoramtally
