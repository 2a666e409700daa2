#ifndef QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED
#define QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED

#include "core/Failure.h"
#include "core/LimitShares.h"
#include "core/WorkspaceLimits.h"
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

// The router's HTTP interface: model requests, plain services, health, status
// and explanations.
class CallerApi
{
public:
  // aClaims is null without a platform. All must outlive this object.
  CallerApi(const RouterParts& aParts,
            const schema::RouterSettings& aSettings,
            int aRouters,
            ClaimService* aClaims);

  // Adds the handlers to a server.
  void AddRoutes(HttpServer& aServer);

  // Demand of the workspaces here, for peers; and a peer's demand.
  std::vector<LimitShares::Demand> OwnDemand();
  void OnPeerDemand(const std::string& aPeer,
                    const std::map<std::string, double>& aDemand);

  // Requests that have been admitted and have not ended.
  int OpenRequests() const { return mOpen.load(); }

private:
  class OpenRequest;

  void ServeModel(CallerForm aForm,
                  const HttpRequest& aRequest,
                  HttpResponse& aResponse);
  void ServePlain(const HttpRequest& aRequest, HttpResponse& aResponse);
  void ServeHealth(HttpResponse& aResponse) const;
  void ServeStatus(HttpResponse& aResponse) const;
  void ServeExplanation(const HttpRequest& aRequest,
                        HttpResponse& aResponse) const;

  void Refuse(const Failure& aFailure, HttpResponse& aResponse) const;
  std::optional<Failure> ParseModelRequest(const HttpRequest& aRequest,
                                           RequestContext& aContext) const;
  std::optional<Failure> ParsePlainRequest(const HttpRequest& aRequest,
                                           RequestContext& aContext) const;
  std::optional<Failure> Admit(const RequestContext& aContext);
  std::optional<Failure> ClaimRequest(const RequestContext& aContext,
                                      Claim& aClaim);
  bool NeedsClaim(const RequestContext& aContext) const;
  std::optional<Failure> ParseTakeover(const std::string& aEventId,
                                       RequestContext& aContext,
                                       TakeoverPoint& aPoint) const;

  const RouterParts& mParts;
  CallerLimits mCallerLimits;
  ClaimService* mClaims;
  std::mutex mMutex;
  WorkspaceLimits mLimits;
  LimitShares mShares;
  std::atomic<int> mOpen{ 0 };
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CALLERAPI_H_INCLUDED
