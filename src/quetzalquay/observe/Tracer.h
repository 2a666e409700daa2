#ifndef QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED
#define QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED

#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace quetzalquay {

// Trace and span ID, as carried by W3C Trace Context.
struct TraceContext
{
  // 32 hexadecimal digits.
  std::string mTraceId;
  // 16 hexadecimal digits.
  std::string mSpanId;

  // Formats the value of the traceparent header.
  std::string ToHeader() const;

  // Parses a traceparent header. Returns nothing when it is malformed.
  static std::optional<TraceContext> Parse(const std::string& aHeader);
};

// Span that has not ended yet.
struct OpenSpan
{
  TraceContext mContext;
  std::string mParentId;
  std::string mName;
  // "SERVER" or "CLIENT".
  std::string mKind;
  std::chrono::system_clock::time_point mStartedAt;
  std::map<std::string, std::string> mTags;
};

// Writes ended spans to a file, one Zipkin v2 JSON object per line.
// Thread-safe.
class Tracer
{
public:
  // With an empty path no spans are written; trace contexts are still
  // propagated.
  Tracer(std::string aServiceName, const std::string& aPath);

  // Starts a child span of aParent, or a new trace without one.
  OpenSpan Start(const std::string& aName,
                 const std::string& aKind,
                 const std::optional<TraceContext>& aParent) const;

  // Ends a span and writes it.
  void End(OpenSpan aSpan);

private:
  std::string mServiceName;
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED
