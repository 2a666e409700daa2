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

// Carries out one call of a plain service on its caller's thread.
class PlainSession
{
public:
  // aParts must outlive this object.
  PlainSession(const RouterParts& aParts, RequestContext aContext);

  // Sends the call to targets of the service until one answers or the call is
  // given up. aPath is the path at the target.
  void Serve(const HttpRequest& aRequest,
             const std::string& aPath,
             HttpResponse& aResponse);

  // Verdict on the call once it has ended.
  RunVerdict FinalVerdict() const { return mVerdict; }

private:
  HttpCallSpec MakeCall(const HttpRequest& aRequest,
                        const std::string& aPath) const;
  PlainResult Send(const TryTarget& aStep, const HttpCallSpec& aSpec);
  PlainResult Judge(const HttpResult& aResult) const;
  void Fail(const Failure& aFailure, HttpResponse& aResponse);
  void Explain(const char* aEvent,
               const std::string& aTarget,
               const std::string& aReason);

  const RouterParts& mParts;
  RequestContext mContext;
  HttpResult mAnswer;
  RunVerdict mVerdict = RunVerdict::NotRun;
  OpenSpan mSpan;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_PLAINSESSION_H_INCLUDED
