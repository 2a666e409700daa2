#include "standin/StandinEngine.h"

#include "generated/messages.pb.h"
#include "observe/Log.h"
#include "standin/EngineBatch.h"
#include "standin/EngineOrders.h"
#include "standin/MortalServer.h"
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
Refuse(HttpResponse& aResponse,
       int aStatus,
       const char* aCode,
       const std::string& aMessage)
{
  aResponse.mStatus = aStatus;
  aResponse.mBody = ErrorJson(aCode, aMessage);
}

std::string
PeerOf(const HttpRequest& aRequest)
{
  return aRequest.mHeader("X-Quetzal-Router").value_or(std::string());
}

int
NumberOf(const HttpRequest& aRequest, const char* aParameter)
{
  const auto text = aRequest.mParameter(aParameter).value_or("0");
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

  MortalServer& Server() { return mServer; }

private:
  MortalServer::Hooks MakeHooks()
  {
    MortalServer::Hooks hooks;
    hooks.mAddRoutes = [this](HttpServer& aServer) { AddRoutes(aServer); };
    hooks.mOnDeath = [this] { mBatch.Restart(); };
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
    using Member = void (Impl::*)(const HttpRequest&, HttpResponse&);
    struct Row
    {
      const char* mMethod;
      const char* mPattern;
      Member mMember;
    };
    static constexpr Row kRows[] = {
      { "POST", "/v1/completions", &Impl::OnStart },
      { "GET", "/v1/streams/([^/]+)", &Impl::OnReattach },
      { "DELETE", "/v1/streams/([^/]+)", &Impl::OnCancel },
      { "GET", "/v1/load", &Impl::OnLoad },
      { "GET", "/v1/cache_events", &Impl::OnCacheEvents },
      { "POST", "/v1/orders", &Impl::OnOrder },
      { "GET", "/v1/orders", &Impl::OnReadOrder },
    };
    for (const Row& it : kRows) {
      const Member member = it.mMember;
      aServer.Route(
        it.mMethod,
        it.mPattern,
        [this, member](const HttpRequest& aRequest, HttpResponse& aResponse) {
          if (!mServer.Faults().Pass(PeerOf(aRequest))) {
            aResponse.mStream = [](BodyWriter&) { return false; };
            return;
          }
          (this->*member)(aRequest, aResponse);
        });
    }
  }

  void OnStart(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::EngineRequest request;
    if (const auto reason =
          ParseJson(aRequest.mBody, UnknownFields::Ignore, request)) {
      Refuse(aResponse, 400, "invalid_request", *reason);
      return;
    }
    // Lets tests name a prompt that crashes the engine.
    if (request.prompt().find("CRASH-THE-ENGINE") != std::string::npos) {
      std::_Exit(3);
    }
    const std::string key =
      aRequest.mHeader("Idempotency-Key").value_or(std::string());
    RefPtr<EngineGeneration> generation;
    switch (mBatch.Add(request, key, generation)) {
      case EngineBatch::Admission::Accepted:
        Stream(generation,
               request.attempt(),
               request.resume().tokens_size(),
               PeerOf(aRequest),
               aResponse);
        break;
      case EngineBatch::Admission::Full:
        Refuse(aResponse, 503, "not_started", "the queue is full");
        break;
      case EngineBatch::Admission::VersionNotLoaded:
        Refuse(aResponse, 409, "version_not_loaded", request.version());
        break;
    }
  }

  void OnReattach(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const int attempt = NumberOf(aRequest, "attempt");
    const auto generation = mBatch.Reattach(aRequest.mCaptures[0], attempt);
    if (generation == nullptr) {
      Refuse(aResponse, 404, "unknown_stream", aRequest.mCaptures[0]);
      return;
    }
    Stream(generation,
           attempt,
           NumberOf(aRequest, "from"),
           PeerOf(aRequest),
           aResponse);
  }

  void OnCancel(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    const int length =
      mBatch.Cancel(aRequest.mCaptures[0], NumberOf(aRequest, "attempt"));
    if (length < 0) {
      Refuse(aResponse, 404, "unknown_stream", aRequest.mCaptures[0]);
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
      ToJson(mBatch.CacheEventsAfter(NumberOf(aRequest, "after")));
  }

  void OnOrder(const HttpRequest& aRequest, HttpResponse& aResponse)
  {
    schema::EngineOrder order;
    if (const auto reason =
          ParseJson(aRequest.mBody, UnknownFields::Ignore, order)) {
      Refuse(aResponse, 400, "invalid_request", *reason);
      return;
    }
    const auto newer = mOrders.Take(order);
    aResponse.mStatus = newer ? 409 : 200;
    aResponse.mBody = newer ? "{\"fence\":" + std::to_string(*newer) + "}"
                            : ToJson(mOrders.Current());
  }

  void OnReadOrder(const HttpRequest&, HttpResponse& aResponse)
  {
    aResponse.mBody = ToJson(mOrders.Current());
  }

  void Stream(const RefPtr<EngineGeneration>& aGeneration,
              int aAttempt,
              int aFrom,
              const std::string& aPeer,
              HttpResponse& aResponse)
  {
    aResponse.mContentType = "text/event-stream";
    // Counts the reader as gone also when the connection never gets here.
    const std::shared_ptr<void> reading(nullptr, [this, aGeneration](void*) {
      mBatch.StopReading(*aGeneration);
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
      const auto length = mBatch.WaitBeyond(aGeneration, index);
      if (!length || !mServer.Faults().Pass(aPeer)) {
        return false;
      }
      if (*length <= index) {
        return aWriter.Write(FinishEvent(aGeneration, aAttempt, *length) +
                             "data: [DONE]\n\n");
      }
      if (!aWriter.Write(EventAt(aGeneration, aAttempt, index))) {
        return false;
      }
      ++index;
    }
  }

  schema::EngineEvent EventBase(const EngineGeneration& aGeneration,
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

  std::string EventAt(const EngineGeneration& aGeneration,
                      int aAttempt,
                      int aIndex) const
  {
    schema::EngineEvent event = EventBase(aGeneration, aAttempt, aIndex);
    event.set_token(StandinToken(aGeneration.mId, aIndex));
    event.set_text(StandinText(aGeneration.mId, aIndex));
    return "data: " + ToCompactJson(event) + "\n\n";
  }

  std::string FinishEvent(const EngineGeneration& aGeneration,
                          int aAttempt,
                          int aLength) const
  {
    schema::EngineEvent event = EventBase(aGeneration, aAttempt, aLength);
    event.set_finish_reason("length");
    event.mutable_usage()->set_prompt_tokens(aGeneration.mPromptTokens);
    event.mutable_usage()->set_cached_tokens(aGeneration.mCachedTokens);
    event.mutable_usage()->set_completion_tokens(aLength);
    return "data: " + ToCompactJson(event) + "\n\n";
  }

  schema::StandinEngineSettings mSettings;
  MortalServer mServer;
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
