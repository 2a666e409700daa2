#include "Property.h"

#include "core/PlainCall.h"
#include "core/WorkspaceLimiter.h"
#include "generated/messages.pb.h"
#include "observe/Tracer.h"
#include "wire/Crypto.h"
#include "wire/EventId.h"
#include "wire/SseParser.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

EventIdCodec
Codec(const std::string& aFirst, const std::string& aSecond)
{
  return EventIdCodec(
    { { aFirst, "secret-of-" + aFirst }, { aSecond, "secret-of-" + aSecond } });
}

schema::StreamPosition
Position()
{
  schema::StreamPosition position;
  position.set_workspace("w");
  position.set_request_id("r-1");
  position.set_delivered(7);
  position.add_tail(12345);
  return position;
}

std::string
HexOf(const std::string& aBytes)
{
  std::string text;
  for (const char it : aBytes) {
    const auto byte = static_cast<unsigned char>(it);
    text.push_back("0123456789abcdef"[byte >> 4]);
    text.push_back("0123456789abcdef"[byte & 15]);
  }
  return text;
}

// Chooses targets t0, t1 and t2 in turn, then none.
class ListChooser : public TargetChooser
{
public:
  Choice Choose(const ChoiceQuery& aQuery, Time) override
  {
    Choice choice;
    if (aQuery.mExcluded.size() < 3) {
      choice.mStatus = ChoiceStatus::Chosen;
      choice.mTarget = "t" + std::to_string(aQuery.mExcluded.size());
    }
    return choice;
  }

  void CancelWait(const ChoiceQuery&) override {}
};

} // namespace

class WireTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WireTests);
  CPPUNIT_TEST(EventIdsAreAcceptedAfterKeyRotation);
  CPPUNIT_TEST(ModifiedEventIdsAreRejected);
  CPPUNIT_TEST(HmacMatchesRfc4231TestVector);
  CPPUNIT_TEST(Base64UrlRoundTrips);
  CPPUNIT_TEST(SseEventsDoNotDependOnChunkBoundaries);
  CPPUNIT_TEST(TraceContextsRoundTrip);
  CPPUNIT_TEST(AdmissionsStayWithinRateAndBurst);
  CPPUNIT_TEST(NonIdempotentPlainCallsAreNotRetriedAfterALostConnection);
  CPPUNIT_TEST_SUITE_END();

public:
  void EventIdsAreAcceptedAfterKeyRotation()
  {
    const std::string id = Codec("k1", "k2").Encode(Position());
    const auto decoded = Codec("k3", "k1").Decode(id);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(7, decoded->delivered());
    CPPUNIT_ASSERT(!Codec("k3", "k4").Decode(id));
  }

  void ModifiedEventIdsAreRejected()
  {
    CheckProperty("a modified event ID is rejected", [] {
      const EventIdCodec codec = Codec("k1", "k2");
      const std::string id = codec.Encode(Position());
      auto bytes = *DecodeBase64Url(id);
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      const auto flip = *rc::gen::inRange(1, 256);
      bytes[at] = static_cast<char>(bytes[at] ^ flip);
      RC_ASSERT(!codec.Decode(EncodeBase64Url(bytes)));
      RC_ASSERT(!codec.Decode(*rc::gen::arbitrary<std::string>()));
    });
  }

  void HmacMatchesRfc4231TestVector()
  {
    // RFC 4231, test case 2, truncated to 16 bytes. The call with another key
    // in between replaces the cached key.
    for (int n = 0; n < 2; ++n) {
      const std::string mac =
        TruncatedHmacSha256("Jefe", "what do ya want for nothing?");
      CPPUNIT_ASSERT_EQUAL(std::size_t(16), mac.size());
      CPPUNIT_ASSERT_EQUAL(std::string("5bdcc146bf60754e6a042426089575c7"),
                           HexOf(mac));
      TruncatedHmacSha256("other", "text");
    }
  }

  void Base64UrlRoundTrips()
  {
    CheckProperty("base64 round trips", [](const std::string& aText) {
      RC_ASSERT(DecodeBase64Url(EncodeBase64Url(aText)) == aText);
    });
  }

  void SseEventsDoNotDependOnChunkBoundaries()
  {
    CheckProperty("events do not depend on how the bytes are split", [] {
      const std::string bytes = "id: a\ndata: one\n\n: note\n\nevent: error\r\n"
                                "data: two\r\ndata: three\r\n\r\ndata: x\n\n";
      std::vector<std::string> seen;
      SseParser reader([&seen](const SseEvent& aEvent) {
        seen.push_back(aEvent.mId + "|" + aEvent.mName + "|" + aEvent.mData);
        return true;
      });
      std::size_t at = 0;
      while (at < bytes.size()) {
        const auto n = *rc::gen::inRange<std::size_t>(1, 12);
        const auto size = std::min(n, bytes.size() - at);
        RC_ASSERT(reader.Feed(bytes.data() + at, size));
        at += size;
      }
      const std::vector<std::string> expected = { "a||one",
                                                  "|error|two\nthree",
                                                  "||x" };
      RC_ASSERT(seen == expected);
    });
  }

  void TraceContextsRoundTrip()
  {
    const TraceContext context{ RandomHex(16), RandomHex(8) };
    const auto parsed = TraceContext::Parse(context.ToHeader());
    CPPUNIT_ASSERT(parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(context.mSpanId, parsed->mSpanId);
    CPPUNIT_ASSERT(!TraceContext::Parse("00-xyz"));
    const std::string zero(32, '0');
    CPPUNIT_ASSERT(!TraceContext::Parse("00-" + zero + "-0000000000000001-01"));
  }

  void AdmissionsStayWithinRateAndBurst()
  {
    CheckProperty("admissions stay within the rate and the burst", [] {
      WorkspaceLimiter limits;
      WorkspaceLimit limit;
      limit.mMaxConcurrent = *rc::gen::inRange(1, 20);
      limit.mRequestsPerSecond = *rc::gen::inRange(1, 50);
      int admitted = 0;
      int open = 0;
      int ms = 0;
      for (int n = 0; n < 200; ++n) {
        ms += *rc::gen::inRange(0, 40);
        Duration retryAfter = Duration::zero();
        const Time now{ std::chrono::milliseconds(ms) };
        if (limits.Admit("w", limit, now, retryAfter) == Admission::Admitted) {
          ++admitted;
          ++open;
        } else {
          RC_ASSERT(retryAfter > Duration::zero());
        }
        RC_ASSERT(open <= limit.mMaxConcurrent);
        if (open > 0 && *rc::gen::arbitrary<bool>()) {
          limits.Release("w");
          --open;
        }
      }
      RC_ASSERT(admitted <= limit.mRequestsPerSecond * (2 + ms / 1000.0) + 1);
    });
  }

  void NonIdempotentPlainCallsAreNotRetriedAfterALostConnection()
  {
    CheckProperty("a non-idempotent plain call starts at most once", [] {
      ListChooser chooser;
      const bool idempotent = *rc::gen::arbitrary<bool>();
      PlainCall call(
        ChoiceQuery(), idempotent, Time(std::chrono::seconds(9)), chooser);
      PlainStep step = call.Start(Time());
      int started = 0;
      while (std::holds_alternative<TryTarget>(step)) {
        const bool broken = *rc::gen::arbitrary<bool>();
        started += broken ? 1 : 0;
        step = call.OnResult(
          broken ? PlainResult::Broken : PlainResult::NotStarted, Time());
      }
      RC_ASSERT(idempotent || started <= 1);
      const auto verdict = std::get<FailCall>(step).mFailure.mVerdict;
      RC_ASSERT((verdict == RunVerdict::NotRun) == (started == 0));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTests);
