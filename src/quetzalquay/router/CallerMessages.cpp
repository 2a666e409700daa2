#include "router/CallerMessages.h"

#include "config/Snapshot.h"
#include "core/Hash.h"
#include "generated/messages.pb.h"
#include "wire/Crypto.h"
#include "wire/HttpServer.h"
#include "wire/Json.h"
#include "wire/TokenJson.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace quetzalquay {

namespace {

constexpr int kDefaultMaxTokens = 256;
constexpr int kMaxTokensLimit = 32768;
constexpr std::size_t kMaxCallerKeyLength = 200;
constexpr int kRequestIdBytes = 12;

Failure
MakeNotRunFailure(FailureCode aCode, std::string aMessage)
{
  Failure failure;
  failure.mCode = aCode;
  failure.mVerdict = RunVerdict::NotRun;
  failure.mMessage = std::move(aMessage);
  return failure;
}

Failure
MakeInvalidRequest(std::string aMessage)
{
  return MakeNotRunFailure(FailureCode::InvalidRequest, std::move(aMessage));
}

std::optional<Failure>
ParseDeadline(const HttpRequest& aRequest,
              const CallerLimits& aLimits,
              Time aNow,
              RequestContext& aContext)
{
  const auto header = aRequest.mFindHeader("X-Request-Deadline-Ms");
  if (!header) {
    aContext.mDeadline = aNow + aLimits.mDefaultDeadline;
    return std::nullopt;
  }
  long milliseconds = 0;
  const char* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, milliseconds);
  const long maxMilliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLimits.mMaxDeadline)
      .count();
  if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds < 1 ||
      milliseconds > maxMilliseconds) {
    return MakeInvalidRequest(
      "X-Request-Deadline-Ms: must be a whole number from 1 to " +
      std::to_string(maxMilliseconds));
  }
  aContext.mDeadline = aNow + std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar >= ' ' && aChar <= '~';
  });
}

template<typename Names>
bool
Contains(const Names& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

std::string
MakeChatPrompt(const schema::CallerRequest& aBody)
{
  std::string prompt;
  for (const auto& it : aBody.messages()) {
    prompt += it.role() + ": " + it.content() + "\n";
  }
  return prompt + "assistant:";
}

std::optional<Failure>
FillModel(const schema::CallerRequest& aBody,
          const Snapshot& aSnapshot,
          RequestContext& aContext)
{
  const schema::Workspace* workspace =
    aSnapshot.FindWorkspace(aContext.mWorkspace);
  const schema::Model* model = aSnapshot.FindModel(aBody.model());
  const schema::Service* service = aSnapshot.FindModelPool(aBody.model());
  if (model == nullptr || service == nullptr || workspace == nullptr ||
      !Contains(workspace->models(), aBody.model())) {
    return MakeNotRunFailure(FailureCode::UnknownModel,
                             "model: no such model for this workspace");
  }
  aContext.mModel = model->name();
  aContext.mVersion = aSnapshot.ServingVersion(*model);
  aContext.mService = service->name();
  aContext.mPreset = static_cast<RecoveryPreset>(service->recovery());
  if (aBody.adapter().empty()) {
    return std::nullopt;
  }
  const schema::Adapter* adapter =
    aSnapshot.FindAdapter(aBody.model(), aBody.adapter());
  if (adapter == nullptr) {
    return MakeNotRunFailure(FailureCode::UnknownModel,
                             "adapter: no such adapter of this model");
  }
  aContext.mAdapter = adapter->name();
  aContext.mAdapterVersion = adapter->version();
  return std::nullopt;
}

std::optional<Failure>
FillSampling(const schema::CallerRequest& aBody, RequestContext& aContext)
{
  const int maxTokens =
    aBody.has_max_tokens() ? aBody.max_tokens() : kDefaultMaxTokens;
  if (maxTokens < 1 || maxTokens > kMaxTokensLimit) {
    return MakeInvalidRequest("max_tokens: must be from 1 to " +
                              std::to_string(kMaxTokensLimit));
  }
  const double temperature =
    aBody.has_temperature() ? aBody.temperature() : 1.0;
  if (!std::isfinite(temperature) || temperature < 0 || temperature > 2) {
    return MakeInvalidRequest("temperature: must be from 0 to 2");
  }
  if (aBody.has_n() && aBody.n() != 1) {
    return MakeInvalidRequest("n: must be 1; only one choice is supported");
  }
  aContext.mMaxTokens = maxTokens;
  aContext.mTemperature = temperature;
  aContext.mSeed = aBody.has_seed()
                     ? aBody.seed()
                     : static_cast<unsigned>(StableHash(aContext.mRequestId));
  return std::nullopt;
}

schema::CallerResponse
MakeResponseBase(const RequestContext& aContext, bool aStreamed)
{
  schema::CallerResponse response;
  response.set_id(aContext.mRequestId);
  response.set_model(aContext.mModel);
  if (aContext.mFormat == RequestFormat::Completions) {
    response.set_object("text_completion");
  } else {
    response.set_object(aStreamed ? "chat.completion.chunk"
                                  : "chat.completion");
  }
  return response;
}

std::string
FormatEvent(const std::string& aEventId, const std::string& aData)
{
  std::string event;
  event.reserve(aEventId.size() + aData.size() + 16);
  if (!aEventId.empty()) {
    event.append("id: ").append(aEventId).append("\n");
  }
  event.append("data: ").append(aData).append("\n\n");
  return event;
}

// Workspace of the caller's key; null if there is none.
const schema::Workspace*
FindCallersWorkspace(const HttpRequest& aRequest, const Snapshot& aSnapshot)
{
  static const std::string kScheme = "Bearer ";
  const std::string header =
    aRequest.mFindHeader("Authorization").value_or(std::string());
  return header.compare(0, kScheme.size(), kScheme) == 0
           ? aSnapshot.FindWorkspaceByKey(header.substr(kScheme.size()))
           : nullptr;
}

} // namespace

std::optional<Failure>
CheckCallerKey(const HttpRequest& aRequest, const Snapshot& aSnapshot)
{
  if (FindCallersWorkspace(aRequest, aSnapshot) != nullptr) {
    return std::nullopt;
  }
  return MakeNotRunFailure(
    FailureCode::Unauthorized,
    "Authorization: must hold a workspace key as a bearer token");
}

std::optional<Failure>
ParseCallerHeaders(const HttpRequest& aRequest,
                   const Snapshot& aSnapshot,
                   const CallerLimits& aLimits,
                   Time aNow,
                   RequestContext& aContext)
{
  if (auto failure = CheckCallerKey(aRequest, aSnapshot)) {
    return failure;
  }
  const schema::Workspace* workspace =
    FindCallersWorkspace(aRequest, aSnapshot);
  aContext.mRequestId = "r-" + RandomHex(kRequestIdBytes);
  aContext.mWorkspace = workspace->name();
  aContext.mPriority = workspace->priority();
  aContext.mWeight = workspace->weight();
  aContext.mCallerKey =
    aRequest.mFindHeader("Idempotency-Key").value_or(std::string());
  if (aContext.mCallerKey.size() > kMaxCallerKeyLength ||
      !IsPrintable(aContext.mCallerKey)) {
    return MakeInvalidRequest(
      "Idempotency-Key: must have at most 200 printable "
      "characters");
  }
  const std::string nonIdempotent =
    aRequest.mFindHeader("X-Non-Idempotent").value_or("false");
  if (nonIdempotent != "true" && nonIdempotent != "false") {
    return MakeInvalidRequest("X-Non-Idempotent: must be true or false");
  }
  aContext.mIdempotent = nonIdempotent == "false";
  if (const auto trace = aRequest.mFindHeader("traceparent")) {
    aContext.mTraceParent = TraceContext::Parse(*trace);
  }
  return ParseDeadline(aRequest, aLimits, aNow, aContext);
}

std::optional<Failure>
ParseCallerBody(const HttpRequest& aRequest,
                const Snapshot& aSnapshot,
                RequestContext& aContext)
{
  schema::CallerRequest body;
  if (const auto reason =
        ParseJson(aRequest.mBody, UnknownFields::Ignore, body)) {
    return MakeInvalidRequest("body: " + *reason);
  }
  if (auto failure = FillModel(body, aSnapshot, aContext)) {
    return failure;
  }
  const bool chat = aContext.mFormat == RequestFormat::Chat;
  aContext.mPrompt = chat ? MakeChatPrompt(body) : body.prompt();
  if (chat ? body.messages().empty() : body.prompt().empty()) {
    return MakeInvalidRequest(chat ? "messages: must not be empty"
                                   : "prompt: must not be empty");
  }
  if (auto failure = FillSampling(body, aContext)) {
    return failure;
  }
  aContext.mStream = body.stream();
  const std::uint64_t workspaceHash = StableHash(aContext.mWorkspace);
  aContext.mContentHash = StableHash(
    aContext.mModel + "\n" + aContext.mAdapter + "\n" + aContext.mPrompt,
    workspaceHash);
  return std::nullopt;
}

void
WriteFailure(const Failure& aFailure, HttpResponse& aResponse)
{
  aResponse.mStatus = HttpStatusOf(aFailure.mCode);
  aResponse.mContentType = "application/json";
  aResponse.mBody = FormatFailureJson(aFailure);
  aResponse.mHeaders["X-Request-Run"] = std::string(NameOf(aFailure.mVerdict));
  if (aFailure.mRetryAfter > Duration::zero()) {
    const double seconds =
      std::ceil(ToMilliseconds(aFailure.mRetryAfter) / 1000.0);
    aResponse.mHeaders["Retry-After"] =
      std::to_string(static_cast<long>(seconds));
  }
}

std::string
FormatFailureJson(const Failure& aFailure)
{
  schema::ErrorResponse response;
  auto* error = response.mutable_error();
  error->set_code(std::string(NameOf(aFailure.mCode)));
  error->set_message(aFailure.mMessage);
  error->set_run(std::string(NameOf(aFailure.mVerdict)));
  error->set_retry_after_ms(
    static_cast<int>(std::ceil(ToMilliseconds(aFailure.mRetryAfter))));
  return ToJson(response);
}

std::string
FormatTextEvent(const RequestContext& aContext,
                const std::string& aEventId,
                const std::string& aText)
{
  const bool chat = aContext.mFormat == RequestFormat::Chat;
  TextEventFields base;
  base.mId = aContext.mRequestId;
  base.mObject = chat ? "chat.completion.chunk" : "text_completion";
  base.mModel = aContext.mModel;
  base.mUsesDelta = chat;
  return FormatEvent(aEventId, SerializeTextEvent(base, aText));
}

std::string
FormatFinishEvents(const RequestContext& aContext,
                   const std::string& aEventId,
                   const std::string& aReason)
{
  schema::CallerResponse response = MakeResponseBase(aContext, true);
  auto* choice = response.add_choices();
  choice->set_index(0);
  choice->set_finish_reason(aReason);
  if (aContext.mFormat == RequestFormat::Completions) {
    choice->set_text("");
  } else {
    choice->mutable_delta();
  }
  return FormatEvent(aEventId, ToCompactJson(response)) +
         FormatEvent(std::string(), "[DONE]");
}

std::string
FormatFailureEvent(const Failure& aFailure)
{
  return "event: error\ndata: " + FormatFailureJson(aFailure) + "\n\n";
}

std::string
FormatCompleteResponse(const RequestContext& aContext,
                       const std::string& aText,
                       const std::string& aReason,
                       int aPromptTokens,
                       int aCompletionTokens)
{
  schema::CallerResponse response = MakeResponseBase(aContext, false);
  auto* choice = response.add_choices();
  choice->set_index(0);
  choice->set_finish_reason(aReason);
  if (aContext.mFormat == RequestFormat::Completions) {
    choice->set_text(aText);
  } else {
    choice->mutable_message()->set_role("assistant");
    choice->mutable_message()->set_content(aText);
  }
  response.mutable_usage()->set_prompt_tokens(aPromptTokens);
  response.mutable_usage()->set_completion_tokens(aCompletionTokens);
  return ToCompactJson(response);
}

} // namespace quetzalquay
