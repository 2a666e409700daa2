#ifndef QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED
#define QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED

#include "core/RecoveryPolicy.h"
#include "core/Time.h"
#include "observe/Tracer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

// Request and response format of a model request: completions or chat
// completions.
enum class RequestFormat
{
  Completions,
  Chat,
};

// A caller's validated request, with the configuration that applies to it.
struct RequestContext
{
  std::string mRequestId;
  std::string mWorkspace;
  // Value of the Idempotency-Key header, empty when the caller gave none.
  std::string mCallerKey;
  RequestFormat mFormat = RequestFormat::Completions;
  bool mStream = false;
  bool mIdempotent = true;
  Time mDeadline;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mAdapterVersion;
  std::string mPrompt;
  int mMaxTokens = 0;
  double mTemperature = 1.0;
  unsigned mSeed = 0;
  int mPriority = 0;
  int mWeight = 1;
  std::string mService;
  RecoveryPreset mPreset = RecoveryPreset::LowLatency;
  // Identifies the workspace and content of the request, to recognize retries
  // of it.
  std::uint64_t mContentHash = 0;
  std::optional<TraceContext> mTraceParent;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED
