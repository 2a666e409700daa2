#ifndef QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED

#include "core/Time.h"
#include "http/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay::platform {

// Header fields of a caller's request that the gateway uses.
struct CallerRequest
{
  // ID of this attempt by the caller; a retry has a new one.
  std::string mRequestId;
  std::string mHost;
  // How long the caller waits, counted from the request's arrival; nothing when
  // the request does not say.
  std::optional<Duration> mCallerTimeout;
  // API key, empty when there is none.
  std::string mApiKey;
  // Number of prompt tokens and maximum number of output tokens; zero when the
  // request does not say.
  int mPromptTokens = 0;
  int mOutputTokens = 0;
  // Hashes of the IDs of the prompt's parts, in order, without the last part,
  // which belongs to the request or its session. Despite the field's name, the
  // parts make up the whole prompt.
  std::vector<std::uint64_t> mPromptParts;
  // ID of the last event that the caller received of a stream to be resumed.
  std::string mLastEventId;
  // ID of the caller's request that brought the first event of that stream.
  std::string mOriginRequestId;
};

// Parses a caller's request head. Malformed fields count as missing.
CallerRequest
DecodeCallerRequest(const HttpHead& aHead);

// Identifies a copy of a run's KV cache at the target that holds it. A copy
// that the run sent by itself has the holder's address and the request ID; a
// copy made on request has the address of the target that made it and the
// handle that this target returned.
struct KvCopyReference
{
  std::string mAddress;
  std::string mId;
};

// Header fields that the gateway adds to a request for one target.
struct AttemptFields
{
  // Name of the target that must run the request; any other one rejects it.
  std::string mTarget;
  // Workspace of the caller's key; empty on public routes.
  std::string mWorkspace;
  // Time left until the caller stops waiting for the response.
  Duration mTimeLeft = Duration::zero();
  // ID of the event after which a stream resumes; empty to start a new stream.
  std::string mLastEventId;
  // Address of the target that is to hold a copy of the run; empty for none.
  std::string mCopyHolderAddress;
  // Copy from which the receiving target resumes; nothing when it has to
  // prefill the prompt.
  std::optional<KvCopyReference> mCopy;
  // Scheduling rank among the target's requests; 0 is served first.
  std::optional<int> mUrgency;
};

// Builds the request head for a target: the caller's fields without hop-by-hop
// fields and fields that only the gateway may set, plus those of the attempt.
std::string
EncodeAttempt(const HttpHead& aCaller,
              const AttemptFields& aFields,
              std::size_t aBodyBytes);

// Header fields of a request that another host serves.
struct PassedOnHead
{
  // Time left until the caller stops waiting for the response.
  Duration mTimeLeft = Duration::zero();
  // ID of the event after which a stream resumes; empty to start a new stream.
  std::string mLastEventId;
  // Formatted fields that only hosts use among themselves.
  std::string mOwnFields;
};

// Builds the request head for another host: the caller's fields, its API key
// included, without hop-by-hop fields and fields that only the gateway may set.
std::string
EncodePassedOn(const HttpHead& aCaller,
               const PassedOnHead& aFields,
               std::size_t aBodyBytes);

// Header fields of a target's response that the gateway uses.
struct TargetResponse
{
  // ID of the request that was answered; empty when the response has none.
  std::string mRequestId;
  // Whether the response carries the target's signature.
  bool mSigned = false;
  // Whether the target states that it has not run the request.
  bool mNotRun = false;
  // Whether another target than the expected one answered at the address.
  bool mMisdirected = false;
  // Name of the target that answered; empty when the response has none.
  std::string mTarget;
  // Requests running and waiting at the target, if reported, from 0 to a
  // million.
  std::optional<int> mRunning;
  std::optional<int> mWaiting;
  // How much longer than usual work takes at the target now, if reported, and
  // the text of a figure that is none or out of range.
  std::optional<double> mSlowness;
  std::string mMalformedSlowness;
  // Requests a second that the target takes from all hosts together, if it
  // names a limit, and the text of a limit that is not a number.
  std::optional<double> mRequestLimit;
  std::string mMalformedLimit;
  // Requests that the target can turn away in one second before it falls over,
  // if it is brittle, and the text of a number that is none or not positive.
  std::optional<int> mBrittle;
  std::string mMalformedBrittle;
  // How long the target wants nothing more from this host, if it answers 503
  // and names a time, and the text of a time that is not a number of seconds.
  std::optional<Duration> mWait;
  std::string mMalformedWait;
  // Whether the target that answered says that it leaves.
  bool mLeaving = false;
  // How long the target keeps the connection open while idle, if reported.
  std::optional<Duration> mKeepAliveTimeout;
};

// Parses the head of a target's response. Malformed fields count as missing.
TargetResponse
DecodeTargetResponse(const HttpHead& aHead);

// Whether a field of a target's response must not be passed to the caller.
bool
IsGatewayOnlyField(std::string_view aName);

// Whether a field of a target's response says what the target asks of this
// host, and not of the caller.
bool
IsAskOfTarget(const HttpHead& aHead, std::string_view aName);

// Appends to a response head when the caller should come back. Does nothing
// without a time.
void
AppendRetryAfter(std::string& aFields, Duration aAfter);

// Appends the request ID field to a response head. Does nothing without an ID.
void
AppendRequestId(std::string& aFields, const std::string& aRequestId);

// Builds the complete HTTP request for a target's status report.
std::string
EncodeReportRequest(const std::string& aAddress);

// A run in a target's report. Reports are a few hundred milliseconds old.
struct ReportedRun
{
  std::string mRequestId;
  // Number of events that the run has produced.
  int mEventCount = 0;
};

// Status report of a target.
struct TargetReport
{
  // Identifies one start of the target's process; empty when not reported.
  std::string mIncarnation;
  // Whether the target is a model engine.
  bool mEngine = false;
  // Requests running and waiting, from 0 to a million.
  int mRunning = 0;
  int mWaiting = 0;
  // Runs that have produced their first token.
  std::vector<ReportedRun> mRuns;
};

// Parses a report. Returns nothing and sets aReason when it is not a JSON
// object; missing members keep their defaults.
std::optional<TargetReport>
DecodeReport(const std::string& aBody, std::string& aReason);

// Builds the complete HTTP request that makes a target copy the KV cache of a
// run to another target.
std::string
EncodeCopyOrder(const std::string& aAddress,
                const std::string& aRequestId,
                const std::string& aToAddress);

// Parses the response to a copy request and returns the handle of the copy.
// Returns nothing and sets aReason when there is none.
std::optional<std::string>
DecodeCopyHandle(const std::string& aBody, std::string& aReason);

// Builds the complete HTTP request that releases a copy at the target that made
// it.
std::string
EncodeCopyRelease(const std::string& aAddress, const std::string& aHandle);

// HTTP path of the gateway's readiness check.
extern const char kReadinessPath[];

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMREQUESTS_H_INCLUDED
