#include "observe/Tracer.h"

#include "generated/messages.pb.h"
#include "wire/Crypto.h"
#include "wire/Json.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr int kTraceIdBytes = 16;
constexpr int kSpanIdBytes = 8;
constexpr std::size_t kTraceparentLength = 55;

// Trace Context rejects IDs that are all zeros.
bool
IsNonZeroHex(const std::string& aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string::npos &&
         aText.find_first_not_of('0') != std::string::npos;
}

double
ToMicroseconds(std::chrono::system_clock::duration aDuration)
{
  return std::chrono::duration<double, std::micro>(aDuration).count();
}

} // namespace

std::string
TraceContext::ToHeader() const
{
  return "00-" + mTraceId + "-" + mSpanId + "-01";
}

std::optional<TraceContext>
TraceContext::Parse(const std::string& aHeader)
{
  if (aHeader.size() != kTraceparentLength ||
      aHeader.compare(0, 3, "00-") != 0 || aHeader[35] != '-' ||
      aHeader[52] != '-') {
    return std::nullopt;
  }
  TraceContext context{ aHeader.substr(3, 32), aHeader.substr(36, 16) };
  if (!IsNonZeroHex(context.mTraceId) || !IsNonZeroHex(context.mSpanId)) {
    return std::nullopt;
  }
  return context;
}

Tracer::Tracer(std::string aServiceName, const std::string& aPath)
  : mServiceName(std::move(aServiceName))
{
  if (!aPath.empty()) {
    mFile.open(aPath, std::ios_base::app);
  }
}

OpenSpan
Tracer::Start(const std::string& aName,
              const std::string& aKind,
              const std::optional<TraceContext>& aParent) const
{
  OpenSpan span;
  if (aParent) {
    span.mContext.mTraceId = aParent->mTraceId;
    span.mParentId = aParent->mSpanId;
  } else {
    span.mContext.mTraceId = RandomHex(kTraceIdBytes);
  }
  span.mContext.mSpanId = RandomHex(kSpanIdBytes);
  span.mName = aName;
  span.mKind = aKind;
  span.mStartedAt = std::chrono::system_clock::now();
  return span;
}

void
Tracer::End(OpenSpan aSpan)
{
  if (!mFile.is_open()) {
    return;
  }
  schema::Span message;
  message.set_trace_id(aSpan.mContext.mTraceId);
  message.set_id(aSpan.mContext.mSpanId);
  message.set_parent_id(aSpan.mParentId);
  message.set_name(aSpan.mName);
  message.set_kind(aSpan.mKind);
  message.set_timestamp(ToMicroseconds(aSpan.mStartedAt.time_since_epoch()));
  message.set_duration(
    ToMicroseconds(std::chrono::system_clock::now() - aSpan.mStartedAt));
  auto& tags = *message.mutable_tags();
  tags["service"] = mServiceName;
  for (const auto& it : aSpan.mTags) {
    tags[it.first] = it.second;
  }
  const std::string line = ToCompactJson(message) + "\n";
  const std::lock_guard<std::mutex> lock(mMutex);
  mFile << line << std::flush;
}

} // namespace quetzalquay
