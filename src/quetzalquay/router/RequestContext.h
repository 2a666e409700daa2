#ifndef QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED
#define QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED

#include "core/RecoveryPolicy.h"
#include "core/Time.h"
#include "observe/Tracer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

// Which of the widely used request forms a caller speaks.
enum class CallerForm
{
  Completions,
  Chat,
};

// A caller's request after all checks, with what it needs of the configuration.
struct RequestContext
{
  std::string mRequestId;
  std::string mWorkspace;
  // Caller's Idempotency-Key, else empty.
  std::string mCallerKey;
  CallerForm mForm = CallerForm::Completions;
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
  std::uint64_t mContentHash = 0;
  std::optional<TraceContext> mTraceParent;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_REQUESTCONTEXT_H_INCLUDED
