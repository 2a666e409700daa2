#ifndef QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED
#define QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED

#include "core/Failure.h"
#include "core/Time.h"

#include <string>
#include <variant>
#include <vector>

namespace quetzalquay {

// One event of an engine's stream, in the terms of the decision logic.
struct StreamEvent
{
  std::string mRequestId;
  int mAttempt = 0;
  std::string mGeneration;
  int mIndex = 0;
  int mToken = 0;
  std::string mText;
  std::string mModel;
  std::string mVersion;
  std::string mAdapterVersion;
  // Set on the last event only, which carries no token.
  std::string mFinishReason;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
};

// How an attempt's stream ended without a finish event.
enum class AttemptEnd
{
  // The connection was refused: the target has not seen the attempt.
  Refused,
  // No connection could be made in time: the attempt has not been sent.
  Unreachable,
  // The target said that it has not started the attempt.
  NotStarted,
  // The target does not hold the ordered version.
  VersionNotLoaded,
  // The target refused the request itself.
  InvalidRequest,
  // The connection broke; the target may or may not be running the attempt.
  Broken,
  // The target does not know the stream that should be re-attached.
  UnknownStream,
};

// What a probe on a second connection found.
enum class ProbeResult
{
  // Same incarnation as at the attempt's start, and answering.
  Alive,
  // Refused the connection or answered with another incarnation.
  Dead,
  // Did not answer within the probe's time.
  NoAnswer,
  // Answers, but does not run the attempt, or runs it while its events do not
  // arrive.
  RunLost,
};

// What a cancel that waits for its result found.
enum class CancelResult
{
  // The target no longer runs the stream, or never knew it.
  Stopped,
  NoAnswer,
};

// Start a new attempt on a target; with tokens, as a continuation.
struct DispatchAttempt
{
  int mAttempt = 0;
  std::string mTarget;
  std::string mVersion;
  std::string mAdapterVersion;
  // Empty for a first start.
  std::string mGeneration;
  std::vector<int> mTokens;
};

// Ask for the right to start a continuation of a non-idempotent request, which
// another router may have taken over.
struct FenceAttempt
{
  int mAttempt = 0;
};

// Answer to FenceAttempt.
enum class FenceResult
{
  Granted,
  // Another router goes on with the request.
  Refused,
  // The right could not be asked for in time.
  Unavailable,
};

// Read a running stream of a target again from an index.
struct ReattachStream
{
  int mAttempt = 0;
  std::string mTarget;
  std::string mGeneration;
  int mFrom = 0;
};

// Ask a target on another connection whether it still works.
struct ProbeTarget
{
  int mAttempt = 0;
  std::string mTarget;
  // When to give up and report ProbeResult::NoAnswer.
  Time mAnswerBy;
};

// Stop an attempt: close its connection and tell its target.
struct CancelAttempt
{
  int mAttempt = 0;
  std::string mTarget;
  // Empty when the attempt had not sent a token.
  std::string mGeneration;
  // Whether OnCancelResult has to be called.
  bool mWantsResult = false;
};

// Pass the text of one accepted token to the caller.
struct DeliverText
{
  int mIndex = 0;
  std::string mText;
};

// Forget text that was buffered for the caller and not yet read by it.
struct DiscardText
{};

// The answer is complete.
struct FinishAnswer
{
  std::string mReason;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
};

// The answer ends with a typed error.
struct FailAnswer
{
  Failure mFailure;
};

using Action = std::variant<DispatchAttempt,
                            FenceAttempt,
                            ReattachStream,
                            ProbeTarget,
                            CancelAttempt,
                            DeliverText,
                            DiscardText,
                            FinishAnswer,
                            FailAnswer>;
using Actions = std::vector<Action>;

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED
