#ifndef QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED
#define QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED

#include "core/Failure.h"
#include "core/Time.h"

#include <string>
#include <variant>
#include <vector>

namespace quetzalquay {

// One event of an engine's stream, independent of the wire format.
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
  // Set only on the final event, which carries no token.
  std::string mFinishReason;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
};

// Why an attempt's stream ended without a finish event.
enum class AttemptEnd
{
  // The connection was refused: the target has not received the attempt.
  Refused,
  // The connection timed out before the attempt was sent.
  Unreachable,
  // The target reported that it has not started the attempt.
  NotStarted,
  // The target has not loaded the requested version.
  VersionNotLoaded,
  // The target rejected the request as invalid.
  InvalidRequest,
  // The connection broke; the target may still be running the attempt.
  Broken,
  // The target does not know the stream to reattach to.
  UnknownStream,
};

// Result of a liveness probe on a second connection.
enum class ProbeResult
{
  // The incarnation that started the attempt responds.
  Alive,
  // The connection was refused, or another incarnation responded.
  Dead,
  // No response before the probe's timeout.
  NoAnswer,
  // The target responds, but is not running the attempt, or is running it
  // without its events arriving.
  RunLost,
};

// Result of a cancellation that was awaited.
enum class CancelResult
{
  // The target is not running the stream, or never knew it.
  Stopped,
  NoAnswer,
};

// Starts a new attempt at a target; with tokens, it is a continuation.
struct DispatchAttempt
{
  // Whether the current attempt stays the current one, with its connection,
  // until an AdoptAttempt action. The start of the response must be reported to
  // OnAttemptAccepted.
  bool mTentative = false;
  int mAttempt = 0;
  std::string mTarget;
  // Software version of the target.
  std::string mSoftwareVersion;
  std::string mVersion;
  std::string mAdapterVersion;
  // Empty when the attempt starts from the beginning.
  std::string mGeneration;
  std::vector<int> mTokens;
};

// Makes the tentative attempt the current one, in place of the one before,
// which has ended.
struct AdoptAttempt
{
  int mAttempt = 0;
};

// Acquires the fence for a continuation of a non-idempotent request, which
// another router may have taken over.
struct FenceAttempt
{
  int mAttempt = 0;
};

// Result of a FenceAttempt action.
enum class FenceResult
{
  Granted,
  // Another router has taken over the request.
  Refused,
  // The fence could not be acquired in time.
  Unavailable,
};

// Reattaches to a stream that a target is running, from a token index.
struct ReattachStream
{
  int mAttempt = 0;
  std::string mTarget;
  std::string mGeneration;
  int mFrom = 0;
};

// Probes on a second connection whether a target is alive.
struct ProbeTarget
{
  int mAttempt = 0;
  std::string mTarget;
  // Deadline after which the result is ProbeResult::NoAnswer.
  Time mProbeDeadline;
};

// Cancels an attempt: closes its connection and notifies its target.
struct CancelAttempt
{
  int mAttempt = 0;
  std::string mTarget;
  // Empty when the attempt has not produced a token.
  std::string mGeneration;
  // Whether the result has to be reported to OnCancelResult.
  bool mWantsResult = false;
};

// Delivers the text of one accepted token to the caller.
struct DeliverText
{
  int mIndex = 0;
  std::string mText;
};

// Discards text that is buffered for the caller and has not been sent.
struct DiscardText
{};

// Completes the response.
struct CompleteResponse
{
  std::string mReason;
  int mPromptTokens = 0;
  int mCachedTokens = 0;
};

// Ends the response with an error.
struct FailResponse
{
  Failure mFailure;
};

using Action = std::variant<DispatchAttempt,
                            AdoptAttempt,
                            FenceAttempt,
                            ReattachStream,
                            ProbeTarget,
                            CancelAttempt,
                            DeliverText,
                            DiscardText,
                            CompleteResponse,
                            FailResponse>;
using Actions = std::vector<Action>;

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_GENERATIONACTIONS_H_INCLUDED
