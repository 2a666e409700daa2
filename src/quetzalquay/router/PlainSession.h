#ifndef QUETZALQUAY_ROUTER_PLAINSESSION_H_INCLUDED
#define QUETZALQUAY_ROUTER_PLAINSESSION_H_INCLUDED

#include "core/PlainCall.h"
#include "observe/Tracer.h"
#include "router/RequestContext.h"
#include "router/RouterParts.h"
#include "wire/HttpClient.h"

#include <string>

namespace quetzalquay {

struct HttpRequest;
struct HttpResponse;

// Executes one call of a plain service on the calling thread.
class PlainSession
{
public:
  // aParts must outlive this object.
  PlainSession(const RouterParts& aParts, RequestContext aContext);

  // Sends the call to targets of the service until one answers or no further
  // attempt is allowed, and fills the response. aPath is the path at the
  // target.
  void Serve(const HttpRequest& aRequest,
             const std::string& aPath,
             HttpResponse& aResponse);

  // Whether the call has run; valid after Serve.
  RunVerdict FinalVerdict() const { return mVerdict; }

private:
  HttpCallSpec MakeCall(const HttpRequest& aRequest,
                        const std::string& aPath) const;
  // Runs one attempt and keeps its response in mHttpResult.
  PlainResult SendToTarget(const TryTarget& aStep, const HttpCallSpec& aSpec);
  PlainResult ClassifyResult(const HttpResult& aResult) const;
  void FailRequest(const Failure& aFailure, HttpResponse& aResponse);
  void AddExplainStep(const char* aEvent,
                      const std::string& aTarget,
                      const std::string& aReason);

  const RouterParts& mParts;
  RequestContext mContext;
  // Response of the last attempt.
  HttpResult mHttpResult;
  RunVerdict mVerdict = RunVerdict::NotRun;
  OpenSpan mSpan;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PLAINSESSION_H_INCLUDED
