#ifndef QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED
#define QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED

#include "core/Failure.h"
#include "core/LimitShares.h"
#include "core/WorkspaceLimiter.h"
#include "router/CallerMessages.h"
#include "router/RequestContext.h"
#include "router/RouterParts.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

class ClaimService;
class HttpServer;
class Snapshot;
struct Claim;
struct HttpRequest;
struct HttpResponse;
struct TakeoverPoint;

namespace schema {
class RouterSettings;
class StreamPosition;
}

// The router's HTTP interface: model requests, calls of plain services, the
// readiness check, and debug pages for the router's status and for single
// requests. Handlers run concurrently on the threads of the server.
class CallerApi
{
public:
  // aRouterCount counts the deployment's routers, this one included. aClaims is
  // null without a platform. All arguments taken by reference or pointer must
  // outlive this object, except aSettings, which is only read here.
  CallerApi(const RouterParts& aParts,
            const schema::RouterSettings& aSettings,
            int aRouterCount,
            ClaimService* aClaims);

  // Registers the request and error handlers with a server.
  void AddRoutes(HttpServer& aServer);

  // Request rates of the workspaces at this router, to be sent to peers.
  std::vector<LimitShares::Demand> OwnDemand();

  // Records the demand that a peer reported, in requests a second by workspace.
  void OnPeerDemand(const std::string& aPeer,
                    const std::map<std::string, double>& aDemand);

  // Number of requests that have been admitted and have not ended.
  int OpenRequestCount() const { return mOpenRequestCount.load(); }

private:
  class OpenRequest;

  void ServeModel(RequestFormat aFormat,
                  const HttpRequest& aRequest,
                  HttpResponse& aResponse);
  void ServePlain(const HttpRequest& aRequest, HttpResponse& aResponse);
  void ServeHealth(HttpResponse& aResponse) const;
  void ServeStatus(HttpResponse& aResponse) const;
  void ServeExplanation(const HttpRequest& aRequest,
                        HttpResponse& aResponse) const;

  // Counts the failure in the metrics and writes it as the response.
  void RejectRequest(const Failure& aFailure, HttpResponse& aResponse) const;
  // Functions that return an optional Failure return nothing on success.
  // Checks by its head alone whether a request comes from a known caller.
  std::optional<Failure> CheckCaller(const HttpRequest& aRequest) const;
  std::optional<Failure> ParseModelRequest(const HttpRequest& aRequest,
                                           RequestContext& aContext) const;
  std::optional<Failure> ParsePlainRequest(const HttpRequest& aRequest,
                                           RequestContext& aContext) const;
  std::optional<Failure> Admit(const RequestContext& aContext);
  std::optional<Failure> ClaimRequest(const RequestContext& aContext,
                                      Claim& aClaim);
  // Whether the request must be claimed in the store before it is dispatched.
  bool NeedsClaim(const RequestContext& aContext) const;
  // Fills aContext and aPoint from the event ID with which a caller resumes a
  // stream that another router served.
  std::optional<Failure> ParseTakeover(const std::string& aEventId,
                                       RequestContext& aContext,
                                       TakeoverPoint& aPoint) const;

  const RouterParts& mParts;
  CallerLimits mCallerLimits;
  ClaimService* mClaims;
  // Guards mLimits and mShares.
  std::mutex mMutex;
  WorkspaceLimiter mLimits;
  LimitShares mShares;
  std::atomic<int> mOpenRequestCount{ 0 };
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED
