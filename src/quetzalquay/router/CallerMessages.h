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

// Limits that a router puts on callers' requests.
struct CallerLimits
{
  Duration mDefaultDeadline;
  Duration mMaxDeadline;
};

// Fills what every kind of request shares: workspace, key, deadline, mark of
// non-idempotent work and trace. Returns the failure, or nothing.
std::optional<Failure>
ParseCallerHeaders(const HttpRequest& aRequest,
                   const Snapshot& aSnapshot,
                   const CallerLimits& aLimits,
                   Time aNow,
                   RequestContext& aContext);

// Fills the model request of a body in the completions or chat form. Returns
// the failure, or nothing.
std::optional<Failure>
ParseCallerBody(const HttpRequest& aRequest,
                const Snapshot& aSnapshot,
                RequestContext& aContext);

// Answers with the error object and the verdict header.
void
WriteFailure(const Failure& aFailure, HttpResponse& aResponse);

// Error object of a failure, as JSON.
std::string
FailureJson(const Failure& aFailure);

// One streamed event with a token's text.
std::string
TextEvent(const RequestContext& aContext,
          const std::string& aEventId,
          const std::string& aText);

// Last events of a stream that ended well.
std::string
FinishEvents(const RequestContext& aContext,
             const std::string& aEventId,
             const std::string& aReason);

// Last event of a stream that ended with an error.
std::string
FailureEvent(const Failure& aFailure);

// Whole answer of a request that is not streamed.
std::string
WholeAnswer(const RequestContext& aContext,
            const std::string& aText,
            const std::string& aReason,
            int aPromptTokens,
            int aCompletionTokens);

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CALLERMESSAGES_H_INCLUDED
