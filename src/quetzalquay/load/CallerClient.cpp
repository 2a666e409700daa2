#include "load/CallerClient.h"

#include "wire/Json.h"
#include "wire/SseParser.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

// Shortest gap between tokens that is recorded with its times. A gap of at
// least this length may be caused by the loss of a target.
constexpr double kRecordedGapMs = 120;

constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

// A stream without data for this long is resumed at the next router.
constexpr Duration kStreamSilenceTimeout = std::chrono::milliseconds(6000);

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// Sends one request, reconnecting until it has its final response or its
// deadline has passed.
class CallerExchange
{
public:
  CallerExchange(const PlannedRequest& aPlan,
                 const std::vector<HttpAddress>& aRouters,
                 std::vector<float>& aTokenGapsMs)
    : mPlan(aPlan)
    , mKind(*aPlan.mKind)
    , mRouters(aRouters)
    , mTokenGapsMs(aTokenGapsMs)
    , mRouterIndex(aPlan.mFirstRouter)
  {
    mRecord.set_caller_key(aPlan.mIdempotencyKey);
    mRecord.set_kind(mKind.name());
    mRecord.set_workspace(mKind.workspace_key());
    mRecord.set_non_idempotent(mKind.non_idempotent());
    mRecord.set_max_tokens(mKind.max_tokens());
    mRecord.set_plain(!mKind.service().empty());
    mRecord.set_started_at(UnixMs());
    mRecord.set_deadline_at(mRecord.started_at() + mKind.deadline_ms());
  }

  schema::CallerRecord Run()
  {
    while (!RunAttempt()) {
      if (UnixMs() >= mRecord.deadline_at()) {
        mRecord.set_error_code("caller_gave_up");
        break;
      }
      mRecord.set_reconnects(mRecord.reconnects() + 1);
      ++mRouterIndex;
      std::this_thread::sleep_for(kReconnectDelay);
    }
    mRecord.set_ended_at(UnixMs());
    return std::move(mRecord);
  }

private:
  // Sends the request to the current router. Returns whether the request has
  // its final response.
  bool RunAttempt()
  {
    HttpCall call(mRouters[mRouterIndex % mRouters.size()]);
    const HttpCallSpec spec = MakeCallSpec();
    if (spec.mReadTimeout <= Duration::zero()) {
      return false;
    }
    if (!mKind.stream() || mRecord.plain()) {
      return HandleWholeResponse(call.Run(spec));
    }
    SseParser reader(
      [this](const SseEvent& aEvent) { return HandleEvent(aEvent); });
    const HttpResult result =
      call.RunStreamed(spec, [&reader](const char* aData, std::size_t aSize) {
        return reader.Feed(aData, aSize);
      });
    RecordRequestId(result);
    if (mRecord.complete() || !mRecord.error_code().empty()) {
      return true;
    }
    return result.mOutcome == HttpOutcome::Answered && result.mStatus != 200 &&
           HandleErrorResponse(result);
  }

  HttpCallSpec MakeCallSpec() const
  {
    HttpCallSpec spec;
    spec.mMethod = "POST";
    spec.mPath = mKind.model().empty()
                   ? "/services/" + mKind.service() + "/dispatch"
                   : "/v1/completions";
    spec.mBody = mRecord.plain() ? mPlan.mPrompt : MakeModelBody();
    spec.mHeaders["Authorization"] = "Bearer " + mKind.workspace_key();
    spec.mHeaders["Idempotency-Key"] = mPlan.mIdempotencyKey;
    const double remainingMs = std::max(0.0, mRecord.deadline_at() - UnixMs());
    spec.mHeaders["X-Request-Deadline-Ms"] =
      std::to_string(std::max(1L, static_cast<long>(remainingMs)));
    if (mKind.non_idempotent()) {
      spec.mHeaders["X-Non-Idempotent"] = "true";
    }
    if (!mLastEventId.empty()) {
      spec.mHeaders["Last-Event-ID"] = mLastEventId;
    }
    spec.mConnectTimeout = kConnectTimeout;
    const auto readTimeoutMs =
      mKind.stream() ? ToMilliseconds(kStreamSilenceTimeout)
                     : remainingMs + ToMilliseconds(kConnectTimeout);
    spec.mReadTimeout = std::chrono::milliseconds(
      static_cast<long>(std::min(remainingMs + 500, readTimeoutMs)));
    return spec;
  }

  std::string MakeModelBody() const
  {
    schema::CallerRequest body;
    body.set_model(mKind.model());
    body.set_prompt(mPlan.mPrompt);
    body.set_max_tokens(mKind.max_tokens());
    body.set_seed(mPlan.mSeed);
    body.set_stream(mKind.stream());
    return ToCompactJson(body);
  }

  bool HandleEvent(const SseEvent& aEvent)
  {
    if (aEvent.mName == "error") {
      schema::ErrorResponse error;
      ParseJson(aEvent.mData, UnknownFields::Ignore, error);
      mRecord.set_error_code(error.error().code());
      mRecord.set_run(error.error().run());
      return true;
    }
    if (aEvent.mData == "[DONE]") {
      mRecord.set_complete(true);
      return true;
    }
    schema::CallerResponse message;
    if (ParseJson(aEvent.mData, UnknownFields::Ignore, message)) {
      mRecord.set_error_code("unreadable_event");
      return false;
    }
    mRecord.set_request_id(message.id());
    if (!aEvent.mId.empty()) {
      mLastEventId = aEvent.mId;
    }
    if (message.choices_size() > 0 && !message.choices(0).text().empty()) {
      RecordToken(message.choices(0).text());
    }
    return true;
  }

  void RecordToken(const std::string& aText)
  {
    const double now = UnixMs();
    mRecord.mutable_text()->append(aText);
    mRecord.set_tokens(mRecord.tokens() + 1);
    if (mLastTokenAt == 0) {
      mRecord.set_first_token_ms(now - mRecord.started_at());
    } else {
      const double gap = now - mLastTokenAt;
      mTokenGapsMs.push_back(static_cast<float>(gap));
      mRecord.set_longest_gap_ms(std::max(mRecord.longest_gap_ms(), gap));
      if (gap >= kRecordedGapMs) {
        auto* recorded = mRecord.add_gaps();
        recorded->set_from(mLastTokenAt);
        recorded->set_to(now);
      }
    }
    mLastTokenAt = now;
  }

  bool HandleWholeResponse(const HttpResult& aResult)
  {
    RecordRequestId(aResult);
    if (aResult.mOutcome != HttpOutcome::Answered) {
      return false;
    }
    if (aResult.mStatus != 200) {
      return HandleErrorResponse(aResult);
    }
    mRecord.set_complete(true);
    mRecord.set_run("ran");
    if (mRecord.plain()) {
      mRecord.set_text(aResult.mBody);
      mRecord.set_body(mPlan.mPrompt);
      return true;
    }
    schema::CallerResponse message;
    if (ParseJson(aResult.mBody, UnknownFields::Ignore, message) ||
        message.choices_size() == 0) {
      mRecord.set_error_code("unreadable_answer");
      return true;
    }
    mRecord.set_text(message.choices(0).text());
    mRecord.set_tokens(message.usage().completion_tokens());
    return true;
  }

  bool HandleErrorResponse(const HttpResult& aResult)
  {
    schema::ErrorResponse error;
    ParseJson(aResult.mBody, UnknownFields::Ignore, error);
    // A stopping router rejects requests that another router can serve.
    if (error.error().code() == "stopping") {
      return false;
    }
    mRecord.set_error_code(error.error().code().empty()
                             ? "status_" + std::to_string(aResult.mStatus)
                             : error.error().code());
    mRecord.set_run(error.error().run());
    return true;
  }

  void RecordRequestId(const HttpResult& aResult)
  {
    const auto it = aResult.mHeaders.find("x-request-id");
    if (it != aResult.mHeaders.end()) {
      mRecord.set_request_id(it->second);
    }
  }

  const PlannedRequest& mPlan;
  const schema::LoadKind& mKind;
  const std::vector<HttpAddress>& mRouters;
  std::vector<float>& mTokenGapsMs;
  std::size_t mRouterIndex;
  std::string mLastEventId;
  double mLastTokenAt = 0;
  schema::CallerRecord mRecord;
};

} // namespace

CallerClient::CallerClient(std::vector<HttpAddress> aRouters)
  : mRouters(std::move(aRouters))
{
}

schema::CallerRecord
CallerClient::Run(const PlannedRequest& aPlan,
                  std::vector<float>& aTokenGapsMs) const
{
  return CallerExchange(aPlan, mRouters, aTokenGapsMs).Run();
}

} // namespace quetzalquay
