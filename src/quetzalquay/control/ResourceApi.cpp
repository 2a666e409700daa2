#include "control/ResourceApi.h"

#include "control/ResourceStore.h"
#include "generated/messages.pb.h"
#include "observe/EvictionLog.h"
#include "observe/Log.h"
#include "wire/Crypto.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"
#include "wire/PlatformHttp.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kWriteTimeout = std::chrono::milliseconds(5000);
constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);
constexpr Duration kWatchInterval = std::chrono::milliseconds(300);
constexpr int kOperationIdBytes = 12;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

void
SetError(HttpResponse& aResponse,
         int aStatus,
         const char* aCode,
         const std::string& aMessage)
{
  schema::ErrorResponse response;
  response.mutable_error()->set_code(aCode);
  response.mutable_error()->set_message(aMessage);
  response.mutable_error()->set_run("not_run");
  aResponse.mStatus = aStatus;
  aResponse.mBody = ToJson(response);
}

// Writes the response to an error that the server itself has found.
void
SetServerError(int aStatus, HttpResponse& aResponse)
{
  switch (aStatus) {
    case 404:
      SetError(aResponse, aStatus, "not_found", "no such path");
      break;
    case 408:
      SetError(aResponse,
               aStatus,
               "body_timeout",
               "the body was not received in time; other requests wait");
      break;
    case 413:
      SetError(
        aResponse, aStatus, "payload_too_large", "the body is too large");
      break;
    case 503:
      SetError(aResponse,
               aStatus,
               "overloaded",
               "other requests need the connection or memory; retry later");
      break;
    default:
      aResponse.mStatus = aStatus;
      aResponse.mBody = "{}\n";
      break;
  }
}

schema::ResourceView
MakeView(const Resource& aResource, unsigned aRevision)
{
  schema::ResourceView view;
  view.set_kind(aResource.mKind);
  view.set_name(aResource.mName);
  view.set_version(aResource.mVersion);
  view.set_revision(aRevision);
  view.set_value(aResource.mValue);
  view.set_deleted(aResource.mValue.empty());
  return view;
}

std::optional<unsigned>
ParseNumber(const std::string& aText)
{
  unsigned number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

class ResourceApi::Impl
{
public:
  explicit Impl(schema::ApiSettings aSettings)
    : mSettings(std::move(aSettings))
    , mPlatform(HttpAddress{ mSettings.platform().address(),
                             mSettings.platform().port() },
                mSettings.name())
    , mStore(mPlatform, Now)
    , mServer(HttpServer::Options())
  {
    AddRoutes();
  }

  std::optional<std::string> Start()
  {
    const auto& listen = mSettings.listen();
    if (!mServer.Start(listen.address(), listen.port())) {
      return "listen: cannot bind port " + std::to_string(listen.port());
    }
    Log(LogLevel::Info, "api", "serving", { { "api", mSettings.name() } });
    return std::nullopt;
  }

  void Stop()
  {
    mStopping.store(true);
    mServer.Stop();
  }

private:
  using Handler = void (Impl::*)(const HttpRequest&, HttpResponse&);

  void AddRoutes()
  {
    mServer.SetSenderCheck(
      [this](const HttpRequest& aRequest, HttpResponse& aResponse) {
        return CheckOperator(aRequest, aResponse);
      });
    mServer.SetEvictionHandler([this](ConnectionUse aUse, std::size_t aOpen) {
      mEvictionLog.OnEviction(aUse, aOpen, std::chrono::steady_clock::now());
    });
    mServer.SetErrorHandler([](int aStatus, HttpResponse& aResponse) {
      SetServerError(aStatus, aResponse);
    });
    struct Route
    {
      const char* mMethod;
      const char* mPattern;
      Handler mHandler;
    };
    static constexpr Route kRoutes[] = {
      { "GET", "/api/v1/status", &Impl::OnStatus },
      { "POST", "/api/v1/import", &Impl::OnImport },
      { "GET", "/api/v1/watch", &Impl::OnWatch },
      { "GET", "/api/v1/([a-z]+)", &Impl::OnList },
      { "GET", "/api/v1/([a-z]+)/([^/]+)", &Impl::OnGet },
      { "PUT", "/api/v1/([a-z]+)/([^/]+)", &Impl::OnPut },
      { "DELETE", "/api/v1/([a-z]+)/([^/]+)", &Impl::OnDelete },
    };
    for (const Route& it : kRoutes) {
      const Handler handler = it.mHandler;
      mServer.Route(
        it.mMethod,
        it.mPattern,
        [this, handler](const HttpRequest& aRequest, HttpResponse& aResponse) {
          if (CheckOperator(aRequest, aResponse)) {
            (this->*handler)(aRequest, aResponse);
          }
        });
    }
  }

  bool CheckOperator(const HttpRequest& aRequest, HttpResponse& aResponse) const
  {
    if (IsOperator(aRequest)) {
      return true;
    }
    SetError(aResponse, 401, "unauthorized", "an operator key is required");
    return false;
  }

  bool IsOperator(const HttpRequest& aRequest) const
  {
    static const std::string kScheme = "Bearer ";
    const auto header = aRequest.mFindHeader("Authorization").value_or("");
    if (header.compare(0, kScheme.size(), kScheme) != 0) {
      return false;
    }
    const std::string hash = Sha256Hex(header.substr(kScheme.size()));
    const auto& keys = mSettings.operator_key_sha256();
    return std::any_of(
      keys.begin(), keys.end(), [&hash](const std::string& aKey) {
        return ConstantTimeEquals(aKey, hash);
      });
  }

  bool Load(ResourceTable& aTable, HttpResponse& aResponse)
  {
    if (mStore.Load(aTable) == StoreOutcome::Done) {
      return true;
    }
    SetError(aResponse,
             503,
             "store_unavailable",
             "the table service does not answer; nothing was changed");
    return false;
  }

  static bool CheckKind(const std::string& aKind, HttpResponse& aResponse)
  {
    const auto& kinds = ResourceKinds();
    if (std::find(kinds.begin(), kinds.end(), aKind) != kinds.end()) {
      return true;
    }
    SetError(aResponse,
             404,
             "unknown_kind",
             "unknown resource kind \"" + aKind + "\"");
    return false;
  }

  void OnList(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const std::string kind = aRequest.mCaptures[0];
    ResourceTable table;
    if (!CheckKind(kind, aResponse) || !Load(table, aResponse)) {
      return;
    }
    schema::ResourceList list;
    list.set_revision(table.Revision());
    for (const Resource* it : table.List(kind)) {
      *list.add_items() = MakeView(*it, table.Revision());
    }
    aResponse.mBody = ToJson(list);
  }

  void OnGet(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const std::string kind = aRequest.mCaptures[0];
    ResourceTable table;
    if (!CheckKind(kind, aResponse) || !Load(table, aResponse)) {
      return;
    }
    const Resource* resource = table.Find(kind, aRequest.mCaptures[1]);
    if (resource == nullptr || resource->mValue.empty()) {
      SetError(aResponse, 404, "not_found", "no such resource");
      return;
    }
    aResponse.mHeaders["ETag"] = std::to_string(resource->mVersion);
    aResponse.mBody = ToJson(MakeView(*resource, table.Revision()));
  }

  void OnPut(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    if (aRequest.mBody.empty()) {
      SetError(aResponse, 400, "invalid_resource", "the request body is empty");
      return;
    }
    WriteResource(aRequest, aRequest.mBody, aResponse);
  }

  void OnDelete(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    WriteResource(aRequest, std::string(), aResponse);
  }

  void WriteResource(const HttpRequest& aRequest,
                     const std::string& aValue,
                     HttpResponse& aResponse)
  {
    ResourceChange change;
    change.mKind = aRequest.mCaptures[0];
    change.mName = aRequest.mCaptures[1];
    change.mValue = aValue;
    if (!IsOperatorWritable(change.mKind)) {
      SetError(aResponse,
               404,
               "unknown_kind",
               "not a resource kind that operators may write: \"" +
                 change.mKind + "\"");
      return;
    }
    if (const auto match = aRequest.mFindHeader("If-Match")) {
      change.mIfVersion = ParseNumber(*match);
      if (!change.mIfVersion) {
        SetError(aResponse,
                 400,
                 "invalid_request",
                 "If-Match: must be a resource version");
        return;
      }
    }
    SetResponse(
      mStore.Apply({ change }, OperationId(aRequest), Now() + kWriteTimeout),
      aResponse);
  }

  void OnImport(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::Configuration configuration;
    if (const auto problem =
          ParseJson(aRequest.mBody, UnknownFields::Refuse, configuration)) {
      SetError(aResponse, 400, "invalid_resource", *problem);
      return;
    }
    std::vector<ResourceChange> changes;
    const auto* reflection = configuration.GetReflection();
    for (const std::string& kind : ResourceKinds()) {
      const auto* field = configuration.GetDescriptor()->FindFieldByName(kind);
      const int size = reflection->FieldSize(configuration, field);
      for (int n = 0; n < size && IsOperatorWritable(kind); ++n) {
        ResourceChange change;
        change.mKind = kind;
        change.mValue = ToCompactJson(
          reflection->GetRepeatedMessage(configuration, field, n));
        std::string reason;
        change.mName = ResourceNameOf(kind, change.mValue, reason).value_or("");
        changes.push_back(std::move(change));
      }
    }
    SetResponse(
      mStore.Apply(changes, OperationId(aRequest), Now() + kWriteTimeout),
      aResponse);
  }

  static std::string OperationId(const HttpRequest& aRequest)
  {
    const auto given = aRequest.mFindHeader("Idempotency-Key");
    // Hashed because it becomes part of a path at the table service.
    return given ? Sha256Hex(*given) : "op-" + RandomHex(kOperationIdBytes);
  }

  static void SetResponse(const ChangeResult& aResult, HttpResponse& aResponse)
  {
    schema::ResourceView view;
    switch (aResult.mStatus) {
      case ChangeStatus::Accepted:
        view.set_version(aResult.mVersion);
        view.set_revision(aResult.mRevision);
        aResponse.mBody = ToJson(view);
        break;
      case ChangeStatus::Conflict:
        aResponse.mStatus = 409;
        aResponse.mBody = ToJson(MakeView(aResult.mCurrent, 0));
        break;
      case ChangeStatus::Invalid:
        SetError(aResponse, 400, "invalid_resource", aResult.mReason);
        break;
      case ChangeStatus::NotFound:
        SetError(aResponse, 404, "not_found", "no such resource");
        break;
      case ChangeStatus::Unavailable:
        SetError(aResponse, 503, "store_unavailable", "nothing was written");
        break;
      case ChangeStatus::Unknown:
        SetError(aResponse,
                 504,
                 "outcome_unknown",
                 "repeat with the same Idempotency-Key to learn the outcome");
        break;
    }
  }

  void OnStatus(const HttpRequest&, HttpResponse& aResponse)
  {
    schema::ConfigurationStatus status;
    unsigned accepted = 0;
    if (mStore.ReadRevision(accepted) != StoreOutcome::Done) {
      SetError(aResponse,
               503,
               "store_unavailable",
               "cannot read the accepted revision");
      return;
    }
    status.set_accepted(accepted);
    unsigned lowest = accepted;
    bool all = true;
    for (const auto& it : mSettings.routers()) {
      auto* router = status.add_routers();
      ReadRouterRevision(it, *router);
      all = all && router->reached();
      if (router->reached()) {
        lowest = std::min(lowest, router->revision());
      }
    }
    status.set_in_force(lowest);
    status.set_in_force_everywhere(all && lowest == accepted);
    aResponse.mBody = ToJson(status);
  }

  static void ReadRouterRevision(const schema::Endpoint& aEndpoint,
                                 schema::RouterRevision& aRevision)
  {
    aRevision.set_router(aEndpoint.address() + ":" +
                         std::to_string(aEndpoint.port()));
    HttpCallSpec spec;
    spec.mPath = "/debug/status";
    spec.mConnectTimeout = kStatusTimeout;
    spec.mReadTimeout = kStatusTimeout;
    HttpCall call(HttpAddress{ aEndpoint.address(), aEndpoint.port() });
    const HttpResult result = call.Run(spec);
    schema::RouterStatus status;
    if (result.mStatus == 200 &&
        !ParseJson(result.mBody, UnknownFields::Ignore, status)) {
      aRevision.set_router(status.name());
      aRevision.set_revision(status.revision());
      aRevision.set_reached(true);
    }
  }

  // Streams one JSON line for each resource that was written after the given
  // version, then one for each that is written later. Several writes of a
  // resource within one kWatchInterval give a single line with the latest.
  void OnWatch(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const auto from =
      ParseNumber(aRequest.mFindParameter("after").value_or("0"));
    if (!from) {
      SetError(
        aResponse, 400, "invalid_request", "after: must be a resource version");
      return;
    }
    aResponse.mContentType = "application/x-ndjson";
    aResponse.mStream = [this, after = *from](BodyWriter& aWriter) mutable {
      while (!mStopping.load() && aWriter.IsOpen()) {
        if (!WriteChanges(after, aWriter)) {
          return false;
        }
        std::this_thread::sleep_for(kWatchInterval);
      }
      return true;
    };
  }

  bool WriteChanges(unsigned& aAfter, BodyWriter& aWriter)
  {
    ResourceTable table;
    if (mStore.Load(table) != StoreOutcome::Done) {
      return true;
    }
    unsigned newest = aAfter;
    std::string lines;
    for (const std::string& kind : ResourceKinds()) {
      for (const Resource* it : table.ChangedAfter(kind, aAfter)) {
        lines += ToJson(MakeView(*it, table.Revision())) + "\n";
        newest = std::max(newest, it->mVersion);
      }
    }
    aAfter = newest;
    return lines.empty() || aWriter.Write(lines);
  }

  schema::ApiSettings mSettings;
  PlatformHttp mPlatform;
  ResourceStore mStore;
  std::atomic<bool> mStopping{ false };
  EvictionLog mEvictionLog{ "operators" };
  HttpServer mServer;
};

ResourceApi::ResourceApi(schema::ApiSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

ResourceApi::~ResourceApi() = default;

std::optional<std::string>
ResourceApi::Start()
{
  return mImpl->Start();
}

void
ResourceApi::Stop()
{
  mImpl->Stop();
}

} // namespace quetzalquay
