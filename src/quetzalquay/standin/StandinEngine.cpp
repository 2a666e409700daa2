#include "standin/StandinEngine.h"

#include "generated/messages.pb.h"
#include "observe/Log.h"
#include "standin/EngineBatch.h"
#include "standin/EngineOrders.h"
#include "standin/FaultInjectionServer.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"

#include <cstdlib>
#include <utility>

namespace quetzalquay {

namespace {

std::string
ErrorJson(const char* aCode, const std::string& aMessage)
{
  schema::ErrorResponse response;
  response.mutable_error()->set_code(aCode);
  response.mutable_error()->set_message(aMessage);
  return ToCompactJson(response);
}

void
SetError(HttpResponse& aResponse,
         int aStatus,
         const char* aCode,
         const std::string& aMessage)
{
  aResponse.mStatus = aStatus;
  aResponse.mBody = ErrorJson(aCode, aMessage);
}

std::string
PeerName(const HttpRequest& aRequest)
{
  return aRequest.mFindHeader("X-Quetzal-Router").value_or(std::string());
}

int
IntegerParameter(const HttpRequest& aRequest, const char* aParameter)
{
  const auto text = aRequest.mFindParameter(aParameter).value_or("0");
  return static_cast<int>(std::strtol(text.c_str(), nullptr, 10));
}

} // namespace

class StandinEngine::Impl
{
public:
  explicit Impl(schema::StandinEngineSettings aSettings)
    : mSettings(std::move(aSettings))
    , mServer(mSettings.listen(), mSettings.control(), MakeHooks())
    , mBatch(mSettings, mServer.Faults())
    , mOrders(mSettings, mBatch)
  {
  }

  FaultInjectionServer& Server() { return mServer; }

private:
  FaultInjectionServer::Hooks MakeHooks()
  {
    FaultInjectionServer::Hooks hooks;
    hooks.mAddRoutes = [this](HttpServer& aServer) { AddRoutes(aServer); };
    hooks.mResetState = [this] { mBatch.Restart(); };
    hooks.mRecords = [this] { return ToCompactJson(mBatch.Records()); };
    hooks.mOnFault = [this](const std::string& aKind, Time, double) {
      const bool known = aKind == "leave" || aKind == "stay";
      if (known) {
        mOrders.SetLeaving(aKind == "leave");
      }
      return known;
    };
    return hooks;
  }

  void AddRoutes(HttpServer& aServer)
  {
    using Handler = void (Impl::*)(const HttpRequest&, HttpResponse&);
    struct RouteEntry
    {
      const char* mMethod;
      const char* mPattern;
      Handler mHandler;
    };
    static constexpr RouteEntry kRoutes[] = {
      { "POST", "/v1/completions", &Impl::OnStart },
      { "GET", "/v1/streams/([^/]+)", &Impl::OnReattach },
      { "DELETE", "/v1/streams/([^/]+)", &Impl::OnCancel },
      { "GET", "/v1/load", &Impl::OnLoad },
      { "GET", "/v1/cache_events", &Impl::OnCacheEvents },
      { "POST", "/v1/orders", &Impl::OnOrder },
      { "GET", "/v1/orders", &Impl::OnReadOrder },
    };
    for (const RouteEntry& it : kRoutes) {
      const Handler handler = it.mHandler;
      aServer.Route(
        it.mMethod,
        it.mPattern,
        [this, handler](const HttpRequest& aRequest, HttpResponse& aResponse) {
          if (!mServer.Faults().WaitWhileBlocked(PeerName(aRequest))) {
            aResponse.mStream = [](BodyWriter&) { return false; };
            return;
          }
          (this->*handler)(aRequest, aResponse);
        });
    }
  }

  void OnStart(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::EngineRequest request;
    if (const auto reason =
          ParseJson(aRequest.mBody, UnknownFields::Ignore, request)) {
      SetError(aResponse, 400, "invalid_request", *reason);
      return;
    }
    // Lets tests simulate a prompt that crashes the engine.
    if (request.prompt().find("CRASH-THE-ENGINE") != std::string::npos) {
      std::_Exit(3);
    }
    const std::string key =
      aRequest.mFindHeader("Idempotency-Key").value_or(std::string());
    RefPtr<EngineGeneration> generation;
    switch (mBatch.Add(request, key, generation)) {
      case EngineBatch::Admission::Accepted:
        StartStream(generation,
                    request.attempt(),
                    request.resume().tokens_size(),
                    PeerName(aRequest),
                    aResponse);
        break;
      case EngineBatch::Admission::Full:
        SetError(aResponse, 503, "not_started", "the queue is full");
        break;
      case EngineBatch::Admission::VersionNotLoaded:
        SetError(aResponse, 409, "version_not_loaded", request.version());
        break;
    }
  }

  void OnReattach(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const int attempt = IntegerParameter(aRequest, "attempt");
    const auto generation = mBatch.Reattach(aRequest.mCaptures[0], attempt);
    if (generation == nullptr) {
      SetError(aResponse, 404, "unknown_stream", aRequest.mCaptures[0]);
      return;
    }
    StartStream(generation,
                attempt,
                IntegerParameter(aRequest, "from"),
                PeerName(aRequest),
                aResponse);
  }

  void OnCancel(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const int length = mBatch.Cancel(aRequest.mCaptures[0],
                                     IntegerParameter(aRequest, "attempt"));
    if (length < 0) {
      SetError(aResponse, 404, "unknown_stream", aRequest.mCaptures[0]);
      return;
    }
    schema::EngineStop stop;
    stop.set_stopped_at(length);
    aResponse.mBody = ToJson(stop);
  }

  void OnLoad(const HttpRequest&, HttpResponse& aResponse)
  {
    schema::EngineLoad load = mBatch.Load();
    load.set_state(mOrders.State());
    aResponse.mBody = ToJson(load);
  }

  void OnCacheEvents(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    aResponse.mBody =
      ToJson(mBatch.CacheEventsAfter(IntegerParameter(aRequest, "after")));
  }

  void OnOrder(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::EngineOrder order;
    if (const auto reason =
          ParseJson(aRequest.mBody, UnknownFields::Ignore, order)) {
      SetError(aResponse, 400, "invalid_request", *reason);
      return;
    }
    const auto newerFence = mOrders.Apply(order);
    aResponse.mStatus = newerFence ? 409 : 200;
    aResponse.mBody = newerFence
                        ? "{\"fence\":" + std::to_string(*newerFence) + "}"
                        : ToJson(mOrders.Current());
  }

  void OnReadOrder(const HttpRequest&, HttpResponse& aResponse)
  {
    aResponse.mBody = ToJson(mOrders.Current());
  }

  void StartStream(const RefPtr<EngineGeneration>& aGeneration,
                   int aAttempt,
                   int aFrom,
                   const std::string& aPeer,
                   HttpResponse& aResponse)
  {
    aResponse.mContentType = "text/event-stream";
    // Detaches the reader also if the connection closes before the stream is
    // written.
    const std::shared_ptr<void> reading(nullptr, [this, aGeneration](void*) {
      mBatch.DetachReader(*aGeneration);
    });
    aResponse.mStream = [this, aGeneration, aAttempt, aFrom, aPeer, reading](
                          BodyWriter& aWriter) {
      return WriteStream(*aGeneration, aAttempt, aFrom, aPeer, aWriter);
    };
  }

  bool WriteStream(EngineGeneration& aGeneration,
                   int aAttempt,
                   int aFrom,
                   const std::string& aPeer,
                   BodyWriter& aWriter)
  {
    int index = aFrom;
    for (;;) {
      const auto length = mBatch.WaitForToken(aGeneration, index);
      if (!length || !mServer.Faults().WaitWhileBlocked(aPeer)) {
        return false;
      }
      if (*length <= index) {
        return aWriter.Write(FormatFinishEvent(aGeneration, aAttempt, *length) +
                             "data: [DONE]\n\n");
      }
      if (!aWriter.Write(FormatTokenEvent(aGeneration, aAttempt, index))) {
        return false;
      }
      ++index;
    }
  }

  schema::EngineEvent MakeEvent(const EngineGeneration& aGeneration,
                                int aAttempt,
                                int aIndex) const
  {
    schema::EngineEvent event;
    event.set_request_id(aGeneration.mRequest.request_id());
    event.set_attempt(aAttempt);
    event.set_generation(aGeneration.mId);
    event.set_index(aIndex);
    event.set_model(aGeneration.mRequest.model());
    event.set_version(aGeneration.mRequest.version());
    event.set_adapter_version(aGeneration.mRequest.adapter_version());
    return event;
  }

  std::string FormatTokenEvent(const EngineGeneration& aGeneration,
                               int aAttempt,
                               int aIndex) const
  {
    schema::EngineEvent event = MakeEvent(aGeneration, aAttempt, aIndex);
    event.set_token(StandinToken(aGeneration.mId, aIndex));
    event.set_text(StandinText(aGeneration.mId, aIndex));
    return "data: " + ToCompactJson(event) + "\n\n";
  }

  std::string FormatFinishEvent(const EngineGeneration& aGeneration,
                                int aAttempt,
                                int aLength) const
  {
    schema::EngineEvent event = MakeEvent(aGeneration, aAttempt, aLength);
    event.set_finish_reason("length");
    event.mutable_usage()->set_prompt_tokens(aGeneration.mPromptTokens);
    event.mutable_usage()->set_cached_tokens(aGeneration.mCachedTokens);
    event.mutable_usage()->set_completion_tokens(aLength);
    return "data: " + ToCompactJson(event) + "\n\n";
  }

  schema::StandinEngineSettings mSettings;
  FaultInjectionServer mServer;
  EngineBatch mBatch;
  EngineOrders mOrders;
};

StandinEngine::StandinEngine(schema::StandinEngineSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

StandinEngine::~StandinEngine() = default;

std::optional<std::string>
StandinEngine::Start()
{
  return mImpl->Server().Start();
}

void
StandinEngine::Stop()
{
  mImpl->Server().Stop();
}

} // namespace quetzalquay
