#ifndef QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED

#include "core/Time.h"
#include "http/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay::platform {

// What a caller's request says of itself.
struct CallerRequest
{
  // Id of this try of the caller; a repeat has another one.
  std::string mRequestId;
  std::string mHost;
  // Time for which the caller waits, from the request's arrival.
  std::optional<Duration> mPatience;
  // API key, empty when there is none.
  std::string mKey;
  // Tokens to read, and to make at most; zero when not told.
  int mPromptTokens = 0;
  int mOutputTokens = 0;
  // Last event that the caller holds of a stream it wants resumed.
  std::string mLastEventId;
};

// Reads the fields of a caller's request.
CallerRequest
DecodeCaller(const HttpHead& aHead);

// How a copy of a run's memory is named at its holder: a copy that the run sent
// itself by the holder's address and the request's id, an ordered one by the
// address of the target that made it and the handle it gave.
struct CopyName
{
  std::string mAddress;
  std::string mId;
};

// What the gateway adds to a request for one target.
struct AttemptFields
{
  // Target that must run it; any other one turns it away.
  std::string mTarget;
  // Workspace of the caller's key; empty on public routes.
  std::string mWorkspace;
  // Time left until nobody waits for the answer.
  Duration mTimeLeft = Duration::zero();
  // Event after which a stream goes on; empty for its beginning.
  std::string mLastEventId;
  // Address of the target that keeps a copy of the run; empty for none.
  std::string mCopyTo;
  // Copy to go on from, at the target that this is sent to; nothing when the
  // prompt has to be read.
  std::optional<CopyName> mCopy;
  // Rank among a target's requests, 0 first.
  std::optional<int> mUrgency;
};

// Request head for a target: the caller's fields, without those that concern
// one connection or that only the gateway may set, and the attempt's own.
std::string
EncodeAttempt(const HttpHead& aCaller,
              const AttemptFields& aFields,
              std::size_t aBodyBytes);

// What a target's answer says of itself.
struct TargetAnswer
{
  // Request that it answers, empty when it does not say.
  std::string mRequestId;
  // Whether it carries the target's signature.
  bool mSigned = false;
  // Whether the target says that it has not run the request.
  bool mNotRun = false;
  // Whether another target has the address, and its name when it tells.
  bool mWrongTarget = false;
  std::string mTarget;
  // Requests running and waiting at the target, when it tells.
  std::optional<int> mRunning;
  std::optional<int> mWaiting;
  // How long the target keeps the idle connection.
  std::optional<Duration> mKeptFor;
};

// Reads the fields of a target's answer.
TargetAnswer
DecodeAnswer(const HttpHead& aHead);

// Whether a field of a target's answer is for the gateway only.
bool
IsGatewayField(std::string_view aName);

// Appends the field that names the request which an answer belongs to.
void
AppendRequestId(std::string& aFields, const std::string& aRequestId);

// Request for a target's own report, and what the report tells.
std::string
EncodeReportRequest(const std::string& aAddress);

// One run that a target reports. Reports are some hundred milliseconds old.
struct ReportedRun
{
  std::string mRequestId;
  // Events that the run has made.
  int mEvents = 0;
};

struct TargetReport
{
  // Start of the target; empty when it does not tell.
  std::string mIncarnation;
  // Whether the target is a model engine.
  bool mEngine = false;
  int mRunning = 0;
  int mWaiting = 0;
  // Runs that have made their first token.
  std::vector<ReportedRun> mRuns;
};

std::optional<TargetReport>
DecodeReport(const std::string& aBody, std::string& aReason);

// Whole request that orders a target to copy a run's memory to another one.
std::string
EncodeCopyOrder(const std::string& aAddress,
                const std::string& aRequestId,
                const std::string& aToAddress);

// Handle of the copy that was made; nothing, with the reason, without one.
std::optional<std::string>
DecodeCopyMade(const std::string& aBody, std::string& aReason);

// Whole request that lets a target drop a copy it made.
std::string
EncodeCopyRelease(const std::string& aAddress, const std::string& aHandle);

// Path of the readiness check.
extern const char kReadinessPath[];

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED
