#include "router/CallerApi.h"

#include "config/Snapshot.h"
#include "config/SnapshotStore.h"
#include "core/Hash.h"
#include "generated/messages.pb.h"
#include "observe/RouterMetrics.h"
#include "router/ClaimService.h"
#include "router/ConfigurationFollower.h"
#include "router/ExplainStore.h"
#include "router/JournalWriter.h"
#include "router/PlainSession.h"
#include "router/StreamSession.h"
#include "router/TargetDirectory.h"
#include "wire/EventId.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalquay {

namespace {

// Longest time that a request waits for its claim.
constexpr Duration kClaimTimeout = std::chrono::milliseconds(2000);

constexpr Duration kStoreRetryAfter = std::chrono::milliseconds(2000);
// Retry-After when another router can serve the request.
constexpr Duration kOtherRouterRetryAfter = std::chrono::milliseconds(500);
constexpr int kTooLargeStatus = 413;
constexpr int kBadRequestStatus = 400;
constexpr int kServerErrorStatus = 500;
constexpr int kTimeoutStatus = 408;
constexpr int kOverloadedStatus = 503;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

Failure
MakeNotRunFailure(FailureCode aCode,
                  std::string aMessage,
                  Duration aRetryAfter = Duration::zero())
{
  Failure failure;
  failure.mCode = aCode;
  failure.mVerdict = RunVerdict::NotRun;
  failure.mMessage = std::move(aMessage);
  failure.mRetryAfter = aRetryAfter;
  return failure;
}

WorkspaceLimit
LimitOf(const schema::Workspace& aWorkspace)
{
  WorkspaceLimit limit;
  limit.mMaxConcurrent = aWorkspace.max_concurrent();
  limit.mRequestsPerSecond = aWorkspace.requests_per_second();
  return limit;
}

// Scales a workspace's limits to this router's share of them.
void
ApplyShare(double aShare, WorkspaceLimit& aLimit)
{
  aLimit.mRequestsPerSecond *= aShare;
  const double concurrent = std::ceil(aLimit.mMaxConcurrent * aShare);
  aLimit.mMaxConcurrent = std::max(1, static_cast<int>(concurrent));
}

} // namespace

// Counts an admitted request as open until this object is destroyed.
class CallerApi::OpenRequest : public RefCounted<OpenRequest>
{
public:
  OpenRequest(CallerApi& aApi, std::string aWorkspace)
    : mApi(aApi)
    , mWorkspace(std::move(aWorkspace))
  {
    ++mApi.mOpenRequestCount;
    mApi.mParts.mMetrics->Set(RouterGauge::Streams,
                              mApi.mOpenRequestCount.load());
  }

  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  ~OpenRequest()
  {
    if (mEndCallback) {
      mEndCallback();
    }
    {
      const std::lock_guard<std::mutex> lock(mApi.mMutex);
      mApi.mLimits.Release(mWorkspace);
    }
    --mApi.mOpenRequestCount;
    mApi.mParts.mMetrics->Set(RouterGauge::Streams,
                              mApi.mOpenRequestCount.load());
  }

  // Sets a function that the destructor calls when the request has ended.
  void SetEndCallback(std::function<void()> aCallback)
  {
    mEndCallback = std::move(aCallback);
  }

private:
  CallerApi& mApi;
  std::string mWorkspace;
  std::function<void()> mEndCallback;
};

CallerApi::CallerApi(const RouterParts& aParts,
                     const schema::RouterSettings& aSettings,
                     int aRouterCount,
                     ClaimService* aClaims)
  : mParts(aParts)
  , mClaims(aClaims)
  , mShares(aRouterCount)
{
  mCallerLimits.mDefaultDeadline =
    std::chrono::milliseconds(aSettings.default_deadline_ms());
  mCallerLimits.mMaxDeadline =
    std::chrono::milliseconds(aSettings.max_deadline_ms());
}

void
CallerApi::AddRoutes(HttpServer& aServer)
{
  aServer.Route("POST",
                "/v1/completions",
                [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                  ServeModel(RequestFormat::Completions, aRequest, aResponse);
                });
  aServer.Route("POST",
                "/v1/chat/completions",
                [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                  ServeModel(RequestFormat::Chat, aRequest, aResponse);
                });
  for (const char* method : { "GET", "POST", "PUT", "DELETE" }) {
    aServer.Route(method,
                  "/services/([^/]+)(/.*)?",
                  [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                    ServePlain(aRequest, aResponse);
                  });
  }
  aServer.Route("GET",
                "/health/ready",
                [this](const HttpRequest&, HttpResponse& aResponse) {
                  ServeHealth(aResponse);
                });
  aServer.Route("GET",
                "/debug/status",
                [this](const HttpRequest&, HttpResponse& aResponse) {
                  ServeStatus(aResponse);
                });
  aServer.Route("GET",
                "/debug/requests/([A-Za-z0-9-]+)",
                [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                  ServeExplanation(aRequest, aResponse);
                });
  aServer.SetSenderCheck(
    [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
      const auto failure = CheckCaller(aRequest);
      if (failure) {
        RejectRequest(*failure, aResponse);
      }
      return !failure;
    });
  aServer.SetErrorHandler([this](int aStatus, HttpResponse& aResponse) {
    if (aStatus == kTooLargeStatus) {
      RejectRequest(MakeNotRunFailure(FailureCode::PayloadTooLarge,
                                      "the body is too large"),
                    aResponse);
    } else if (aStatus == kBadRequestStatus) {
      RejectRequest(MakeNotRunFailure(FailureCode::InvalidRequest,
                                      "malformed HTTP request"),
                    aResponse);
    } else if (aStatus == kTimeoutStatus || aStatus == kOverloadedStatus) {
      // Others need the connection, thread or memory of the unfinished one.
      RejectRequest(MakeNotRunFailure(FailureCode::Overloaded,
                                      "the request was not received in time",
                                      kOtherRouterRetryAfter),
                    aResponse);
    } else if (aStatus >= kServerErrorStatus) {
      // The request may have been dispatched before the error occurred.
      Failure failure =
        MakeNotRunFailure(FailureCode::Internal, "unexpected error");
      failure.mVerdict = RunVerdict::OutcomeUnknown;
      RejectRequest(failure, aResponse);
    } else {
      RejectRequest(MakeNotRunFailure(FailureCode::NotFound, "no such path"),
                    aResponse);
    }
  });
}

std::vector<LimitShares::Demand>
CallerApi::OwnDemand()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mShares.OwnDemand(Now());
}

void
CallerApi::OnPeerDemand(const std::string& aPeer,
                        const std::map<std::string, double>& aDemand)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mShares.OnPeerDemand(aPeer, aDemand, Now());
}

void
CallerApi::ServeModel(RequestFormat aFormat,
                      const HttpRequest& aRequest,
                      HttpResponse& aResponse)
{
  RequestContext context;
  context.mFormat = aFormat;
  if (const auto failure = ParseModelRequest(aRequest, context)) {
    RejectRequest(*failure, aResponse);
    return;
  }
  std::optional<TakeoverPoint> takeover;
  if (const auto eventId = aRequest.mFindHeader("Last-Event-ID")) {
    TakeoverPoint point;
    if (const auto failure = ParseTakeover(*eventId, context, point)) {
      RejectRequest(*failure, aResponse);
      return;
    }
    takeover = std::move(point);
  }
  if (auto failure = Admit(context)) {
    if (takeover) {
      failure->mVerdict = RunVerdict::Ran;
    }
    RejectRequest(*failure, aResponse);
    return;
  }
  const auto openRequest = MakeRef<OpenRequest>(*this, context.mWorkspace);
  Claim claim;
  const bool needsClaim = !takeover && NeedsClaim(context);
  if (needsClaim) {
    if (const auto failure = ClaimRequest(context, claim)) {
      RejectRequest(*failure, aResponse);
      return;
    }
  }
  const auto session = MakeRef<StreamSession>(mParts, context);
  if (needsClaim) {
    openRequest->SetEndCallback([this, session, claim] {
      mClaims->RecordOutcome(claim, session->FinalVerdict());
    });
  }
  session->Serve(takeover, aResponse);
  if (aResponse.mStream) {
    // Counts the request as open until the server destroys the response.
    aResponse.mStream = [stream = std::move(aResponse.mStream), openRequest](
                          BodyWriter& aWriter) { return stream(aWriter); };
  }
}

void
CallerApi::ServePlain(const HttpRequest& aRequest, HttpResponse& aResponse)
{
  RequestContext context;
  if (const auto failure = ParsePlainRequest(aRequest, context)) {
    RejectRequest(*failure, aResponse);
    return;
  }
  if (const auto failure = Admit(context)) {
    RejectRequest(*failure, aResponse);
    return;
  }
  const auto openRequest = MakeRef<OpenRequest>(*this, context.mWorkspace);
  Claim claim;
  const bool needsClaim = NeedsClaim(context);
  if (needsClaim) {
    if (const auto failure = ClaimRequest(context, claim)) {
      RejectRequest(*failure, aResponse);
      return;
    }
  }
  std::string path = aRequest.mCaptures.size() > 1 ? aRequest.mCaptures[1] : "";
  if (path.empty()) {
    path = "/";
  }
  PlainSession session(mParts, context);
  session.Serve(aRequest, path, aResponse);
  if (needsClaim) {
    mClaims->RecordOutcome(claim, session.FinalVerdict());
  }
}

void
CallerApi::ServeHealth(HttpResponse& aResponse) const
{
  const bool ready =
    !mParts.mLifecycle->mStopping.load() && mParts.mFollower->CanServe();
  aResponse.mStatus = ready ? 200 : 503;
  aResponse.mContentType = "text/plain";
  aResponse.mBody = ready ? "ready\n" : "not ready\n";
}

void
CallerApi::ServeStatus(HttpResponse& aResponse) const
{
  schema::RouterStatus status;
  status.set_name(mParts.mRouterName);
  status.set_state(mParts.mLifecycle->mStopping.load() ? "stopping"
                   : mParts.mFollower->CanServe()      ? "ready"
                                                       : "not ready");
  status.set_revision(mParts.mSnapshots->Revision());
  status.set_streams(mOpenRequestCount.load());
  const auto views = mParts.mTargets->WithLock(
    [](TargetTable& aTable) { return aTable.View(Now()); });
  for (const TargetView& it : views) {
    auto* target = status.add_targets();
    target->set_name(it.mName);
    target->set_service(it.mService);
    target->set_place(it.mPlace);
    target->set_state(it.mState);
    target->set_incarnation(it.mIncarnation);
    target->set_in_flight(it.mInFlight);
    target->set_reported_running(it.mReported);
    target->set_gap_ms(ToMilliseconds(it.mTypicalTokenGap));
    target->set_first_token_ms(ToMilliseconds(it.mFirstToken));
  }
  aResponse.mBody = ToJson(status);
}

void
CallerApi::ServeExplanation(const HttpRequest& aRequest,
                            HttpResponse& aResponse) const
{
  const auto explanation = mParts.mExplainStore->Find(aRequest.mCaptures[0]);
  if (!explanation) {
    WriteFailure(MakeNotRunFailure(FailureCode::NotFound,
                                   "this router has no record of the request"),
                 aResponse);
    return;
  }
  aResponse.mBody = ToJson(*explanation);
}

void
CallerApi::RejectRequest(const Failure& aFailure, HttpResponse& aResponse) const
{
  mParts.mMetrics->AddFailure(aFailure.mCode, aFailure.mVerdict);
  WriteFailure(aFailure, aResponse);
}

std::optional<Failure>
CallerApi::CheckCaller(const HttpRequest& aRequest) const
{
  const SnapshotReader snapshot(*mParts.mSnapshots);
  if (snapshot.Get() == nullptr) {
    return MakeNotRunFailure(
      FailureCode::ConfigurationUnknown,
      "this router has no configuration yet; retry on another "
      "router",
      kOtherRouterRetryAfter);
  }
  return CheckCallerKey(aRequest, *snapshot.Get());
}

std::optional<Failure>
CallerApi::ParseModelRequest(const HttpRequest& aRequest,
                             RequestContext& aContext) const
{
  const SnapshotReader snapshot(*mParts.mSnapshots);
  if (snapshot.Get() == nullptr) {
    return MakeNotRunFailure(
      FailureCode::ConfigurationUnknown,
      "this router has no configuration yet; retry on another "
      "router",
      kOtherRouterRetryAfter);
  }
  if (auto failure = ParseCallerHeaders(
        aRequest, *snapshot.Get(), mCallerLimits, Now(), aContext)) {
    return failure;
  }
  return ParseCallerBody(aRequest, *snapshot.Get(), aContext);
}

std::optional<Failure>
CallerApi::ParsePlainRequest(const HttpRequest& aRequest,
                             RequestContext& aContext) const
{
  const SnapshotReader snapshot(*mParts.mSnapshots);
  if (snapshot.Get() == nullptr) {
    return MakeNotRunFailure(
      FailureCode::ConfigurationUnknown,
      "this router has no configuration yet; retry on another "
      "router",
      kOtherRouterRetryAfter);
  }
  if (auto failure = ParseCallerHeaders(
        aRequest, *snapshot.Get(), mCallerLimits, Now(), aContext)) {
    return failure;
  }
  const std::string name = aRequest.mCaptures[0];
  const schema::Service* service = snapshot->FindService(name);
  const schema::Workspace* workspace =
    snapshot->FindWorkspace(aContext.mWorkspace);
  const auto& allowed = workspace->services();
  const bool isAvailable =
    service != nullptr && service->kind() == schema::PLAIN &&
    std::find(allowed.begin(), allowed.end(), name) != allowed.end();
  if (!isAvailable) {
    return MakeNotRunFailure(FailureCode::UnknownService,
                             "no such service for this workspace");
  }
  aContext.mService = name;
  aContext.mContentHash = StableHash(aRequest.mPath + "\n" + aRequest.mBody,
                                     StableHash(aContext.mWorkspace));
  return std::nullopt;
}

std::optional<Failure>
CallerApi::Admit(const RequestContext& aContext)
{
  if (!mParts.mFollower->CanServe()) {
    return MakeNotRunFailure(
      FailureCode::ConfigurationUnknown,
      "this router cannot verify that its configuration is up to "
      "date; retry on another router",
      kOtherRouterRetryAfter);
  }
  if (mParts.mLifecycle->mStopping.load()) {
    return MakeNotRunFailure(
      FailureCode::Stopping,
      "this router is shutting down; retry on another router",
      kOtherRouterRetryAfter);
  }
  WorkspaceLimit limit;
  {
    const SnapshotReader snapshot(*mParts.mSnapshots);
    const auto* workspace = snapshot->FindWorkspace(aContext.mWorkspace);
    if (workspace == nullptr) {
      return MakeNotRunFailure(FailureCode::Unauthorized,
                               "the workspace no longer exists");
    }
    limit = LimitOf(*workspace);
  }
  Duration retryAfter = Duration::zero();
  Admission admission = Admission::Admitted;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mShares.OnArrival(aContext.mWorkspace, Now());
    ApplyShare(mShares.ShareOf(aContext.mWorkspace, Now()), limit);
    admission = mLimits.Admit(aContext.mWorkspace, limit, Now(), retryAfter);
  }
  if (admission == Admission::Admitted) {
    return std::nullopt;
  }
  const bool rateExceeded = admission == Admission::RateExceeded;
  return MakeNotRunFailure(
    FailureCode::RateLimited,
    rateExceeded ? "request rate limit of this workspace exceeded"
                 : "concurrent request limit of this workspace exceeded",
    retryAfter);
}

bool
CallerApi::NeedsClaim(const RequestContext& aContext) const
{
  // Without an idempotency key a retry cannot be recognized as the same
  // request.
  return !aContext.mIdempotent && !aContext.mCallerKey.empty();
}

std::optional<Failure>
CallerApi::ClaimRequest(const RequestContext& aContext, Claim& aClaim)
{
  if (mClaims == nullptr) {
    return MakeNotRunFailure(
      FailureCode::StoreUnavailable,
      "a non-idempotent request with an Idempotency-Key needs a "
      "platform, and none is configured");
  }
  ClaimRecord existing;
  const Time giveUpAt = std::min(aContext.mDeadline, Now() + kClaimTimeout);
  const ClaimStatus status = mClaims->Acquire(aContext.mWorkspace,
                                              aContext.mCallerKey,
                                              aContext.mRequestId,
                                              giveUpAt,
                                              aClaim,
                                              existing);
  switch (status) {
    case ClaimStatus::Claimed:
      return std::nullopt;
    case ClaimStatus::Unavailable:
      return MakeNotRunFailure(FailureCode::StoreUnavailable,
                               "the request could not be claimed in the store",
                               kStoreRetryAfter);
    case ClaimStatus::Taken:
      break;
  }
  Failure failure;
  failure.mCode = FailureCode::AlreadyClaimed;
  failure.mVerdict = existing.mOutcome.value_or(RunVerdict::OutcomeUnknown);
  failure.mMessage =
    "a request with this Idempotency-Key was already accepted as " +
    existing.mRequestId;
  return failure;
}

std::optional<Failure>
CallerApi::ParseTakeover(const std::string& aEventId,
                         RequestContext& aContext,
                         TakeoverPoint& aPoint) const
{
  const auto position = mParts.mEventIds->Decode(aEventId);
  const bool matchesRequest =
    position && position->workspace() == aContext.mWorkspace &&
    position->content_hash() == ToHex(aContext.mContentHash);
  if (!matchesRequest) {
    return MakeNotRunFailure(FailureCode::InvalidPosition,
                             "Last-Event-ID: not an event ID of this request");
  }
  aContext.mRequestId = position->request_id();
  aContext.mVersion = position->version();
  aContext.mAdapterVersion = position->adapter_version();
  aContext.mSeed = position->seed();
  aContext.mIdempotent = !position->non_idempotent();
  aContext.mStream = true;
  aPoint.mGeneration = position->generation();
  aPoint.mDelivered = position->delivered();
  aPoint.mTarget = position->target();
  aPoint.mAttempt = position->attempt();
  if (position->tail_from() > 0 && mParts.mJournal != nullptr) {
    const std::vector<std::uint32_t> objects(
      position->journal_objects().begin(), position->journal_objects().end());
    aPoint.mTokens = mParts.mJournal->Read(position->journal_writer(),
                                           objects,
                                           position->request_id(),
                                           position->generation());
  }
  const int knownTokens = static_cast<int>(aPoint.mTokens.size());
  const int tailEnd = position->tail_from() + position->tail_size();
  if (knownTokens >= position->tail_from() && knownTokens < tailEnd) {
    aPoint.mTokens.insert(aPoint.mTokens.end(),
                          position->tail().begin() +
                            (knownTokens - position->tail_from()),
                          position->tail().end());
  }
  return std::nullopt;
}

} // namespace quetzalquay
