#include "Property.h"

#include "gateway/GatewaySettings.h"
#include "platform/PlatformRequests.h"
#include "platform/PlatformStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidjson/document.h>

using namespace quetzalquay;

namespace {

HttpHead
MakeHead(std::vector<HttpField> aFields)
{
  HttpHead head;
  head.mMethod = "POST";
  head.mTarget = "/a/b?c=d";
  head.mFields = std::move(aFields);
  return head;
}

bool
Contains(const std::string& aText, const std::string& aSubstring)
{
  return aText.find(aSubstring) != std::string::npos;
}

constexpr char kConfiguration[] = R"({"Version":7,"Routes":[
  {"Name":"r1","Host":"h","PathPrefix":"/s/","Kind":"streaming","TimeoutMs":25000,
   "TargetLatencyMs":4500,"Priority":1,"TrafficSplit":[{"Service":"m","Weight":90},{"Service":"n","Weight":10}],
   "MaxAttempts":5,"Public":false,"StreamResumption":true,"GapTargetMs":700},
  {"Name":"r2","Host":"h","PathPrefix":"/u/","Kind":"something new","Service":"n"}],
 "Services":[{"Name":"m","HealthPath":"/health","MaxConnections":360,
   "InferenceEngine":{"KvCapacityTokens":88000,"Backups":true}},{"Name":"n"}],
 "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"w","ApiKeys":["k1","k2"],"Priority":1}]})";

constexpr char kTargetEntry[] =
  R"({"Service":"m","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":64,)"
  R"("State":"ready","ColdRemainingMs":0,"Sequence":4,"born":1700000000000})";

std::string
EntryWithField(const std::string& aName, const std::string& aValue)
{
  rapidjson::Document json;
  json.Parse(kTargetEntry);
  std::string text = "{";
  for (const auto& it : json.GetObject()) {
    const std::string name = it.name.GetString();
    std::string value = it.value.IsString()
                          ? "\"" + std::string(it.value.GetString()) + "\""
                          : std::to_string(it.value.GetInt64());
    if (name == aName) {
      value = aValue;
    }
    if (!value.empty()) {
      text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + value;
    }
  }
  return text + "}";
}

constexpr char kValidSettings[] =
  R"({"host":"h","place":"p","region":"r","callers":"127.0.0.1:1","readiness":"127.0.0.1:2",)"
  R"("peers":"127.0.0.1:3","loadPort":4,"relayPort":8,"metrics":"127.0.0.1:5","seeds":["127.0.0.1:6"],)"
  R"("store":"127.0.0.1:7","maxConnections":4100,"memoryMb":110,"linkMbps":10.0,"stopGraceS":8,"repeatRatio":0.8,)"
  R"("repeatAllowance":150,"repeatWindowS":10,"logLevel":"info"})";

} // namespace

class PlatformTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformTests);
  CPPUNIT_TEST(ReadsCallerFieldsAndIgnoresMalformedOnes);
  CPPUNIT_TEST(BoundsTheTokensOfACaller);
  CPPUNIT_TEST(RejectsHandlesThatAreNotWords);
  CPPUNIT_TEST(ReplacesGatewayOnlyFieldsOfCallers);
  CPPUNIT_TEST(RemovesHopByHopFields);
  CPPUNIT_TEST(ReadsTargetResponseFields);
  CPPUNIT_TEST(ReadsConfiguration);
  CPPUNIT_TEST(BoundsNumbersOfTheConfiguration);
  CPPUNIT_TEST(BoundsTheSlotsOfATarget);
  CPPUNIT_TEST(RejectsMalformedTargetEntries);
  CPPUNIT_TEST(ReadsStoreRows);
  CPPUNIT_TEST(ReadsRowsOfOtherEncoders);
  CPPUNIT_TEST(LeavesOutRowsOfOtherParts);
  CPPUNIT_TEST(TakesLimitsThatAreNullAsMissing);
  CPPUNIT_TEST(TakesLimitsOfZeroAsMissing);
  CPPUNIT_TEST(ReadsStartTimesOfOtherEncoders);
  CPPUNIT_TEST(ReadsHowOftenTheStoreCameBack);
  CPPUNIT_TEST(ReadsStatusReportAndSkipsMalformedRuns);
  CPPUNIT_TEST(CountsOfTargetsHaveBounds);
  CPPUNIT_TEST(StartsWithoutFieldsThatItCanReplace);
  CPPUNIT_TEST(LeavesOutSeedsThatAreNoAddresses);
  CPPUNIT_TEST(AcceptsShortPeriods);
  CPPUNIT_TEST(RejectsInvalidGatewaySettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsCallerFieldsAndIgnoresMalformedOnes()
  {
    const auto request = platform::DecodeCallerRequest(
      MakeHead({ { "X-Request-Id", "id" },
                 { "Host", "h" },
                 { "X-Deadline-Ms", "1500" },
                 { "Authorization", "Bearer key" },
                 { "X-Token-Counts", "8200,1020" },
                 { "Last-Event-Id", "12" } }));
    CPPUNIT_ASSERT_EQUAL(std::string("id"), request.mRequestId);
    CPPUNIT_ASSERT(request.mCallerTimeout == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::string("key"), request.mApiKey);
    CPPUNIT_ASSERT_EQUAL(8200, request.mPromptTokens);
    CPPUNIT_ASSERT_EQUAL(1020, request.mOutputTokens);
    CPPUNIT_ASSERT_EQUAL(std::string("12"), request.mLastEventId);
    const auto malformed = platform::DecodeCallerRequest(
      MakeHead({ { "X-Deadline-Ms", "soon" }, { "Authorization", "key" } }));
    CPPUNIT_ASSERT(!malformed.mCallerTimeout);
    CPPUNIT_ASSERT(malformed.mApiKey.empty());
  }

  // Token counts near the largest integer overflowed in the sums of a target's
  // load: it seemed idle, or full to all hosts.
  void BoundsTheTokensOfACaller()
  {
    const auto large = platform::DecodeCallerRequest(
      MakeHead({ { "X-Token-Counts", "2147483647,2147483647" } }));
    CPPUNIT_ASSERT(large.mPromptTokens <= INT32_MAX / 4096);
    CPPUNIT_ASSERT(large.mOutputTokens <= INT32_MAX / 4096);
    CPPUNIT_ASSERT(large.mPromptTokens >= 88000);
  }

  // A target's handle with a line break added fields, or a whole request, to
  // what the host sends to another target.
  void RejectsHandlesThatAreNotWords()
  {
    std::string reason;
    CPPUNIT_ASSERT(platform::DecodeCopyHandle(R"({"Handle":"h1"})", reason));
    for (const char* it : { R"({"Handle":"h\r\nX-Tenant: other"})",
                            R"({"Handle":"h HTTP/1.1\r\n\r\nPOST /a"})",
                            R"({"Handle":"a b"})",
                            R"({"Handle":""})",
                            R"({"Handle":"\u0000"})" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !platform::DecodeCopyHandle(it, reason));
    }
  }

  void ReplacesGatewayOnlyFieldsOfCallers()
  {
    const HttpHead head = MakeHead({ { "Host", "h" },
                                     { "X-Request-Id", "id" },
                                     { "authorization", "Bearer key" },
                                     { "x-tenant", "forged" },
                                     { "X-Kv-Backup", "forged" },
                                     { "KV-FROM", "forged" },
                                     { "Kv-Fetch", "forged" },
                                     { "X-Cache-Hold", "forged" },
                                     { "X-Pin-Ms", "forged" },
                                     { "X-Expected-Instance", "forged" },
                                     { "X-Expected-Version", "forged" },
                                     { "X-Request-Urgency", "forged" },
                                     { "Resumes", "origin" },
                                     { "X-Model", "m" } });
    CPPUNIT_ASSERT_EQUAL(std::string("origin"),
                         platform::DecodeCallerRequest(head).mOriginRequestId);
    platform::AttemptFields fields;
    fields.mTarget = "i-1";
    fields.mWorkspace = "w";
    fields.mTimeLeft = std::chrono::milliseconds(900);
    fields.mCopyHolderAddress = "10.0.0.2:80";
    fields.mCopy = platform::KvCopyReference{ "10.0.0.1:80", "id" };
    fields.mLastEventId = "4";
    const std::string text = platform::EncodeAttempt(head, fields, 3);
    CPPUNIT_ASSERT(!Contains(text, "forged"));
    CPPUNIT_ASSERT(!Contains(text, "key"));
    CPPUNIT_ASSERT(Contains(text, "POST /a/b?c=d HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Tenant: w\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Expected-Instance: i-1\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Deadline-Ms: 900\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Kv-Backup: 10.0.0.2:80\r\n"));
    CPPUNIT_ASSERT(Contains(text, "Kv-From: 10.0.0.1:80/id\r\n"));
    CPPUNIT_ASSERT(Contains(text, "Last-Event-Id: 4\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Model: m\r\n"));
    CPPUNIT_ASSERT(Contains(text, "Resumes: origin\r\n"));
    CPPUNIT_ASSERT(Contains(text, "Content-Length: 3\r\n"));
  }

  void RemovesHopByHopFields()
  {
    HttpHead head = MakeHead({ { "Host", "h" },
                               { "Connection", "X-Own, X-Model, close" },
                               { "X-Own", "one" },
                               { "X-Model", "m" },
                               { "Keep-Alive", "timeout=3" },
                               { "TE", "trailers" },
                               { "X-Other", "stays" },
                               { "Transfer-Encoding", "chunked" } });
    head.mChunked = true;
    const std::string text =
      platform::EncodeAttempt(head, platform::AttemptFields(), 0);
    CPPUNIT_ASSERT(!Contains(text, "X-Own"));
    CPPUNIT_ASSERT(!Contains(text, "Keep-Alive"));
    CPPUNIT_ASSERT(!Contains(text, "chunked"));
    CPPUNIT_ASSERT(Contains(text, "X-Model: m\r\n"));
    CPPUNIT_ASSERT(Contains(text, "X-Other: stays\r\n"));
    CPPUNIT_ASSERT(Contains(text, "Content-Length: 0\r\n"));
  }

  void ReadsTargetResponseFields()
  {
    HttpHead head = MakeHead({ { "X-Request-Id", "id" },
                               { "X-Server-Seal", "s" },
                               { "X-Server-Load", "3,1,8" },
                               { "Keep-Alive", "timeout=10" } });
    head.mStatus = 200;
    auto answer = platform::DecodeTargetResponse(head);
    CPPUNIT_ASSERT(answer.mSigned && !answer.mNotRun && !answer.mMisdirected);
    CPPUNIT_ASSERT_EQUAL(3, *answer.mRunning);
    CPPUNIT_ASSERT_EQUAL(1, *answer.mWaiting);
    CPPUNIT_ASSERT(answer.mKeepAliveTimeout == std::chrono::seconds(10));
    head.mStatus = 421;
    head.mFields.push_back({ "X-Instance-Id", "i-2" });
    answer = platform::DecodeTargetResponse(head);
    CPPUNIT_ASSERT(answer.mNotRun && answer.mMisdirected);
    CPPUNIT_ASSERT_EQUAL(std::string("i-2"), answer.mTarget);
    HttpHead refused = MakeHead({ { "X-Not-Executed", "1" } });
    refused.mStatus = 503;
    CPPUNIT_ASSERT(platform::DecodeTargetResponse(refused).mNotRun);
    HttpHead failed = MakeHead({});
    failed.mStatus = 503;
    CPPUNIT_ASSERT(!platform::DecodeTargetResponse(failed).mNotRun);
  }

  void ReadsConfiguration()
  {
    std::string reason;
    const auto table = platform::DecodeConfiguration(kConfiguration, reason);
    CPPUNIT_ASSERT(table != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), table->mVersion);
    const Route* route = table->FindRoute("h", "/s/x");
    CPPUNIT_ASSERT(route != nullptr && route->mKind == CallKind::Stream);
    CPPUNIT_ASSERT(route->mResumable);
    CPPUNIT_ASSERT_EQUAL(5, route->mMaxAttempts);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), route->mServices.size());
    CPPUNIT_ASSERT(route->mLatencyObjective == std::chrono::milliseconds(4500));
    // An unknown kind counts as not idempotent, so it is never retried.
    CPPUNIT_ASSERT(table->FindRoute("h", "/u/")->mKind ==
                   CallKind::NonIdempotent);
    CPPUNIT_ASSERT_EQUAL(std::string("w"), table->FindKey("k2")->mWorkspace);
    CPPUNIT_ASSERT(table->FindKey("") == nullptr);
    CPPUNIT_ASSERT(table->FindService("m")->mCopies);
    CPPUNIT_ASSERT_EQUAL(88000, table->FindService("m")->mMemoryTokens);
    CPPUNIT_ASSERT(!table->FindService("n")->mEngine);
    CPPUNIT_ASSERT_EQUAL(std::size_t(200), table->mLimits.mBodyBytes);
    CPPUNIT_ASSERT(platform::DecodeConfiguration("[]", reason) == nullptr);
    CPPUNIT_ASSERT(!reason.empty());
  }

  // A deadline overflowed, and lay in the past.
  void BoundsNumbersOfTheConfiguration()
  {
    const Duration longest = std::chrono::hours(24);
    for (const char* it :
         { "1e300", "-1e300", "1e18", "-1e18", "4294967297" }) {
      const std::string number = it;
      std::string reason;
      const auto table = platform::DecodeConfiguration(
        R"({"Routes":[{"Host":"h","PathPrefix":"/","TimeoutMs":)" + number +
          R"(,"TargetLatencyMs":)" + number + R"(,"GapTargetMs":)" + number +
          R"(,"Priority":)" + number + R"(,"MaxAttempts":)" + number +
          R"(,"TrafficSplit":[{"Service":"m","Weight":)" + number +
          R"(}]}],"Services":[{"Name":"m","MaxConnections":)" + number +
          R"(,"InferenceEngine":{"KvCapacityTokens":)" + number +
          R"(,"Moves":true,"HandleS":)" + number +
          R"(}}],"Limits":{"MaxHeaderBytes":)" + number +
          R"(,"MaxBodyBytes":)" + number + R"(,"HeaderTimeoutMs":)" + number +
          R"(,"IdleTimeoutMs":)" + number +
          R"(},"Tenants":[{"Name":"w","ApiKeys":["k"],"Priority":)" + number +
          "}]}",
        reason);
      CPPUNIT_ASSERT_MESSAGE(number + reason, table != nullptr);
      const bool negative = number.front() == '-';
      const Route& route = *table->FindRoute("h", "/");
      const ServiceTraits& service = *table->FindService("m");
      for (const Duration at : { route.mTimeout,
                                 route.mLatencyObjective,
                                 route.mEventGapObjective,
                                 service.mCopyLifetime }) {
        CPPUNIT_ASSERT_MESSAGE(number,
                               at == (negative ? Duration::zero() : longest));
      }
      CPPUNIT_ASSERT_EQUAL(!negative, service.mSupportsCopyOrders);
      CPPUNIT_ASSERT_EQUAL(negative ? 1 : 1000000, route.mMaxAttempts);
      CPPUNIT_ASSERT_EQUAL(negative ? -1000000 : 1000000, route.mPriority);
      CPPUNIT_ASSERT_EQUAL(route.mPriority, table->FindKey("k")->mPriority);
      CPPUNIT_ASSERT_EQUAL(negative ? 0.0 : 1e6, route.mServices[0].mWeight);
      CPPUNIT_ASSERT_EQUAL(negative ? 0 : 1000000, service.mMaxConnections);
      CPPUNIT_ASSERT_EQUAL(negative ? 0 : 1000000000, service.mMemoryTokens);
      const CallerLimits usual;
      const CallerLimits& limits = table->mLimits;
      const std::size_t bytes = 1U << 30U;
      CPPUNIT_ASSERT_EQUAL(negative ? usual.mHeadBytes : bytes,
                           limits.mHeadBytes);
      CPPUNIT_ASSERT_EQUAL(negative ? usual.mBodyBytes : bytes,
                           limits.mBodyBytes);
      CPPUNIT_ASSERT(limits.mHeadTimeout ==
                     (negative ? usual.mHeadTimeout : longest));
      CPPUNIT_ASSERT(limits.mIdleTimeout ==
                     (negative ? usual.mIdleTimeout : longest));
    }
  }

  // A target with 1,073,741,824 slots seemed full, as twice as many overflowed.
  void BoundsTheSlotsOfATarget()
  {
    for (const char* it : { "1e300", "1073741824", "1000001" }) {
      std::string reason;
      const auto entry =
        platform::DecodeTarget("i", EntryWithField("Slots", it), reason);
      CPPUNIT_ASSERT_MESSAGE(it, entry.has_value());
      CPPUNIT_ASSERT_EQUAL(1000000, entry->mSlots);
    }
    std::string reason;
    CPPUNIT_ASSERT_EQUAL(
      0,
      platform::DecodeTarget("i", EntryWithField("Slots", "-1e300"), reason)
        ->mSlots);
  }

  void RejectsMalformedTargetEntries()
  {
    std::string reason;
    const auto entry = platform::DecodeTarget("i-1", kTargetEntry, reason);
    CPPUNIT_ASSERT(entry && entry->mIncarnation == "1700000000000");
    CPPUNIT_ASSERT_EQUAL(64, entry->mSlots);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), entry->mSoftwareVersion);
    CPPUNIT_ASSERT(!entry->mNamePerStart);
    CPPUNIT_ASSERT(
      platform::DecodeTarget("i", EntryWithField("born", ""), reason)
        ->mNamePerStart);
    for (const char* it : { "Service",
                            "Address",
                            "Zone",
                            "Version",
                            "Slots",
                            "State",
                            "Sequence" }) {
      CPPUNIT_ASSERT_MESSAGE(
        it, !platform::DecodeTarget("i", EntryWithField(it, ""), reason));
      CPPUNIT_ASSERT_MESSAGE(
        it, !platform::DecodeTarget("i", EntryWithField(it, "[]"), reason));
    }
    CPPUNIT_ASSERT(
      !platform::DecodeTarget("i", EntryWithField("State", "\"odd\""), reason));
    CPPUNIT_ASSERT(
      !platform::DecodeTarget("i", EntryWithField("born", "1.5"), reason));
    for (const char* it : { "\"\"", "7", "\"v\\u00011\"" }) {
      CPPUNIT_ASSERT_MESSAGE(
        it,
        !platform::DecodeTarget("i", EntryWithField("Version", it), reason));
    }
    CPPUNIT_ASSERT(!platform::DecodeTarget("i", "\xff{", reason));
    CheckProperty("the decoders accept arbitrary bytes without crashing", [] {
      const auto bytes = *rc::gen::string<std::string>();
      std::string why;
      platform::DecodeTarget("i", bytes, why);
      platform::DecodeConfiguration(bytes, why);
      platform::DecodeRows(bytes, why);
      platform::DecodeReport(bytes, why);
    });
  }

  // Guards against hosts that know no configuration, or keep an old one,
  // because the store's encoder writes numbers and base64 in another way.
  void ReadsRowsOfOtherEncoders()
  {
    std::string reason;
    const auto rows = platform::DecodeRows(
      R"({"Rows":[{"Key":"a","Value":"bm9k\r\nZS0x\n","Ver":4.0},)"
      R"({"Key":"b","Value":"bm9kZS0x","Ver":"5"},)"
      R"({"Key":"c","Value":"bm9kZS0x","Ver":6.5},)"
      R"({"Key":"d","Value":"bm9kZS0x","Ver":"6x"},)"
      R"({"Key":"e","Value":"bm9kZS0x","Ver":-1e300}],"Ver":9.0})",
      reason);
    CPPUNIT_ASSERT(rows);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), rows->mVersion);
    std::vector<std::int64_t> versions;
    for (const auto& it : rows->mRows) {
      CPPUNIT_ASSERT_EQUAL(std::string("node-1"), it.mValue);
      versions.push_back(it.mVersion);
    }
    CPPUNIT_ASSERT(versions == std::vector<std::int64_t>({ 4, 5, 0, 0, 0 }));
    const auto forUrls = platform::DecodeRows(
      R"({"Rows":[{"Key":"a","Value":"-_-_","Ver":1}],"Ver":1})", reason);
    CPPUNIT_ASSERT_EQUAL(std::string("\xfb\xff\xbf"),
                         forUrls->mRows.front().mValue);
  }

  // Guards against a row of another part that replaces the configuration, or
  // a target, of the same key.
  void LeavesOutRowsOfOtherParts()
  {
    std::string reason;
    const auto rows = platform::DecodeRows(
      R"({"Rows":[{"Key":"config","part":"","Value":"YQ==","Ver":4},)"
      R"({"Key":"config","part":"drafts","Value":"Yg==","Ver":5}],"Ver":9})",
      reason);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows->mRows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), rows->mRows.front().mValue);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5), rows->mRowsUpTo);
  }

  // Guards against a time limit of zero, which would end every connection.
  void TakesLimitsThatAreNullAsMissing()
  {
    std::string reason;
    const auto table = platform::DecodeConfiguration(
      R"({"Limits":{"HeaderTimeoutMs":null,"IdleTimeoutMs":null}})", reason);
    CPPUNIT_ASSERT(table->mLimits.mHeadTimeout == CallerLimits().mHeadTimeout);
    CPPUNIT_ASSERT(table->mLimits.mIdleTimeout == CallerLimits().mIdleTimeout);
  }

  // Guards against a fleet that turns all requests away as an operator's
  // encoder writes zero for limits that are not set.
  void TakesLimitsOfZeroAsMissing()
  {
    std::string reason;
    const auto table = platform::DecodeConfiguration(
      R"({"Limits":{"MaxHeaderBytes":0,"MaxBodyBytes":0,)"
      R"("HeaderTimeoutMs":0,"IdleTimeoutMs":0.0}})",
      reason);
    const CallerLimits usual;
    const CallerLimits& limits = table->mLimits;
    CPPUNIT_ASSERT_EQUAL(usual.mHeadBytes, limits.mHeadBytes);
    CPPUNIT_ASSERT_EQUAL(usual.mBodyBytes, limits.mBodyBytes);
    CPPUNIT_ASSERT(limits.mHeadTimeout == usual.mHeadTimeout);
    CPPUNIT_ASSERT(limits.mIdleTimeout == usual.mIdleTimeout);
  }

  // Guards against a service without targets as their start times are written
  // as other encoders write them.
  void ReadsStartTimesOfOtherEncoders()
  {
    const auto incarnation = [](const std::string& aBorn) {
      std::string reason;
      const auto entry = platform::DecodeTarget(
        "t",
        R"({"Service":"s","Address":"1.2.3.4:5","Zone":"z","Version":"v",)"
        R"("Slots":1,"Sequence":1,"State":"ready","born":)" +
          aBorn + "}",
        reason);
      return entry ? entry->mIncarnation : std::string("refused");
    };
    CPPUNIT_ASSERT_EQUAL(std::string("1700000000123"),
                         incarnation("1700000000123.0"));
    CPPUNIT_ASSERT_EQUAL(incarnation("1700000000123"),
                         incarnation("1.700000000123e12"));
    CPPUNIT_ASSERT_EQUAL(std::string(kNoStartTime), incarnation("null"));
    for (const char* it : { "\"1700000000123\"", "1.5", "-1", "true" }) {
      CPPUNIT_ASSERT_EQUAL(std::string("refused"), incarnation(it));
    }
  }

  void ReadsHowOftenTheStoreCameBack()
  {
    std::string reason;
    const auto count = [&reason](const std::string& aText) {
      reason.clear();
      return platform::DecodeReturnCount(MakeHead({ { "Store-Era", aText } }),
                                         reason);
    };
    CPPUNIT_ASSERT(count("3") == std::int64_t(3) && reason.empty());
    CPPUNIT_ASSERT(!platform::DecodeReturnCount(MakeHead({}), reason) &&
                   reason.empty());
    for (const char* it : { "", "x", "-1", "1.5", "99999999999999999999" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !count(it) && !reason.empty());
    }
  }

  void ReadsStoreRows()
  {
    std::string reason;
    const auto rows = platform::DecodeRows(
      R"({"Rows":[{"Table":"t","part":"","Key":"a","Value":"bm9kZS0x","Ver":4},)"
      R"({"Key":"b","Ver":5,"Removed":true},{"Key":"c","Value":"!!","Ver":6}],)"
      R"("HasMore":true,"Ver":9,"NowMs":1})",
      reason);
    CPPUNIT_ASSERT(rows && rows->mHasMore);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), rows->mVersion);
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), rows->mRows[0].mValue);
    CPPUNIT_ASSERT(rows->mRows[1].mRemoved);
    CPPUNIT_ASSERT(rows->mRows[2].mValue.empty());
    CheckProperty("stored values are read back unchanged", [] {
      const auto value = *rc::gen::string<std::string>();
      const std::string call =
        platform::EncodePut("s:1", platform::StoreTable::Hosts, "key", value);
      rapidjson::Document json;
      json.Parse(call.substr(call.find("\r\n\r\n") + 4).c_str());
      RC_ASSERT(!json.HasParseError());
      const std::string sent = json["Put"][0]["Value"].GetString();
      std::string why;
      const auto decoded = platform::DecodeRows(
        R"({"Rows":[{"Key":"key","Value":")" + sent + R"(","Ver":1}],"Ver":1})",
        why);
      RC_ASSERT(decoded->mRows[0].mValue == value);
    });
  }

  void ReadsStatusReportAndSkipsMalformedRuns()
  {
    std::string reason;
    const auto report = platform::DecodeReport(
      R"({"Models":[{"Name":"m"}],"QueuedRequests":2,"ActiveRequests":3,)"
      R"("Runs":[["id-1",9000,17,5],["short"],"odd"],"born":5})",
      reason);
    CPPUNIT_ASSERT(report && report->mEngine);
    CPPUNIT_ASSERT_EQUAL(3, report->mRunning);
    CPPUNIT_ASSERT_EQUAL(2, report->mWaiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), report->mRuns.size());
    CPPUNIT_ASSERT_EQUAL(17, report->mRuns[0].mEventCount);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), report->mIncarnation);
  }

  // The sum of a target's running and waiting requests overflowed, and a full
  // target looked idle; so did one with more requests than an int holds.
  void CountsOfTargetsHaveBounds()
  {
    constexpr int kMost = 1000000;
    std::string reason;
    const auto checkReport = [&](const std::string& aText, int aCount) {
      const auto report = platform::DecodeReport(
        R"({"ActiveRequests":)" + aText + R"(,"QueuedRequests":)" + aText + "}",
        reason);
      CPPUNIT_ASSERT_MESSAGE(aText, report);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aText, aCount, report->mRunning);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aText, aCount, report->mWaiting);
    };
    checkReport("2147483647", kMost);
    checkReport("2147483648", kMost);
    checkReport("1e308", kMost);
    checkReport("-2147483648", 0);
    checkReport("17", 17);
    const auto checkLoad = [](const std::string& aText, int aCount) {
      HttpHead head;
      head.mFields.push_back({ "X-Server-Load", aText + "," + aText + ",8" });
      const auto response = platform::DecodeTargetResponse(head);
      CPPUNIT_ASSERT_MESSAGE(aText, response.mRunning && response.mWaiting);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aText, aCount, *response.mRunning);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aText, aCount, *response.mWaiting);
    };
    checkLoad("2147483647", kMost);
    checkLoad("-2147483648", 0);
    checkLoad("17", 17);
  }

  // Guards against a host that does not start, though it could serve, because
  // the platform has no value for a field of its settings, or one of a contract
  // that is not in force.
  void StartsWithoutFieldsThatItCanReplace()
  {
    std::string reason;
    const std::string valid = kValidSettings;
    for (const std::string field : { R"("place":"p")",
                                     R"("region":"r")",
                                     R"("loadPort":4)",
                                     R"("relayPort":8)",
                                     R"("metrics":"127.0.0.1:5")",
                                     R"("seeds":["127.0.0.1:6"])",
                                     R"("maxConnections":4100)",
                                     R"("memoryMb":110)",
                                     R"("linkMbps":10.0)",
                                     R"("stopGraceS":8)",
                                     R"("repeatRatio":0.8)",
                                     R"("repeatAllowance":150)",
                                     R"("repeatWindowS":10)" }) {
      const std::string name = field.substr(0, field.find(':'));
      for (const std::string& other : { R"("later":1)" + std::string(),
                                        name + ":null",
                                        name + ":true",
                                        name + R"(:"")" }) {
        std::string text = valid;
        text.replace(text.find(field), field.size(), other);
        const auto settings = ParseGatewaySettings(text, reason);
        CPPUNIT_ASSERT_MESSAGE(other + ": " + reason, settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                             settings->mReplacedFields.size());
        CPPUNIT_ASSERT_EQUAL(
          name.substr(1, name.size() - 2),
          settings->mReplacedFields[0].substr(0, name.size() - 2));
      }
    }
  }

  // The same for a seed that is no address: the others are used.
  void LeavesOutSeedsThatAreNoAddresses()
  {
    std::string reason;
    std::string text = kValidSettings;
    const std::string seeds = R"(["127.0.0.1:6"])";
    text.replace(
      text.find(seeds), seeds.size(), R"(["::1","host:6",7,"127.0.0.1:6"])");
    const auto settings = ParseGatewaySettings(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, settings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, settings->mReplacedFields.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, settings->mSeeds.size());
    CPPUNIT_ASSERT_EQUAL(6, static_cast<int>(settings->mSeeds[0].port()));
  }

  void AcceptsShortPeriods()
  {
    std::string reason;
    std::string text = kValidSettings;
    for (const std::string field :
         { "\"stopGraceS\":8", "\"repeatWindowS\":10" }) {
      text.replace(text.find(field),
                   field.size(),
                   field.substr(0, field.find(':')) + ":0.5");
    }
    const auto settings = ParseGatewaySettings(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, settings);
    CPPUNIT_ASSERT(settings->mStopGrace == std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(settings->mRetryWindow == std::chrono::milliseconds(500));
  }

  void RejectsInvalidGatewaySettings()
  {
    const std::string valid = kValidSettings;
    std::string reason;
    const auto settings = ParseGatewaySettings(valid, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, settings);
    CPPUNIT_ASSERT(settings->mReplacedFields.empty());
    const auto rejectionReason = [&](const std::string& aFrom,
                                     const std::string& aTo) {
      std::string text = valid;
      text.replace(text.find(aFrom), aFrom.size(), aTo);
      CPPUNIT_ASSERT_MESSAGE(aTo, !ParseGatewaySettings(text, reason));
      return reason;
    };
    CPPUNIT_ASSERT(
      Contains(rejectionReason("\"host\":\"h\"", "\"host\":\"\""), "host"));
    CPPUNIT_ASSERT(
      Contains(rejectionReason("127.0.0.1:7", "nowhere"), "store"));
    CPPUNIT_ASSERT(Contains(rejectionReason("4100", "10"), "maxConnections"));
    CPPUNIT_ASSERT(Contains(
      rejectionReason("\"stopGraceS\":8", "\"stopGraceS\":0"), "stopGraceS"));
    CPPUNIT_ASSERT(Contains(
      rejectionReason("\"linkMbps\":10.0", "\"linkMbps\":[]"), "linkMbps"));
    CPPUNIT_ASSERT(Contains(
      rejectionReason("\"relayPort\":8", "\"relayPort\":0"), "relayPort"));
    CPPUNIT_ASSERT(Contains(rejectionReason("0.8", "\"much\""), "repeatRatio"));
    CPPUNIT_ASSERT(Contains(rejectionReason("{", "["), "JSON"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTests);
