#include "load/CallerClient.h"

#include "wire/Json.h"
#include "wire/SseReader.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

// A pause between tokens from which on it may be the trace of a loss.
constexpr double kNotedGapMs = 120;

constexpr Duration kComeBackPause = std::chrono::milliseconds(50);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

// Silence of a router after which its caller comes back to another one.
constexpr Duration kCallerPatience = std::chrono::milliseconds(6000);

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// One request in progress.
class Conversation
{
public:
  Conversation(const CallerPlan& aPlan,
               const std::vector<HttpAddress>& aRouters,
               std::vector<float>& aGaps)
    : mPlan(aPlan)
    , mKind(*aPlan.mKind)
    , mRouters(aRouters)
    , mGaps(aGaps)
    , mRouter(aPlan.mFirstRouter)
  {
    mRecord.set_caller_key(aPlan.mKey);
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
    while (!Try()) {
      if (UnixMs() >= mRecord.deadline_at()) {
        mRecord.set_error_code("caller_gave_up");
        break;
      }
      mRecord.set_reconnects(mRecord.reconnects() + 1);
      ++mRouter;
      std::this_thread::sleep_for(kComeBackPause);
    }
    mRecord.set_ended_at(UnixMs());
    return std::move(mRecord);
  }

private:
  // Returns whether the request has its final answer.
  bool Try()
  {
    HttpCall call(mRouters[mRouter % mRouters.size()]);
    const HttpCallSpec spec = MakeCall();
    if (spec.mReadTimeout <= Duration::zero()) {
      return false;
    }
    if (!mKind.stream() || mRecord.plain()) {
      return TakeWhole(call.Run(spec));
    }
    SseReader reader([this](const SseEvent& aEvent) { return Take(aEvent); });
    const HttpResult result =
      call.RunStreamed(spec, [&reader](const char* aData, std::size_t aSize) {
        return reader.Take(aData, aSize);
      });
    NoteRequestId(result);
    if (mRecord.complete() || !mRecord.error_code().empty()) {
      return true;
    }
    return result.mOutcome == HttpOutcome::Answered && result.mStatus != 200 &&
           TakeError(result);
  }

  HttpCallSpec MakeCall() const
  {
    HttpCallSpec spec;
    spec.mMethod = "POST";
    spec.mPath = mKind.model().empty()
                   ? "/services/" + mKind.service() + "/dispatch"
                   : "/v1/completions";
    spec.mBody = mRecord.plain() ? mPlan.mPrompt : ModelBody();
    spec.mHeaders["Authorization"] = "Bearer " + mKind.workspace_key();
    spec.mHeaders["Idempotency-Key"] = mPlan.mKey;
    const double left = std::max(0.0, mRecord.deadline_at() - UnixMs());
    spec.mHeaders["X-Request-Deadline-Ms"] =
      std::to_string(std::max(1L, static_cast<long>(left)));
    if (mKind.non_idempotent()) {
      spec.mHeaders["X-Non-Idempotent"] = "true";
    }
    if (!mLastEventId.empty()) {
      spec.mHeaders["Last-Event-ID"] = mLastEventId;
    }
    spec.mConnectTimeout = kConnectTimeout;
    const auto patience = mKind.stream()
                            ? ToMilliseconds(kCallerPatience)
                            : left + ToMilliseconds(kConnectTimeout);
    spec.mReadTimeout = std::chrono::milliseconds(
      static_cast<long>(std::min(left + 500, patience)));
    return spec;
  }

  std::string ModelBody() const
  {
    schema::CallerRequest body;
    body.set_model(mKind.model());
    body.set_prompt(mPlan.mPrompt);
    body.set_max_tokens(mKind.max_tokens());
    body.set_seed(mPlan.mSeed);
    body.set_stream(mKind.stream());
    return ToCompactJson(body);
  }

  bool Take(const SseEvent& aEvent)
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
      NoteToken(message.choices(0).text());
    }
    return true;
  }

  void NoteToken(const std::string& aText)
  {
    const double now = UnixMs();
    mRecord.mutable_text()->append(aText);
    mRecord.set_tokens(mRecord.tokens() + 1);
    if (mLastTokenAt == 0) {
      mRecord.set_first_token_ms(now - mRecord.started_at());
    } else {
      const double gap = now - mLastTokenAt;
      mGaps.push_back(static_cast<float>(gap));
      mRecord.set_longest_gap_ms(std::max(mRecord.longest_gap_ms(), gap));
      if (gap >= kNotedGapMs) {
        auto* noted = mRecord.add_gaps();
        noted->set_from(mLastTokenAt);
        noted->set_to(now);
      }
    }
    mLastTokenAt = now;
  }

  bool TakeWhole(const HttpResult& aResult)
  {
    NoteRequestId(aResult);
    if (aResult.mOutcome != HttpOutcome::Answered) {
      return false;
    }
    if (aResult.mStatus != 200) {
      return TakeError(aResult);
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

  bool TakeError(const HttpResult& aResult)
  {
    schema::ErrorResponse error;
    ParseJson(aResult.mBody, UnknownFields::Ignore, error);
    // A router that stops sends its callers to another one.
    if (error.error().code() == "stopping") {
      return false;
    }
    mRecord.set_error_code(error.error().code().empty()
                             ? "status_" + std::to_string(aResult.mStatus)
                             : error.error().code());
    mRecord.set_run(error.error().run());
    return true;
  }

  void NoteRequestId(const HttpResult& aResult)
  {
    const auto it = aResult.mHeaders.find("x-request-id");
    if (it != aResult.mHeaders.end()) {
      mRecord.set_request_id(it->second);
    }
  }

  const CallerPlan& mPlan;
  const schema::LoadKind& mKind;
  const std::vector<HttpAddress>& mRouters;
  std::vector<float>& mGaps;
  std::size_t mRouter;
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
CallerClient::Run(const CallerPlan& aPlan, std::vector<float>& aGaps) const
{
  return Conversation(aPlan, mRouters, aGaps).Run();
}

} // namespace quetzalquay
