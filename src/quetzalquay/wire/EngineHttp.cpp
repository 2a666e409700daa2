#include "wire/EngineHttp.h"

#include "generated/messages.pb.h"
#include "wire/HttpClient.h"
#include "wire/Json.h"
#include "wire/SseParser.h"
#include "wire/TokenJson.h"

#include <utility>

namespace quetzalquay {

namespace {

// Silence after which a connection is closed to release its thread. The
// decision logic has abandoned the attempt long before.
constexpr Duration kStreamReadTimeout = std::chrono::seconds(60);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);

schema::EngineRequest
ToMessage(const EngineStartRequest& aStart)
{
  schema::EngineRequest message;
  message.set_model(aStart.mModel);
  message.set_version(aStart.mVersion);
  message.set_adapter(aStart.mAdapter);
  message.set_adapter_version(aStart.mAdapterVersion);
  message.set_prompt(aStart.mPrompt);
  message.set_max_tokens(aStart.mMaxTokens);
  message.set_temperature(aStart.mTemperature);
  message.set_seed(aStart.mSeed);
  message.set_priority(aStart.mPriority);
  message.set_stream(true);
  message.set_request_id(aStart.mRequestId);
  message.set_attempt(aStart.mAttempt);
  if (!aStart.mGeneration.empty()) {
    auto* resume = message.mutable_resume();
    resume->set_generation(aStart.mGeneration);
    resume->mutable_tokens()->Add(aStart.mTokens.begin(), aStart.mTokens.end());
  }
  return message;
}

AttemptEnd
ClassifyErrorResponse(const HttpResult& aResult)
{
  if (aResult.mStatus == 409) {
    return AttemptEnd::VersionNotLoaded;
  }
  if (aResult.mStatus == 404) {
    return AttemptEnd::UnknownStream;
  }
  if (aResult.mStatus == 400) {
    return AttemptEnd::InvalidRequest;
  }
  schema::ErrorResponse error;
  ParseJson(aResult.mBody, UnknownFields::Ignore, error);
  const bool notStarted = error.error().code() == "not_started";
  return notStarted ? AttemptEnd::NotStarted : AttemptEnd::Broken;
}

AttemptEnd
ClassifyResult(const HttpResult& aResult)
{
  switch (aResult.mOutcome) {
    case HttpOutcome::Refused:
      return AttemptEnd::Refused;
    case HttpOutcome::ConnectTimeout:
      return AttemptEnd::Unreachable;
    case HttpOutcome::Broken:
      return AttemptEnd::Broken;
    case HttpOutcome::Answered:
      break;
  }
  return aResult.mStatus == 200 ? AttemptEnd::Broken
                                : ClassifyErrorResponse(aResult);
}

class HttpStream : public EngineStream
{
public:
  HttpStream(const TargetAddress& aTarget,
             int aAttempt,
             RefPtr<EngineSink> aSink)
    : mCall(MakeRef<HttpCall>(HttpAddress{ aTarget.mHost, aTarget.mPort }))
    , mAttempt(aAttempt)
    , mSink(std::move(aSink))
  {
  }

  void Close() override { mCall->Close(); }

  // Reads the stream to its end on the calling thread.
  void ReadToEnd(const HttpCallSpec& aSpec)
  {
    SseParser reader(
      [this](const SseEvent& aEvent) { return HandleEvent(aEvent); });
    const HttpResult result = mCall->RunStreamed(
      aSpec, [&reader](const char* aData, std::size_t aSize) {
        return reader.Feed(aData, aSize);
      });
    if (!mFinished) {
      mSink->OnStreamEnd(mAttempt, ClassifyResult(result));
    }
  }

private:
  bool HandleEvent(const SseEvent& aEvent)
  {
    if (aEvent.mData == "[DONE]") {
      return true;
    }
    StreamEvent event;
    if (!ParseStreamEvent(aEvent.mData, event)) {
      return false;
    }
    mFinished = mFinished || !event.mFinishReason.empty();
    return mSink->OnStreamEvent(std::move(event));
  }

  RefPtr<HttpCall> mCall;
  int mAttempt;
  RefPtr<EngineSink> mSink;
  bool mFinished = false;
};

HttpResult
CallEngine(const TargetAddress& aTarget,
           HttpCallSpec aSpec,
           const std::string& aRouterName,
           Duration aTimeout)
{
  aSpec.mConnectTimeout = aTimeout;
  aSpec.mReadTimeout = aTimeout;
  aSpec.mHeaders["X-Quetzal-Router"] = aRouterName;
  HttpCall call(HttpAddress{ aTarget.mHost, aTarget.mPort });
  return call.Run(aSpec);
}

} // namespace

EngineHttp::EngineHttp(std::string aRouterName, ThreadPool& aThreads)
  : mRouterName(std::move(aRouterName))
  , mThreads(aThreads)
{
}

RefPtr<EngineStream>
EngineHttp::Start(const TargetAddress& aTarget,
                  EngineStartRequest aStart,
                  RefPtr<EngineSink> aSink)
{
  auto stream = MakeRef<HttpStream>(aTarget, aStart.mAttempt, std::move(aSink));
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/v1/completions";
  spec.mBody = ToCompactJson(ToMessage(aStart));
  spec.mHeaders["X-Quetzal-Router"] = mRouterName;
  if (!aStart.mTraceParent.empty()) {
    spec.mHeaders["traceparent"] = aStart.mTraceParent;
  }
  if (!aStart.mCallerKey.empty()) {
    spec.mHeaders["Idempotency-Key"] = aStart.mCallerKey;
  }
  spec.mConnectTimeout = kConnectTimeout;
  spec.mReadTimeout = kStreamReadTimeout;
  mThreads.Submit([stream, spec] { stream->ReadToEnd(spec); });
  return stream;
}

RefPtr<EngineStream>
EngineHttp::Reattach(const TargetAddress& aTarget,
                     const std::string& aGeneration,
                     int aAttempt,
                     int aFrom,
                     RefPtr<EngineSink> aSink)
{
  auto stream = MakeRef<HttpStream>(aTarget, aAttempt, std::move(aSink));
  HttpCallSpec spec;
  spec.mPath = "/v1/streams/" + aGeneration + "?from=" + std::to_string(aFrom) +
               "&attempt=" + std::to_string(aAttempt);
  spec.mHeaders["X-Quetzal-Router"] = mRouterName;
  spec.mConnectTimeout = kConnectTimeout;
  spec.mReadTimeout = kStreamReadTimeout;
  mThreads.Submit([stream, spec] { stream->ReadToEnd(spec); });
  return stream;
}

CancelResult
EngineHttp::Cancel(const TargetAddress& aTarget,
                   const std::string& aGeneration,
                   int aAttempt,
                   Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mMethod = "DELETE";
  spec.mPath =
    "/v1/streams/" + aGeneration + "?attempt=" + std::to_string(aAttempt);
  const HttpResult result = CallEngine(aTarget, spec, mRouterName, aTimeout);
  const bool answered = result.mOutcome == HttpOutcome::Answered;
  const bool stopped =
    answered && (result.mStatus == 200 || result.mStatus == 404);
  return stopped ? CancelResult::Stopped : CancelResult::NoAnswer;
}

std::optional<EngineLoadReport>
EngineHttp::ReadLoad(const TargetAddress& aTarget,
                     Duration aTimeout,
                     bool& aRefused)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/load";
  const HttpResult result = CallEngine(aTarget, spec, mRouterName, aTimeout);
  aRefused = result.mOutcome == HttpOutcome::Refused;
  schema::EngineLoad load;
  if (result.mOutcome != HttpOutcome::Answered || result.mStatus != 200 ||
      ParseJson(result.mBody, UnknownFields::Ignore, load)) {
    return std::nullopt;
  }
  EngineLoadReport report;
  report.mIncarnation = load.incarnation();
  report.mState = load.state();
  report.mRunning = load.running();
  report.mWaiting = load.waiting();
  return report;
}

std::optional<EngineCacheReport>
EngineHttp::ReadCache(const TargetAddress& aTarget,
                      int aAfter,
                      Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/cache_events?after=" + std::to_string(aAfter);
  const HttpResult result = CallEngine(aTarget, spec, mRouterName, aTimeout);
  schema::CacheEvents events;
  if (result.mOutcome != HttpOutcome::Answered || result.mStatus != 200 ||
      ParseJson(result.mBody, UnknownFields::Ignore, events)) {
    return std::nullopt;
  }
  EngineCacheReport report;
  report.mOldestSequence = events.oldest();
  report.mNewestSequence = events.newest();
  for (const auto& it : events.events()) {
    report.mEntries.push_back({ it.prefix_hash(), it.kind() == "stored" });
  }
  return report;
}

} // namespace quetzalquay
