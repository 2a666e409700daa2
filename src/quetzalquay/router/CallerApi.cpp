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

// Time that a request may wait for its claim.
constexpr Duration kClaimPatience = std::chrono::milliseconds(2000);

constexpr Duration kStoreRetryAfter = std::chrono::milliseconds(2000);
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(500);
constexpr int kTooLargeStatus = 413;
constexpr int kBadRequestStatus = 400;
constexpr int kServerErrorStatus = 500;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

Failure
NotRun(FailureCode aCode,
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

// Cuts a workspace's limits down to this router's share of them.
void
ApplyShare(double aShare, WorkspaceLimit& aLimit)
{
  aLimit.mRequestsPerSecond *= aShare;
  const double concurrent = std::ceil(aLimit.mMaxConcurrent * aShare);
  aLimit.mMaxConcurrent = std::max(1, static_cast<int>(concurrent));
}

} // namespace

// Counts an admitted request as open for its lifetime.
class CallerApi::OpenRequest : public RefCounted<OpenRequest>
{
public:
  OpenRequest(CallerApi& aApi, std::string aWorkspace)
    : mApi(aApi)
    , mWorkspace(std::move(aWorkspace))
  {
    ++mApi.mOpen;
    mApi.mParts.mMetrics->Set(Level::Streams, mApi.mOpen.load());
  }

  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  ~OpenRequest()
  {
    if (mSettle) {
      mSettle();
    }
    {
      const std::lock_guard<std::mutex> lock(mApi.mMutex);
      mApi.mLimits.Release(mWorkspace);
    }
    --mApi.mOpen;
    mApi.mParts.mMetrics->Set(Level::Streams, mApi.mOpen.load());
  }

  // Called at the request's end.
  void OnEnd(std::function<void()> aSettle) { mSettle = std::move(aSettle); }

private:
  CallerApi& mApi;
  std::string mWorkspace;
  std::function<void()> mSettle;
};

CallerApi::CallerApi(const RouterParts& aParts,
                     const schema::RouterSettings& aSettings,
                     int aRouters,
                     ClaimService* aClaims)
  : mParts(aParts)
  , mClaims(aClaims)
  , mShares(aRouters)
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
                  ServeModel(CallerForm::Completions, aRequest, aResponse);
                });
  aServer.Route("POST",
                "/v1/chat/completions",
                [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
                  ServeModel(CallerForm::Chat, aRequest, aResponse);
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
  aServer.OnError([this](int aStatus, HttpResponse& aResponse) {
    if (aStatus == kTooLargeStatus) {
      Refuse(NotRun(FailureCode::PayloadTooLarge, "the body is too large"),
             aResponse);
    } else if (aStatus == kBadRequestStatus) {
      Refuse(NotRun(FailureCode::InvalidRequest, "malformed HTTP request"),
             aResponse);
    } else if (aStatus >= kServerErrorStatus) {
      // Whatever went wrong, the request may have been dispatched before.
      Failure failure = NotRun(FailureCode::Internal, "unexpected error");
      failure.mVerdict = RunVerdict::OutcomeUnknown;
      Refuse(failure, aResponse);
    } else {
      Refuse(NotRun(FailureCode::NotFound, "no such path"), aResponse);
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
  mShares.OnPeer(aPeer, aDemand, Now());
}

void
CallerApi::ServeModel(CallerForm aForm,
                      const HttpRequest& aRequest,
                      HttpResponse& aResponse)
{
  RequestContext context;
  context.mForm = aForm;
  if (const auto failure = ParseModelRequest(aRequest, context)) {
    Refuse(*failure, aResponse);
    return;
  }
  std::optional<TakeoverPoint> takeover;
  if (const auto eventId = aRequest.mHeader("Last-Event-ID")) {
    TakeoverPoint point;
    if (const auto failure = ParseTakeover(*eventId, context, point)) {
      Refuse(*failure, aResponse);
      return;
    }
    takeover = std::move(point);
  }
  if (auto failure = Admit(context)) {
    if (takeover) {
      failure->mVerdict = RunVerdict::Ran;
    }
    Refuse(*failure, aResponse);
    return;
  }
  const auto open = MakeRef<OpenRequest>(*this, context.mWorkspace);
  Claim claim;
  const bool claims = !takeover && NeedsClaim(context);
  if (claims) {
    if (const auto failure = ClaimRequest(context, claim)) {
      Refuse(*failure, aResponse);
      return;
    }
  }
  const auto session = MakeRef<StreamSession>(mParts, context);
  if (claims) {
    open->OnEnd([this, session, claim] {
      mClaims->Settle(claim, session->FinalVerdict());
    });
  }
  session->Serve(takeover, aResponse);
  if (aResponse.mStream) {
    // Keeps the request open until the server drops the response.
    aResponse.mStream = [stream = std::move(aResponse.mStream),
                         open](BodyWriter& aWriter) { return stream(aWriter); };
  }
}

void
CallerApi::ServePlain(const HttpRequest& aRequest, HttpResponse& aResponse)
{
  RequestContext context;
  if (const auto failure = ParsePlainRequest(aRequest, context)) {
    Refuse(*failure, aResponse);
    return;
  }
  if (const auto failure = Admit(context)) {
    Refuse(*failure, aResponse);
    return;
  }
  const auto open = MakeRef<OpenRequest>(*this, context.mWorkspace);
  Claim claim;
  const bool claims = NeedsClaim(context);
  if (claims) {
    if (const auto failure = ClaimRequest(context, claim)) {
      Refuse(*failure, aResponse);
      return;
    }
  }
  std::string path = aRequest.mCaptures.size() > 1 ? aRequest.mCaptures[1] : "";
  if (path.empty()) {
    path = "/";
  }
  PlainSession session(mParts, context);
  session.Serve(aRequest, path, aResponse);
  if (claims) {
    mClaims->Settle(claim, session.FinalVerdict());
  }
}

void
CallerApi::ServeHealth(HttpResponse& aResponse) const
{
  const bool ready =
    !mParts.mLifecycle->mStopping.load() && mParts.mFollower->MayServe();
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
                   : mParts.mFollower->MayServe()      ? "ready"
                                                       : "not ready");
  status.set_revision(mParts.mSnapshots->Revision());
  status.set_streams(mOpen.load());
  const auto views = mParts.mTargets->With(
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
    target->set_gap_ms(ToMilliseconds(it.mUsualGap));
    target->set_first_token_ms(ToMilliseconds(it.mFirstToken));
  }
  aResponse.mBody = ToJson(status);
}

void
CallerApi::ServeExplanation(const HttpRequest& aRequest,
                            HttpResponse& aResponse) const
{
  const auto explanation = mParts.mExplain->Find(aRequest.mCaptures[0]);
  if (!explanation) {
    WriteFailure(NotRun(FailureCode::NotFound,
                        "this router does not know the request any more"),
                 aResponse);
    return;
  }
  aResponse.mBody = ToJson(*explanation);
}

void
CallerApi::Refuse(const Failure& aFailure, HttpResponse& aResponse) const
{
  mParts.mMetrics->AddFailure(aFailure.mCode, aFailure.mVerdict);
  WriteFailure(aFailure, aResponse);
}

std::optional<Failure>
CallerApi::ParseModelRequest(const HttpRequest& aRequest,
                             RequestContext& aContext) const
{
  const SnapshotReader snapshot(*mParts.mSnapshots);
  if (snapshot.Get() == nullptr) {
    return NotRun(FailureCode::ConfigurationUnknown,
                  "this router has no configuration yet; use another",
                  kStoppingRetryAfter);
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
    return NotRun(FailureCode::ConfigurationUnknown,
                  "this router has no configuration yet; use another",
                  kStoppingRetryAfter);
  }
  if (auto failure = ParseCallerHeaders(
        aRequest, *snapshot.Get(), mCallerLimits, Now(), aContext)) {
    return failure;
  }
  const std::string name = aRequest.mCaptures[0];
  const schema::Service* service = snapshot->ServiceNamed(name);
  const schema::Workspace* workspace =
    snapshot->WorkspaceNamed(aContext.mWorkspace);
  const auto& allowed = workspace->services();
  const bool known =
    service != nullptr && service->kind() == schema::PLAIN &&
    std::find(allowed.begin(), allowed.end(), name) != allowed.end();
  if (!known) {
    return NotRun(FailureCode::UnknownService,
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
  if (!mParts.mFollower->MayServe()) {
    return NotRun(FailureCode::ConfigurationUnknown,
                  "this router cannot tell whether its configuration is the "
                  "newest; use another",
                  kStoppingRetryAfter);
  }
  if (mParts.mLifecycle->mStopping.load()) {
    return NotRun(FailureCode::Stopping,
                  "this router is stopping; use another",
                  kStoppingRetryAfter);
  }
  WorkspaceLimit limit;
  {
    const SnapshotReader snapshot(*mParts.mSnapshots);
    const auto* workspace = snapshot->WorkspaceNamed(aContext.mWorkspace);
    if (workspace == nullptr) {
      return NotRun(FailureCode::Unauthorized, "the workspace is gone");
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
  const bool rate = admission == Admission::RateExceeded;
  return NotRun(FailureCode::RateLimited,
                rate ? "too many requests a second for this workspace"
                     : "too many open requests for this workspace",
                retryAfter);
}

bool
CallerApi::NeedsClaim(const RequestContext& aContext) const
{
  // Without a caller's key nobody can repeat the request.
  return !aContext.mIdempotent && !aContext.mCallerKey.empty();
}

std::optional<Failure>
CallerApi::ClaimRequest(const RequestContext& aContext, Claim& aClaim)
{
  if (mClaims == nullptr) {
    return NotRun(FailureCode::StoreUnavailable,
                  "no platform is configured to claim this request on");
  }
  ClaimRecord other;
  const Time giveUpAt = std::min(aContext.mDeadline, Now() + kClaimPatience);
  const ClaimStatus status = mClaims->Acquire(aContext.mWorkspace,
                                              aContext.mCallerKey,
                                              aContext.mRequestId,
                                              giveUpAt,
                                              aClaim,
                                              other);
  switch (status) {
    case ClaimStatus::Claimed:
      return std::nullopt;
    case ClaimStatus::Unavailable:
      return NotRun(FailureCode::StoreUnavailable,
                    "the request could not be claimed",
                    kStoreRetryAfter);
    case ClaimStatus::Taken:
      break;
  }
  Failure failure;
  failure.mCode = FailureCode::AlreadyClaimed;
  failure.mVerdict = other.mOutcome.value_or(RunVerdict::OutcomeUnknown);
  failure.mMessage =
    "a request with this key was accepted before, as " + other.mRequestId;
  return failure;
}

std::optional<Failure>
CallerApi::ParseTakeover(const std::string& aEventId,
                         RequestContext& aContext,
                         TakeoverPoint& aPoint) const
{
  const auto position = mParts.mEventIds->Decode(aEventId);
  const bool own = position && position->workspace() == aContext.mWorkspace &&
                   position->content_hash() == ToHex(aContext.mContentHash);
  if (!own) {
    return NotRun(FailureCode::InvalidPosition,
                  "Last-Event-ID: not an event id of this request");
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
  const int known = static_cast<int>(aPoint.mTokens.size());
  const int tailEnd = position->tail_from() + position->tail_size();
  if (known >= position->tail_from() && known < tailEnd) {
    aPoint.mTokens.insert(aPoint.mTokens.end(),
                          position->tail().begin() +
                            (known - position->tail_from()),
                          position->tail().end());
  }
  return std::nullopt;
}

} // namespace quetzalquay
