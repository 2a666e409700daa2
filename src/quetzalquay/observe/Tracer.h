#ifndef QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED
#define QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED

#include <chrono>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace quetzalquay {

// Position in a trace, as W3C trace context carries it.
struct TraceContext
{
  // 32 hexadecimal digits.
  std::string mTraceId;
  // 16 hexadecimal digits.
  std::string mSpanId;

  // Value of the traceparent header.
  std::string ToHeader() const;

  // Context of a traceparent header, or nothing when it is malformed.
  static std::optional<TraceContext> Parse(const std::string& aHeader);
};

// One hop of a request that has not ended yet.
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

// Writes ended spans to a file, one Zipkin v2 JSON object a line. Safe for
// concurrent use.
class Tracer
{
public:
  // An empty path writes nothing; contexts still travel on.
  Tracer(std::string aServiceName, const std::string& aPath);

  // Starts a span below a parent, or a new trace without one.
  OpenSpan Start(const std::string& aName,
                 const std::string& aKind,
                 const std::optional<TraceContext>& aParent) const;

  // Ends and writes a span.
  void End(OpenSpan aSpan);

private:
  std::string mServiceName;
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_TRACER_H_INCLUDED
