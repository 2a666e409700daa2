#include "Property.h"

#include "core/TargetTable.h"
#include "core/TrialRecord.h"
#include "gateway/Fleet.h"
#include "gateway/FormatLog.h"
#include "gateway/GatewaySettings.h"
#include "gateway/LoadMessages.h"
#include "gateway/PassedOnRequest.h"
#include "gateway/PeerLink.h"
#include "gateway/ReachMessages.h"
#include "gateway/RolloutMessages.h"
#include "gateway/StreamOriginRows.h"
#include "gateway/SuspectRows.h"
#include "http/JsonText.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <sstream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> kLandings = { "9916185", "0e0bdf0", "e1c1272",
                                             "f97d0fb", "bc3452f", "024c004",
                                             "c6d7403" };

// Landings that write at which attempt a stream began.
const std::vector<std::string> kWithAttempt = { "0e0bdf0",
                                                "e1c1272",
                                                "f97d0fb",
                                                "bc3452f" };

// The list whose last element may be missing.
constexpr char kOriginList[] = "streams";
constexpr char kConvictedList[] = "convicted";

// Landing whose queries and replies of GET /knowledge tell no era, and the
// commit since which they do.
constexpr char kWithoutEra[] = "5b2e4eb";
constexpr char kWithEra[] = "d50cc5c";

// Era in the records.
const StoreEra kRecordedEra{ 1, 17 };

// Unix time of the rows, in milliseconds.
constexpr std::int64_t kUnixMs = 1796464800000;

const Time kNow = Time(std::chrono::hours(30 * 24));

// Content of a file that an earlier build wrote, or would have.
std::string
ReadData(const std::string& aName)
{
  std::ifstream file("tests/data/formats/" + aName);
  CPPUNIT_ASSERT_MESSAGE(aName, file.good());
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

using Json = rapidjson::Document;

void
Parse(Json& aJson, const std::string& aText)
{
  ParseJson(aJson, aText);
  CPPUNIT_ASSERT_MESSAGE(aText, !aJson.HasParseError());
}

std::string
ToText(const rapidjson::Value& aValue)
{
  rapidjson::StringBuffer buf;
  MessageWriter writer(buf);
  aValue.Accept(writer);
  return buf.GetString();
}

template<typename Function>
std::string
Written(const Function& aFunction)
{
  rapidjson::StringBuffer buf;
  MessageWriter writer(buf);
  aFunction(writer);
  return buf.GetString();
}

// How the entries of a list are read and written.
struct EntryFormat
{
  std::function<bool(const rapidjson::Value&)> mIsReadable;
  std::function<void(MessageWriter&, const rapidjson::Value&)> mRewrite;
};

template<typename Reader, typename Writer>
EntryFormat
MakeFormat(Reader aRead, Writer aWrite)
{
  return { [aRead](const rapidjson::Value& aEntry) {
            return aRead(aEntry).has_value();
          },
           [aRead, aWrite](MessageWriter& aWriter,
                           const rapidjson::Value& aEntry) {
             aWrite(aWriter, *aRead(aEntry));
           } };
}

// For entries with times, which are written as ages.
template<typename Reader, typename Writer>
EntryFormat
MakeTimedFormat(Reader aRead, Writer aWrite)
{
  return MakeFormat(
    [aRead](const rapidjson::Value& aEntry) { return aRead(aEntry, kNow); },
    [aWrite](MessageWriter& aWriter, const auto& aRecord) {
      aWrite(aWriter, aRecord, kNow);
    });
}

void
WriteRetry(MessageWriter& aWriter, const RetryGrant& aGrant)
{
  WriteRetryEntry(aWriter, aGrant.mService, aGrant.mAsk, aGrant.mCount);
}

// The formats by the list's name.
const std::map<std::string, EntryFormat>&
EntryFormats()
{
  static const EntryFormat kTotals =
    MakeFormat(ParseTotalsEntry, WriteTotalsEntry);
  static const EntryFormat kRetry = MakeFormat(ParseRetryEntry, WriteRetry);
  static const std::map<std::string, EntryFormat> kFormats = {
    { "load", MakeFormat(ParseLoadEntry, WriteLoadEntry) },
    { "lost", MakeTimedFormat(ParseLostEntry, WriteLostEntry) },
    { "totals", kTotals },
    { "limit_totals", kTotals },
    { "asks", kRetry },
    { "grants", kRetry },
    { "limit_asks", kRetry },
    { "limit_grants", kRetry },
    { "limits", MakeTimedFormat(ParseLimitEntry, WriteLimitEntry) },
    { "brittle", MakeTimedFormat(ParseBrittleEntry, WriteBrittleEntry) },
    { "room", MakeFormat(ParseRoomEntry, WriteRoomEntry) },
    { "room_answers", MakeFormat(ParseRoomAnswerEntry, WriteRoomAnswerEntry) },
    { "streams", MakeFormat(ParseOriginEntry, WriteOriginEntry) },
    { "gone", MakeFormat(ParseDepartureEntry, WriteDepartureEntry) },
    { "suspects", MakeTimedFormat(ParseSuspectEntry, WriteSuspectEntry) },
    { kConvictedList,
      MakeTimedFormat(ParseConvictionEntry, WriteConvictionEntry) },
    { "rollout_reports", MakeFormat(ParseRolloutReport, WriteRolloutReport) },
    { "rollouts", MakeFormat(ParseRolloutDirective, WriteRolloutDirective) },
  };
  return kFormats;
}

// Entries of lists that no build which has landed wrote.
const std::map<std::string, std::string> kOwnExamples = {
  { kConvictedList, "[350,[7,18446744073709551615]]" },
  { "rollout_reports",
    R"(["pool",18446744073709551615,"v2",1200,-300,"shift",250000,3,5,7,)"
    R"([4,2,24,1],[["chat","",4,0,0,[],[]],["chat","t1",9,1,2,[3,5],[6,1]]]])" },
  { "rollouts",
    R"(["pool",18446744073709551615,"v2",1200,13800,"trial",300000,644,100])" },
};

// The first entry of each list that a landing writes.
std::map<std::string, std::string>
EntryExamples()
{
  Json latest;
  Parse(latest, ReadData("messages-c6d7403.json"));
  Json withAttempt;
  Parse(withAttempt, ReadData("messages-bc3452f.json"));
  std::map<std::string, std::string> examples;
  for (const auto& it : EntryFormats()) {
    const auto own = kOwnExamples.find(it.first);
    if (own != kOwnExamples.end()) {
      examples[it.first] = own->second;
      continue;
    }
    const Json& json = it.first == kOriginList ? withAttempt : latest;
    examples[it.first] = ToText(json[it.first.c_str()][0]);
  }
  return examples;
}

bool
IsReadable(const std::string& aList, const rapidjson::Value& aEntry)
{
  return EntryFormats().at(aList).mIsReadable(aEntry);
}

void
AddElements(Json& aList, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    aList.PushBack(rapidjson::Value(n % 2 == 0 ? rapidjson::kObjectType
                                               : rapidjson::kFalseType),
                   aList.GetAllocator());
  }
}

// Rows of a landing: table, key and value.
std::vector<std::array<std::string, 3>>
ReadRows(const std::string& aLanding)
{
  std::stringstream text(ReadData("rows-" + aLanding + ".txt"));
  std::vector<std::array<std::string, 3>> rows;
  std::string line;
  while (std::getline(text, line)) {
    const auto first = line.find('\t');
    const auto second = line.find('\t', first + 1);
    rows.push_back({ line.substr(0, first),
                     line.substr(first + 1, second - first - 1),
                     line.substr(second + 1) });
  }
  return rows;
}

platform::StoreRow
MakeRow(const std::string& aKey, const std::string& aValue)
{
  platform::StoreRow row;
  row.mKey = aKey;
  row.mValue = aValue;
  row.mVersion = 1;
  return row;
}

// Whether a row of one of the gateway's own tables can be read.
bool
IsRowReadable(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue)
{
  if (aTable == "hosts") {
    const HostRow row = ParseHostRow(aValue);
    return row.mAddress == "127.0.0.1:1003" && row.mLinkMbps == 10000;
  }
  const platform::StoreRow row = MakeRow(aKey, aValue);
  if (aTable == "streams") {
    return ParseOriginRow(row).has_value();
  }
  return ParseTrialSuspects(row)
           ? ParseTrialRecord(aValue).has_value()
           : ParseSuspectRow(row, { kNow, kUnixMs }).has_value();
}

// Path of the query that a build writes.
std::string
ReadQuery(const std::string& aCommit)
{
  std::string path = ReadData("query-" + aCommit + ".txt");
  path.erase(path.find('\n'));
  return path;
}

// Era in a reply of another host.
PeerEra
ReplyEra(const std::string& aText)
{
  Json json;
  Parse(json, aText);
  return ParseReplyEra(json);
}

// A host that knows of no era of the store, or of a later one than its first.
class EraHost
{
public:
  explicit EraHost(bool aIsFirst)
    : mFleet(mLoop, GatewaySettings())
  {
    // Versions that can be compared with what is told.
    mFleet.ApplyRows(
      platform::StoreTable::Hosts, {}, true, 70, RowSource::Store);
    if (!aIsFirst) {
      mFleet.OnEraTold(kRecordedEra);
    }
  }

  bool Takes(const PeerEra& aTold) { return ApplyPeerEra(mFleet, aTold); }

  EventLoop mLoop;
  Fleet mFleet;
};

StreamOrigin
ReadOrigin(const std::string& aEntry)
{
  Json json;
  Parse(json, aEntry);
  const auto origin = ParseOriginEntry(json);
  CPPUNIT_ASSERT_MESSAGE(aEntry, origin);
  return *origin;
}

} // namespace

// What one build writes and another one reads, while hosts are upgraded one by
// one.
class FormatTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FormatTests);
  CPPUNIT_TEST(SettingsOfFormerTemplatesAreAccepted);
  CPPUNIT_TEST(MessagesOfFormerLandingsAreRead);
  CPPUNIT_TEST(EntriesWithLaterElementsAreRead);
  CPPUNIT_TEST(EntriesThatLackElementsAreNot);
  CPPUNIT_TEST(RolloutEntriesOfAnUnknownStageOrOutcomeAreNot);
  CPPUNIT_TEST(ElementsOfAnotherTypeOrRangeSpoilOnlyTheirEntry);
  CPPUNIT_TEST(RolloutEntriesOutOfRangeAreNotRead);
  CPPUNIT_TEST(RolloutOrdersOfAnotherFormAreNotRead);
  CPPUNIT_TEST(RolloutStatesOfAnotherFormAreNotRead);
  CPPUNIT_TEST(ReachMessagesWithLaterElementsAreRead);
  CPPUNIT_TEST(LoadsOfManyHostsDoNotOverflow);
  CPPUNIT_TEST(WrittenEntriesAreThoseThatFormerLandingsRead);
  CPPUNIT_TEST(AttemptsOfFormerLandingsReplaceEarlierOnes);
  CPPUNIT_TEST(RowsOfFormerLandingsAreRead);
  CPPUNIT_TEST(RowsWithLaterElementsAreRead);
  CPPUNIT_TEST(ConvictionsWithLaterElementsAreKept);
  CPPUNIT_TEST(RowsOutOfRangeAreNotRead);
  CPPUNIT_TEST(RowsThatCannotBeReadAreNotRemoved);
  CPPUNIT_TEST(RowsOfPeersWithLaterMembersAreRead);
  CPPUNIT_TEST(VersionsOfPeersWithLaterElementsAreRead);
  CPPUNIT_TEST(QueriesAndRepliesWithAnEraAreRead);
  CPPUNIT_TEST(QueriesAndRepliesWithoutAnEraAreThoseOfTheFirst);
  CPPUNIT_TEST(ErasWithLaterMembersAreRead);
  CPPUNIT_TEST(VersionsOfAnUnreadableEraAreNotCompared);
  CPPUNIT_TEST(PassedOnRequestsWithLaterFieldsAreRead);
  CPPUNIT_TEST(UnknownVerdictsAreFailuresThatMayHaveRun);
  CPPUNIT_TEST(UnreadableRecordsAreCounted);
  CPPUNIT_TEST(NamesOfUnreadableRecordsAreKeptUpToALength);
  CPPUNIT_TEST_SUITE_END();

public:
  // A host whose settings came from a template without "relayPort" did not
  // start.
  void SettingsOfFormerTemplatesAreAccepted()
  {
    std::string reason;
    const auto former =
      ParseGatewaySettings(ReadData("settings-9916185.json"), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, former);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(former->mRelayPort));
    std::string text = ReadData("settings-024c004.json");
    const auto later = ParseGatewaySettings(text, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, later);
    CPPUNIT_ASSERT_EQUAL(1005, static_cast<int>(later->mRelayPort));
    text.insert(text.find('{') + 1, R"("laterField":[1],)");
    CPPUNIT_ASSERT_MESSAGE(reason, ParseGatewaySettings(text, reason));
  }

  void MessagesOfFormerLandingsAreRead()
  {
    for (const std::string& landing : kLandings) {
      Json json;
      Parse(json, ReadData("messages-" + landing + ".json"));
      for (const auto& it : EntryFormats()) {
        const auto list = json.FindMember(it.first.c_str());
        if (list == json.MemberEnd()) {
          continue;
        }
        for (const auto& entry : list->value.GetArray()) {
          CPPUNIT_ASSERT_MESSAGE(landing + " " + it.first,
                                 it.second.mIsReadable(entry));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(landing, UnreadableReachMembers(json).empty());
    }
  }

  // Lists with one element more than this build knows were dropped.
  void EntriesWithLaterElementsAreRead()
  {
    for (const auto& it : EntryExamples()) {
      Json entry;
      Parse(entry, it.second);
      AddElements(entry, 10);
      CPPUNIT_ASSERT_MESSAGE(it.first, IsReadable(it.first, entry));
    }
    Json suspect;
    Parse(suspect, R"([7,-1,[[11,12,2400,350,"later",{}]],"later"])");
    const auto report = ParseSuspectEntry(suspect, kNow);
    CPPUNIT_ASSERT(report && report->mRuns.size() == 1);
  }

  void EntriesThatLackElementsAreNot()
  {
    for (const auto& it : EntryExamples()) {
      Json entry;
      Parse(entry, it.second);
      if (it.first == kOriginList) {
        entry.PopBack();
        CPPUNIT_ASSERT(IsReadable(it.first, entry));
      }
      entry.PopBack();
      CPPUNIT_ASSERT_MESSAGE(it.first, !IsReadable(it.first, entry));
      entry.Clear();
      CPPUNIT_ASSERT_MESSAGE(it.first, !IsReadable(it.first, entry));
    }
  }

  // Guards against a directive of a later build whose unknown stage passes for
  // a trial, and against a report whose unreadable outcome is left out of sums.
  void RolloutEntriesOfAnUnknownStageOrOutcomeAreNot()
  {
    Json directive;
    Parse(directive, kOwnExamples.at("rollouts"));
    const auto read = ParseRolloutDirective(directive);
    CPPUNIT_ASSERT(read && read->mStage == RolloutStage::Trial);
    directive[5].SetString("rolled_back");
    const auto final = ParseRolloutDirective(directive);
    CPPUNIT_ASSERT(final && final->mStage == RolloutStage::RolledBack);
    directive[5].SetString("paused");
    CPPUNIT_ASSERT(!ParseRolloutDirective(directive));
    for (const char* outcome : { R"(["chat"])",
                                 R"(["chat","",9,1,2,[25,4],[]])",
                                 R"(["chat","",-1,1,2,[],[]])",
                                 R"(["chat","",9,1,2,{},[]])" }) {
      Json report;
      Parse(report, kOwnExamples.at("rollout_reports"));
      CPPUNIT_ASSERT(ParseRolloutReport(report));
      Json entry(&report.GetAllocator());
      Parse(entry, outcome);
      report[11].PushBack(entry, report.GetAllocator());
      CPPUNIT_ASSERT_MESSAGE(outcome, !ParseRolloutReport(report));
    }
  }

  // Negative ages and counts were taken as they came: a target "lost" in the
  // future stayed doubtful until then.
  void ElementsOfAnotherTypeOrRangeSpoilOnlyTheirEntry()
  {
    const std::vector<std::string> wrong = { "{}", "null", "[[]]", "true" };
    for (const auto& it : EntryExamples()) {
      Json example;
      Parse(example, it.second);
      for (rapidjson::SizeType n = 0; n < example.Size(); ++n) {
        for (const std::string& value : wrong) {
          Json entry;
          Parse(entry, it.second);
          Json element(&entry.GetAllocator());
          Parse(element, value);
          entry[n].Swap(element);
          const bool isList = example[n].IsArray() && value == "[[]]";
          CPPUNIT_ASSERT_MESSAGE(it.first + " " + value,
                                 !IsReadable(it.first, entry) || isList);
        }
        if (example[n].IsNumber()) {
          Json entry;
          Parse(entry, it.second);
          entry[n].SetInt64(-2000000000);
          CPPUNIT_ASSERT_MESSAGE(it.first + " negative",
                                 !IsReadable(it.first, entry));
        }
      }
      for (const std::string& value : wrong) {
        Json entry;
        Parse(entry, value);
        CPPUNIT_ASSERT_MESSAGE(it.first, !IsReadable(it.first, entry));
      }
    }
    Json answer;
    Parse(answer, R"(["t1",9,"answer of a later build"])");
    CPPUNIT_ASSERT(!ParseRoomAnswerEntry(answer));
  }

  // Guards against a spoiled datagram that ends a rollout, or brings the sums
  // of the host that judges it out of range.
  void RolloutEntriesOutOfRangeAreNotRead()
  {
    // Where the example is changed, and to what.
    const std::vector<std::array<std::string, 3>> changes = {
      { "rollout_reports", R"("pool")", R"("")" },
      { "rollout_reports", R"("v2")", R"("")" },
      { "rollout_reports", "18446744073709551615", "18446744073709551616" },
      { "rollout_reports", "1200", "86400001" },
      { "rollout_reports", "-300", "-86400001" },
      { "rollout_reports", R"("shift")", R"("stage of a later build")" },
      { "rollout_reports", "250000", "1000001" },
      { "rollout_reports", "250000", "0.25" },
      { "rollout_reports", ",3,5,7,", ",3,5,1000000001," },
      { "rollout_reports", ",3,5,7,", ",3000000000,5,7," },
      { "rollout_reports", "[4,2,24,1]", "[25,1]" },
      { "rollout_reports", "[4,2,24,1]", "[4,-1]" },
      { "rollout_reports", "[4,2,24,1]", "[4,1000000001]" },
      { "rollout_reports", R"("t1",9,1)", R"("t1",-9,1)" },
      { "rollout_reports", R"("t1",9,1)", R"("t1",9,1000000001)" },
      { "rollout_reports", R"("t1",9,1)", R"(1,9,1)" },
      { "rollout_reports", ",[6,1]]", "]" },
      { "rollout_reports", "[6,1]", "[-1,1]" },
      { "rollouts", R"("pool")", R"("")" },
      { "rollouts", R"("v2")", R"("")" },
      { "rollouts", R"("trial")", R"("")" },
      { "rollouts", "13800", "86400001" },
      { "rollouts", "300000", "-1" },
      { "rollouts", "644", "1000000001" },
      { "rollouts", ",100]", ",-100]" },
    };
    for (const auto& it : changes) {
      std::string text = kOwnExamples.at(it[0]);
      Json entry;
      Parse(entry, text);
      CPPUNIT_ASSERT_MESSAGE(text, IsReadable(it[0], entry));
      const auto at = text.find(it[1]);
      CPPUNIT_ASSERT_MESSAGE(it[1], at != std::string::npos);
      text.replace(at, it[1].size(), it[2]);
      Parse(entry, text);
      CPPUNIT_ASSERT_MESSAGE(text, !IsReadable(it[0], entry));
    }
    // More buckets than there are.
    std::string buckets = "[";
    for (int n = 0; n < 26; ++n) {
      buckets += "0,1,";
    }
    buckets.back() = ']';
    std::string text = kOwnExamples.at("rollout_reports");
    text.replace(text.find("[4,2,24,1]"), 10, buckets);
    Json entry;
    Parse(entry, text);
    CPPUNIT_ASSERT(!IsReadable("rollout_reports", entry));
  }

  // Guards against a row that an operator has spoiled starting a rollout.
  void RolloutOrdersOfAnotherFormAreNotRead()
  {
    const auto read = [](const std::string& aValue, std::string& aReason) {
      return platform::DecodeRolloutRequest(aValue, aReason);
    };
    std::string reason;
    const auto order = read(
      R"({"Service":"pool","To":"v2","DurationS":12.5,"Later":[]})", reason);
    CPPUNIT_ASSERT(order && order->mDuration == milliseconds(12500));
    const auto longest =
      read(R"({"Service":"pool","To":"v2","DurationS":1e300})", reason);
    CPPUNIT_ASSERT(longest && longest->mDuration == std::chrono::hours(24));
    for (const std::string value :
         { "",
           "null",
           "[]",
           "{",
           "{}",
           R"({"To":"v2","DurationS":12})",
           R"({"Service":"pool","DurationS":12})",
           R"({"Service":"pool","To":"v2"})",
           R"({"Service":7,"To":"v2","DurationS":12})",
           R"({"Service":"pool","To":["v2"],"DurationS":12})",
           R"({"Service":"pool","To":"","DurationS":12})",
           R"({"Service":"pool","To":"v\r\n2","DurationS":12})",
           R"({"Service":"pool","To":"v2","DurationS":0})",
           R"({"Service":"pool","To":"v2","DurationS":-12})",
           R"({"Service":"pool","To":"v2","DurationS":"12"})",
           R"({"Service":"pool","To":"v2","DurationS":null})",
           R"({"Service":"pool","To":"v2","DurationS":1e999})" }) {
      reason.clear();
      CPPUNIT_ASSERT_MESSAGE(value, !read(value, reason));
      CPPUNIT_ASSERT_MESSAGE(value, !reason.empty());
    }
  }

  // Guards against a spoiled record being taken for the state of a rollout, and
  // replaced without a log line.
  void RolloutStatesOfAnotherFormAreNotRead()
  {
    std::string reason;
    for (const std::string state : { "running", "completed", "rolled_back" }) {
      const auto status = platform::DecodeRolloutStatus(
        platform::FormatRolloutStatus({ state, "v2" }), reason);
      CPPUNIT_ASSERT_MESSAGE(state, status);
      CPPUNIT_ASSERT_EQUAL(state, status->mState);
      CPPUNIT_ASSERT_EQUAL(std::string("v2"), status->mVersion);
    }
    for (const std::string value : { "",
                                     "[]",
                                     "{}",
                                     R"({"State":"running"})",
                                     R"({"To":"v2"})",
                                     R"({"State":"Completed","To":"v2"})",
                                     R"({"State":7,"To":"v2"})",
                                     R"({"State":"completed","To":""})" }) {
      reason.clear();
      CPPUNIT_ASSERT_MESSAGE(value,
                             !platform::DecodeRolloutStatus(value, reason));
      CPPUNIT_ASSERT_MESSAGE(value, !reason.empty());
    }
  }

  void ReachMessagesWithLaterElementsAreRead()
  {
    Json json;
    Parse(json,
          R"({"reach_ask":["pool",4,["t1","t2"],"later"],)"
          R"("reach_answer":["pool",4,"reached",[["t1",120,"later"],)"
          R"(["t3",2147483647],["t4",-1]],["t2"],{}]})");
    const auto ask = ParseReachAsk(json);
    CPPUNIT_ASSERT(ask && ask->mTargets.size() == 2);
    const auto answer = ParseReachAnswer(json);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), answer->mHeard.size());
    CPPUNIT_ASSERT(UnreadableReachMembers(json).empty());
    Parse(json,
          R"({"reach_ask":["pool"],"reach_answer":["pool",4,"else",)"
          R"([],[]],"unreached":{}})");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), UnreadableReachMembers(json).size());
  }

  // The sum of two reported loads overflowed, and a target full of the others'
  // requests looked idle.
  void LoadsOfManyHostsDoNotOverflow()
  {
    constexpr int kHuge = std::numeric_limits<int>::max();
    TargetTableOptions options;
    options.mRouterName = "own";
    TargetTable table(options);
    TargetDeclaration target;
    target.mName = "t1";
    target.mService = "pool";
    target.mIncarnation = "1";
    table.Declare({ { "pool", "" } }, { target }, "", kNow);
    for (const char* it : { "a", "b", "c" }) {
      table.SetPeerLoad(it, { { "t1", kHuge, kHuge, kHuge } }, kNow);
      const ChoiceInputs inputs = table.InputsOf("t1", kNow);
      CPPUNIT_ASSERT_MESSAGE(it, inputs.mPeerRunning >= 1000000);
      CPPUNIT_ASSERT_MESSAGE(it, inputs.mBacklogTokens >= 1000000);
    }
    // Small loads are right again when the huge ones have been replaced.
    for (const char* it : { "a", "b", "c" }) {
      table.SetPeerLoad(it, { { "t1", 0, 0, 0 } }, kNow);
    }
    table.SetPeerLoad("a", { { "t1", 2, 3, 4 } }, kNow);
    CPPUNIT_ASSERT_EQUAL(2, table.InputsOf("t1", kNow).mPeerRunning);
  }

  // Hosts of 0e0bdf0 to bc3452f dropped the origins of streams, whose entries
  // lacked the fourth element: they could not take up streams of newer hosts,
  // and removed their rows.
  void WrittenEntriesAreThoseThatFormerLandingsRead()
  {
    const StreamOrigin origin{ 81985529216486895, "pool", "2.1" };
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"([81985529216486895,"pool","2.1",2147483647])"),
      Written([&](MessageWriter& w) { WriteOriginEntry(w, origin); }));
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"(["pool","2.1",1796464800000,2147483647])"),
      FormatOriginRow({ origin, false }, kUnixMs).mValue.value_or(""));
    CPPUNIT_ASSERT_EQUAL(
      std::string(R"(["pool","2.1",1796464800000,0])"),
      FormatVersionRow("pool", "2.1", kUnixMs).mValue.value_or(""));
    for (const auto& it : EntryExamples()) {
      Json entry;
      Parse(entry, it.second);
      CPPUNIT_ASSERT_EQUAL(it.second, Written([&](MessageWriter& aWriter) {
                             EntryFormats().at(it.first).mRewrite(aWriter,
                                                                  entry);
                           }));
    }
  }

  // Hosts of 0e0bdf0 to bc3452f tell of each attempt before its first event;
  // the first one was taken for the stream's beginning.
  void AttemptsOfFormerLandingsReplaceEarlierOnes()
  {
    StreamOrigins origins;
    const auto report = [&](const std::string& aEntry) {
      origins.OnReported(ReadOrigin(aEntry), OriginSource::Peer, kNow);
      return origins.Find(1, kNow)->mOrigin.mSoftwareVersion;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("a"), report(R"([1,"pool","a",1])"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), report(R"([1,"pool","b",2])"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), report(R"([1,"pool","a",1])"));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), report(R"([1,"pool","c"])"));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), report(R"([1,"pool","d",9])"));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), report(R"([1,"pool","e"])"));
  }

  void RowsOfFormerLandingsAreRead()
  {
    for (const std::string& landing : kLandings) {
      for (const auto& it : ReadRows(landing)) {
        CPPUNIT_ASSERT_MESSAGE(landing + " " + it[1],
                               IsRowReadable(it[0], it[1], it[2]));
      }
    }
    for (const std::string& landing : kWithAttempt) {
      for (const auto& it : ReadRows(landing)) {
        if (it[0] == "streams" && it[1].find("version") != 0) {
          const auto row = ParseOriginRow(MakeRow(it[1], it[2]));
          CPPUNIT_ASSERT_EQUAL(3, row->mOrigin->mAttempt);
        }
      }
    }
  }

  void RowsWithLaterElementsAreRead()
  {
    for (const auto& it : ReadRows("bc3452f")) {
      const bool isJson = it[2].front() == '[';
      std::string later = it[2];
      for (int n = 0; n < 10; ++n) {
        if (isJson) {
          later.insert(later.size() - 1, R"(,{"x":1})");
        } else {
          later.append(" later=").append(std::to_string(n));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(later, IsRowReadable(it[0], it[1], later));
    }
  }

  // A record with an element of a later build counted as a new one, so that a
  // convicted request was tried again.
  void ConvictionsWithLaterElementsAreKept()
  {
    const auto record =
      ParseTrialRecord("2 1 0 00000000000000a1 00000000000000a2 until=7 0001");
    CPPUNIT_ASSERT(record);
    CPPUNIT_ASSERT(record->mConvicted);
    CPPUNIT_ASSERT_EQUAL(2, record->mLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), record->mMembers.size());
    CPPUNIT_ASSERT(!ParseTrialRecord("2 1"));
    CPPUNIT_ASSERT(!ParseTrialRecord("later 2 1 0"));
    CPPUNIT_ASSERT(!ParseTrialRecord(""));
  }

  void RowsOutOfRangeAreNotRead()
  {
    const std::string key = "ffffffffffffffff-000000000000000b";
    CPPUNIT_ASSERT(
      IsRowReadable("suspects", key, "c 1796464797600 1796464799000"));
    for (const char* it : { "c 9223372036854775807 1796464797600",
                            "c 1796464797600 -9223372036854775807",
                            "c 1796464797600",
                            "" }) {
      CPPUNIT_ASSERT_MESSAGE(it, !IsRowReadable("suspects", key, it));
    }
    // A kind of row that a later build has added.
    CPPUNIT_ASSERT(!IsRowReadable("suspects", "feed-0b", "c 1 2"));
    CPPUNIT_ASSERT(!IsRowReadable(
      "streams", "0123456789abcdef", R"(["pool","2.1",9223372036854775807])"));
    CPPUNIT_ASSERT(!IsRowReadable(
      "streams", "later-0123456789abcdef", R"(["pool","2.1",1796464800000])"));
    CPPUNIT_ASSERT_EQUAL(0, ParseHostRow("127.0.0.1:1 -5").mLinkMbps);
    CPPUNIT_ASSERT_EQUAL(0, ParseHostRow("127.0.0.1:1").mLinkMbps);
  }

  // A host removed the rows of a later build from the store.
  void RowsThatCannotBeReadAreNotRemoved()
  {
    const std::string key = "0123456789abcdef";
    const auto isOutdated = [&](const std::string& aValue) {
      return IsOriginRowOutdated(ParseOriginRow(MakeRow(key, aValue)), kUnixMs);
    };
    CPPUNIT_ASSERT(!isOutdated(R"({"service":"pool"})"));
    CPPUNIT_ASSERT(!isOutdated(R"(["pool","2.1",1796464790000])"));
    CPPUNIT_ASSERT(isOutdated(R"(["pool","2.1",1796464200000])"));
  }

  void RowsOfPeersWithLaterMembersAreRead()
  {
    Json json;
    Parse(json,
          R"({"key":"k","value":"v","version":3,"removed":false,"x":{}})");
    CPPUNIT_ASSERT(ParsePeerRow(json));
    // Members that may be missing.
    Parse(json, R"({"key":"k","value":"v","version":3})");
    CPPUNIT_ASSERT(ParsePeerRow(json) && !ParsePeerRow(json)->mRemoved);
    Parse(json, R"({"key":"k","version":3,"removed":true})");
    CPPUNIT_ASSERT(ParsePeerRow(json) && ParsePeerRow(json)->mRemoved);
    for (const char* it :
         { R"({"key":"k","value":"v"})",
           R"({"key":"k","version":3})",
           R"({"key":"k","value":"v","version":-3})",
           R"({"key":"k","value":5,"version":3})",
           R"({"key":"k","value":"v","version":3,"removed":0})",
           "[]" }) {
      Parse(json, it);
      CPPUNIT_ASSERT_MESSAGE(it, !ParsePeerRow(json));
    }
  }

  // One longer entry spoiled the whole history of versions.
  void VersionsOfPeersWithLaterElementsAreRead()
  {
    Json json;
    Parse(json, R"({"versions":[["pool","1",{}],["pool","2"]]})");
    const auto versions = ParsePeerVersions(json);
    CPPUNIT_ASSERT(versions && versions->at("pool").size() == 2);
    Parse(json, R"({"versions":[["pool","1"],["pool"]]})");
    CPPUNIT_ASSERT(!ParsePeerVersions(json));
  }

  void QueriesAndRepliesWithAnEraAreRead()
  {
    const std::string reply =
      ReadData(std::string("reply-") + kWithEra + ".json");
    for (const PeerEra& it :
         { ParseQueryEra(ReadQuery(kWithEra)), ReplyEra(reply) }) {
      CPPUNIT_ASSERT(it.mReadable && it.mEra == kRecordedEra);
      CPPUNIT_ASSERT(EraHost(false).Takes(it));
      // The host begins the era that it is told, and reads all rows anew.
      EraHost first(true);
      CPPUNIT_ASSERT(!first.Takes(it));
      CPPUNIT_ASSERT(first.mFleet.Era() == kRecordedEra);
    }
    Json json;
    Parse(json, reply);
    CPPUNIT_ASSERT(ParsePeerVersions(json));
    for (const char* table :
         { "configuration", "targets", "hosts", "suspects" }) {
      for (const auto& row : json[table]["rows"].GetArray()) {
        CPPUNIT_ASSERT_MESSAGE(table, ParsePeerRow(row));
      }
    }
  }

  void QueriesAndRepliesWithoutAnEraAreThoseOfTheFirst()
  {
    const std::string reply =
      ReadData(std::string("reply-") + kWithoutEra + ".json");
    for (const PeerEra& it :
         { ParseQueryEra(ReadQuery(kWithoutEra)), ReplyEra(reply) }) {
      CPPUNIT_ASSERT(it.mReadable && !it.mEra);
      CPPUNIT_ASSERT(EraHost(true).Takes(it));
      CPPUNIT_ASSERT(!EraHost(false).Takes(it));
    }
  }

  void ErasWithLaterMembersAreRead()
  {
    const std::string query = ReadQuery(kWithEra);
    const std::vector<std::string> queries = {
      query + "&later=7",
      query + "&later_era=9.9",
      "/knowledge?later_era=9.9&era=1.17",
      "/knowledge?era=1.17&later_era=9.9",
      "/knowledge?era=1.17"
    };
    for (const std::string& it : queries) {
      CPPUNIT_ASSERT_MESSAGE(it, ParseQueryEra(it).mEra == kRecordedEra);
    }
    std::string reply = ReadData(std::string("reply-") + kWithEra + ".json");
    reply.insert(1, R"("later":{"era":"9.9"},"later_era":"9.9",)");
    CPPUNIT_ASSERT(ReplyEra(reply).mEra == kRecordedEra);
  }

  // Guards against versions of another era that are compared with the own ones,
  // as if the host had told none.
  void VersionsOfAnUnreadableEraAreNotCompared()
  {
    const auto expectNotTaken = [](const std::string& aText,
                                   const PeerEra& aTold) {
      CPPUNIT_ASSERT_MESSAGE(aText, !aTold.mReadable && !aTold.mEra);
      for (const bool isFirst : { true, false }) {
        EraHost host(isFirst);
        const StoreEra before = host.mFleet.Era();
        CPPUNIT_ASSERT_MESSAGE(aText, !host.Takes(aTold));
        CPPUNIT_ASSERT_MESSAGE(aText, host.mFleet.Era() == before);
      }
    };
    for (const char* it : { "",
                            "1",
                            "1.",
                            ".17",
                            "1.17.2",
                            "-1.17",
                            "1.-17",
                            "1.99999999999999999999",
                            "1,17",
                            "e1.17",
                            "%31.17",
                            " 1.17" }) {
      const std::string text = it;
      expectNotTaken(text, ParseQueryEra("/knowledge?hosts=7&era=" + text));
      expectNotTaken(text, ReplyEra(R"({"era":")" + text + "\"}"));
    }
    for (const char* it : { R"({"era":1.17})",
                            R"({"era":17})",
                            R"({"era":null})",
                            R"({"era":["1.17"]})",
                            R"({"era":{"generation":1,"number":17}})",
                            R"({"era":"1.17\u0000"})" }) {
      expectNotTaken(it, ReplyEra(it));
    }
  }

  void PassedOnRequestsWithLaterFieldsAreRead()
  {
    PassedOnRequest request;
    request.mFrom = "front-1";
    request.mService = "pool";
    request.mConfiguration = 7;
    HttpHead head;
    std::stringstream fields(FormatPassedOnRequest(request));
    std::string line;
    while (std::getline(fields, line)) {
      const auto colon = line.find(": ");
      const auto end = line.find('\r');
      head.mFields.push_back(
        { line.substr(0, colon), line.substr(colon + 2, end - colon - 2) });
    }
    head.mFields.push_back({ "X-Passed-Later", "1" });
    CPPUNIT_ASSERT(ParsePassedOnRequest(head));
    RemoveHostFields(head);
    CPPUNIT_ASSERT(head.mFields.empty());
  }

  // A failure with a verdict of a later build was passed on as the answer of a
  // target.
  void UnknownVerdictsAreFailuresThatMayHaveRun()
  {
    HttpHead head;
    CPPUNIT_ASSERT(!ParsePassedOnAnswer(head).mOwnFailure);
    head.mFields.push_back({ "X-Passed-Verdict", "later" });
    CPPUNIT_ASSERT(ParsePassedOnAnswer(head).mOwnFailure);
    CPPUNIT_ASSERT(!ParsePassedOnAnswer(head).mNotRun);
  }

  void UnreadableRecordsAreCounted()
  {
    GatewayMetrics metrics("own");
    FormatLog log(metrics);
    for (int n = 0; n < 3; ++n) {
      log.OnUnreadable("front-1", "load");
    }
    const std::string text = metrics.Serialize();
    CPPUNIT_ASSERT_MESSAGE(
      text,
      text.find("quetzal_records_unreadable_total{host=\"own\"} 3") !=
        std::string::npos);
  }

  // Names as long as a datagram took more memory than the rest of the host.
  void NamesOfUnreadableRecordsAreKeptUpToALength()
  {
    static constexpr std::size_t kBytesPerName = 256;
    constexpr std::size_t kMaxNames = 2000;
    GatewayMetrics metrics("own");
    FormatLog log(metrics);
    log.OnUnreadable("front-1", "load");
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), log.KeptBytes());
    CheckProperty("names have a bounded length", [] {
      GatewayMetrics others("own");
      FormatLog kept(others);
      const auto host = *rc::gen::inRange<std::size_t>(0, 2000);
      const auto kind = *rc::gen::inRange<std::size_t>(0, 2000);
      kept.OnUnreadable(std::string(host, 'h'), std::string(kind, 'k'));
      RC_ASSERT(kept.KeptBytes() ==
                std::min(host, kBytesPerName) + std::min(kind, kBytesPerName));
    });
    for (std::size_t n = 0; n < 2 * kMaxNames; ++n) {
      log.OnUnreadable(std::to_string(n) + std::string(4000, 'h'), "load");
    }
    CPPUNIT_ASSERT(log.KeptBytes() <= kMaxNames * 2 * kBytesPerName);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatTests);
