#ifndef QUETZALQUAY_ROUTER_CALLERMESSAGES_H_INCLUDED
#define QUETZALQUAY_ROUTER_CALLERMESSAGES_H_INCLUDED

#include "core/Failure.h"
#include "router/RequestContext.h"

#include <optional>
#include <string>

namespace quetzalquay {

class Snapshot;
struct HttpRequest;
struct HttpResponse;

// Deadline limits that a router applies to callers' requests.
struct CallerLimits
{
  // Used when the caller gives no deadline.
  Duration mDefaultDeadline;
  Duration mMaxDeadline;
};

// Checks the caller's key. Returns the failure if it is of no workspace.
std::optional<Failure>
CheckCallerKey(const HttpRequest& aRequest, const Snapshot& aSnapshot);

// Authenticates the caller and fills the fields that all kinds of request
// share: a new request ID, workspace, idempotency key, deadline, idempotency
// and trace context. Returns the failure, or nothing on success.
std::optional<Failure>
ParseCallerHeaders(const HttpRequest& aRequest,
                   const Snapshot& aSnapshot,
                   const CallerLimits& aLimits,
                   Time aNow,
                   RequestContext& aContext);

// Parses the body of a model request in the format of aContext.mFormat and
// fills the fields of the request. ParseCallerHeaders must have succeeded
// before. Returns the failure, or nothing on success.
std::optional<Failure>
ParseCallerBody(const HttpRequest& aRequest,
                const Snapshot& aSnapshot,
                RequestContext& aContext);

// Fills a response with the HTTP status, the error object and the X-Request-Run
// and Retry-After headers of a failure.
void
WriteFailure(const Failure& aFailure, HttpResponse& aResponse);

// Formats the error object of a failure as JSON.
std::string
FormatFailureJson(const Failure& aFailure);

// Formats one server-sent event with a token's text.
std::string
FormatTextEvent(const RequestContext& aContext,
                const std::string& aEventId,
                const std::string& aText);

// Formats the last server-sent events of a stream that succeeded: the finish
// reason and the [DONE] marker. The event ID is omitted when empty.
std::string
FormatFinishEvents(const RequestContext& aContext,
                   const std::string& aEventId,
                   const std::string& aReason);

// Formats the last server-sent event of a stream that failed.
std::string
FormatFailureEvent(const Failure& aFailure);

// Formats the response body of a request that is not streamed, as JSON.
std::string
FormatCompleteResponse(const RequestContext& aContext,
                       const std::string& aText,
                       const std::string& aReason,
                       int aPromptTokens,
                       int aCompletionTokens);

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CALLERMESSAGES_H_INCLUDED
