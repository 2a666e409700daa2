#include "Mutator.h"

#include "core/Hash.h"
#include "core/SuspectRegistry.h"
#include "core/TrialRecord.h"
#include "gateway/GatewaySettings.h"
#include "gateway/HostRows.h"
#include "gateway/LoadMessages.h"
#include "gateway/PassedOnRequest.h"
#include "gateway/ReachMessages.h"
#include "gateway/RolloutMessages.h"
#include "gateway/StreamOriginRows.h"
#include "gateway/SuspectRows.h"
#include "http/HttpReader.h"
#include "http/JsonText.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <map>
#include <sstream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

const Time kNow = Time(std::chrono::hours(30 * 24));

// Unix time of the rows, in milliseconds.
constexpr std::int64_t kUnixMs = 1796464800000;

constexpr int kMaxCount = 1000000000;

// Lists about rollouts, as this build writes them.
constexpr char kRolloutMessage[] =
  R"({"rollout_reports":[["pool",18446744073709551615,"v2",1200,-300,"shift",)"
  R"(250000,3,5,7,[4,2,24,1],[["chat","t1",9,1,2,[3,5],[6,1]],)"
  R"(["chat","",4,0,0,[],[]]]]],"rollouts":[["pool",7,"v2",1200,13800,"trial",)"
  R"(300000,644,100]]})";

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

template<typename Function>
std::string
Written(const Function& aFunction)
{
  rapidjson::StringBuffer buf;
  MessageWriter writer(buf);
  aFunction(writer);
  return buf.GetString();
}

// Whether an entry that was read is read as the same one after this host has
// passed it on; one that is not read passes.
using EntryCheck = std::function<bool(const rapidjson::Value&)>;

template<typename Reader, typename Writer>
EntryCheck
MakeCheck(Reader aRead, Writer aWrite)
{
  return [=](const rapidjson::Value& aEntry) {
    const auto entry = aRead(aEntry);
    if (!entry) {
      return true;
    }
    const auto write = [&](const auto& aRecord) {
      return Written([&](MessageWriter& aWriter) { aWrite(aWriter, aRecord); });
    };
    const std::string text = write(*entry);
    rapidjson::Document json;
    ParseJson(json, text);
    const auto again = json.HasParseError() ? decltype(entry)() : aRead(json);
    return again && write(*again) == text;
  };
}

template<typename Reader, typename Writer>
EntryCheck
MakeTimedCheck(Reader aRead, Writer aWrite)
{
  return MakeCheck(
    [aRead](const rapidjson::Value& aEntry) { return aRead(aEntry, kNow); },
    [aWrite](MessageWriter& aWriter, const auto& aRecord) {
      aWrite(aWriter, aRecord, kNow);
    });
}

const std::map<std::string, EntryCheck>&
EntryChecks()
{
  static const EntryCheck kTotals =
    MakeCheck(ParseTotalsEntry, WriteTotalsEntry);
  static const EntryCheck kRetry =
    MakeCheck(ParseRetryEntry, [](MessageWriter& aWriter, const auto& aGrant) {
      WriteRetryEntry(aWriter, aGrant.mService, aGrant.mAsk, aGrant.mCount);
    });
  static const std::map<std::string, EntryCheck> kChecks = {
    { "load", MakeCheck(ParseLoadEntry, WriteLoadEntry) },
    { "lost", MakeTimedCheck(ParseLostEntry, WriteLostEntry) },
    { "totals", kTotals },
    { "limit_totals", kTotals },
    { "asks", kRetry },
    { "grants", kRetry },
    { "limit_asks", kRetry },
    { "limit_grants", kRetry },
    { "limits", MakeTimedCheck(ParseLimitEntry, WriteLimitEntry) },
    { "brittle", MakeTimedCheck(ParseBrittleEntry, WriteBrittleEntry) },
    { "room", MakeCheck(ParseRoomEntry, WriteRoomEntry) },
    { "room_answers", MakeCheck(ParseRoomAnswerEntry, WriteRoomAnswerEntry) },
    { "rollout_reports", MakeCheck(ParseRolloutReport, WriteRolloutReport) },
    { "rollouts", MakeCheck(ParseRolloutDirective, WriteRolloutDirective) },
    { "streams", MakeCheck(ParseOriginEntry, WriteOriginEntry) },
    { "gone", MakeCheck(ParseDepartureEntry, WriteDepartureEntry) },
    { "suspects", MakeTimedCheck(ParseSuspectEntry, WriteSuspectEntry) },
    { "convicted", MakeTimedCheck(ParseConvictionEntry, WriteConvictionEntry) },
  };
  return kChecks;
}

std::string
CheckReach(const rapidjson::Value& aMessage)
{
  constexpr std::size_t kMost = TargetReach::kMaxAskedTargets;
  const auto ask = ParseReachAsk(aMessage);
  const auto answer = ParseReachAnswer(aMessage);
  ParseUnreached(aMessage);
  UnreadableReachMembers(aMessage);
  if (ask && ask->mTargets.size() > kMost) {
    return "an ask names too many targets";
  }
  if (!answer) {
    return {};
  }
  if (answer->mHeard.size() > kMost || answer->mFailing.size() > kMost) {
    return "an answer names too many targets";
  }
  for (const auto& it : answer->mHeard) {
    if (it.second <= Duration::zero()) {
      return "a target was heard in the future";
    }
  }
  const std::string text = Written([&](MessageWriter& aWriter) {
    aWriter.StartObject();
    WriteReachAnswer(aWriter, *answer);
    aWriter.EndObject();
  });
  rapidjson::Document json;
  ParseJson(json, text);
  return json.HasParseError() ? "an answer cannot be passed on" : "";
}

std::string
CheckMessage(const std::string& aInput, Mutator&)
{
  rapidjson::Document json;
  ParseJson(json, aInput);
  if (json.HasParseError() || !json.IsObject()) {
    return {};
  }
  for (const auto& it : EntryChecks()) {
    const auto list = json.FindMember(it.first.c_str());
    if (list == json.MemberEnd() || !list->value.IsArray()) {
      continue;
    }
    for (const auto& entry : list->value.GetArray()) {
      if (!it.second(entry)) {
        return "an entry of " + it.first + " is read as another one later";
      }
    }
  }
  return CheckReach(json);
}

// Keys and values of the rows, separated by a tab.
std::vector<std::string>
RowsOf(const std::string& aTable,
       const std::vector<std::string>& aLandings = { "9916185",
                                                     "bc3452f",
                                                     "c6d7403" })
{
  std::vector<std::string> rows;
  for (const std::string& landing : aLandings) {
    std::stringstream text(ReadData("rows-" + landing + ".txt"));
    std::string line;
    while (std::getline(text, line)) {
      if (line.rfind(aTable + "\t", 0) == 0) {
        rows.push_back(line.substr(aTable.size() + 1));
      }
    }
  }
  return rows;
}

platform::StoreRow
MakeRow(const std::string& aInput)
{
  platform::StoreRow row;
  const auto tab = aInput.find('\t');
  row.mKey = aInput.substr(0, tab);
  row.mValue = tab == std::string::npos ? "" : aInput.substr(tab + 1);
  row.mVersion = 1;
  return row;
}

std::string
CheckSuspectRow(const std::string& aInput, Mutator&)
{
  const platform::StoreRow row = MakeRow(aInput);
  const ClockReading clocks = { kNow, kUnixMs };
  IsTargetTrialKey(row.mKey);
  ParseTrialSuspects(row);
  if (const auto record = ParseTrialRecord(row.mValue)) {
    const auto again = ParseTrialRecord(FormatTrialRecord(*record));
    if (!again || FormatTrialRecord(*again) != FormatTrialRecord(*record) ||
        record->mLost < 0) {
      return "a record is read as another one later";
    }
  }
  if (const auto change = ParseSuspectRow(row, clocks)) {
    const platform::RowChange written = FormatSuspectRow(*change, clocks);
    const auto again =
      ParseSuspectRow(MakeRow(written.mKey + "\t" + *written.mValue), clocks);
    if (!again || FormatSuspectRow(*again, clocks).mValue != written.mValue) {
      return "a lost run is read as another one later";
    }
  }
  return {};
}

// Rows of trials, of sets and of targets, as this build writes them.
std::vector<std::string>
TrialRowsOfThisBuild()
{
  TrialRecord held;
  held.mHeld = true;
  TrialRecord convicted = FinishTrial(held, TrialOutcome::Convicted);
  for (std::uint64_t n = 0; n < SuspectRegistry::kMaxLostParts; ++n) {
    convicted.mMembers.push_back(StableHash(std::to_string(n)));
  }
  TrialRecord most = held;
  most.mLost = kMaxLostTrials;
  return { TrialKeyOf("t1") + "\t" + FormatTrialRecord(held),
           TrialKeyOf(SuspectSet(convicted.mMembers).mId) + "\t" +
             FormatTrialRecord(convicted),
           TrialKeyOf(std::uint64_t{ 0xa1 }) + "\t" + FormatTrialRecord(most) };
}

bool
IsReadAgain(const TrialRecord& aRecord)
{
  const auto again = ParseTrialRecord(FormatTrialRecord(aRecord));
  return again && again->mLost == aRecord.mLost &&
         again->mConvicted == aRecord.mConvicted &&
         again->mHeld == aRecord.mHeld && again->mMembers == aRecord.mMembers;
}

std::string
CheckTrialRow(const std::string& aInput, Mutator&)
{
  constexpr std::size_t kMemberBytes = 17;
  const platform::StoreRow row = MakeRow(aInput);
  const auto suspects = ParseTrialSuspects(row);
  if (suspects && (IsTargetTrialKey(row.mKey) || suspects->mMembers.empty())) {
    return "a trial is of no suspects";
  }
  const auto record = ParseTrialRecord(row.mValue);
  if (!record) {
    return {};
  }
  if (record->mLost < 0 || record->mLost > kMaxLostTrials ||
      record->mMembers.size() * kMemberBytes > row.mValue.size()) {
    return "a record is out of range";
  }
  const std::string count = row.mValue.substr(0, row.mValue.find(' '));
  const auto digits = count.find_first_not_of('0');
  if (std::to_string(record->mLost) !=
      (digits == std::string::npos ? "0" : count.substr(digits))) {
    return "a count is read as another one";
  }
  // What a host makes of the record, and stores.
  std::vector<TrialRecord> next = { *record,
                                    BeginTrial(*record, false),
                                    BeginTrial(*record, true) };
  for (const auto outcome : { TrialOutcome::Cleared,
                              TrialOutcome::Inconclusive,
                              TrialOutcome::Convicted,
                              TrialOutcome::Lost }) {
    next.push_back(FinishTrial(*record, outcome));
    if (next.back().mHeld) {
      return "a trial that has ended is held";
    }
  }
  return std::all_of(next.begin(), next.end(), IsReadAgain)
           ? ""
           : "a record is read as another one later";
}

std::string
CheckHostRow(const std::string& aInput, Mutator&)
{
  const HostRow row = ParseHostRow(MakeRow(aInput).mValue);
  if (row.mLinkMbps < 0) {
    return "the bandwidth is out of range";
  }
  const auto endpoint = ParseEndpoint(row.mAddress);
  if (!endpoint) {
    return {};
  }
  // What this host writes of itself must be read as that by others.
  GatewaySettings settings;
  settings.mPeerEndpoint = *endpoint;
  settings.mLinkMbps = row.mLinkMbps;
  const HostRow again = ParseHostRow(FormatHostRow(settings));
  return again.mAddress != FormatEndpoint(*endpoint) ||
             again.mLinkMbps != row.mLinkMbps
           ? "a registration is read as another one later"
           : "";
}

std::string
CheckOriginRow(const std::string& aInput, Mutator&)
{
  const auto row = ParseOriginRow(MakeRow(aInput));
  IsOriginRowOutdated(row, kUnixMs);
  if (!row) {
    return {};
  }
  return row->mWrittenAtMs < 0 || (row->mOrigin && row->mOrigin->mAttempt < 0)
           ? "a row is out of range"
           : "";
}

std::string
CheckRolloutRow(const std::string& aInput, Mutator&)
{
  std::string reason;
  const auto order = platform::DecodeRolloutRequest(aInput, reason);
  if (!order && reason.empty()) {
    return "an order is refused without a reason";
  }
  if (order && (order->mService.empty() || order->mVersion.empty() ||
                order->mDuration < Duration::zero() ||
                order->mDuration > std::chrono::hours(24))) {
    return "an order is out of range";
  }
  reason.clear();
  const auto status = platform::DecodeRolloutStatus(aInput, reason);
  if (!status) {
    return reason.empty() ? "a state is refused without a reason" : "";
  }
  const std::string text = platform::FormatRolloutStatus(*status);
  const auto again = platform::DecodeRolloutStatus(text, reason);
  return again && platform::FormatRolloutStatus(*again) == text
           ? ""
           : "a state is read as another one later";
}

std::string
CheckPassedOn(const std::string& aInput, Mutator&)
{
  HttpReader reader(HttpMessageType::Requests, {});
  reader.Feed(aInput);
  if (reader.Progress() != HttpProgress::Complete) {
    return {};
  }
  HttpHead head = reader.Head();
  if (const PassedOnAnswer answer = ParsePassedOnAnswer(head);
      answer.mRuns < 0 || answer.mRuns > kMaxCount) {
    return "the runs of an answer are out of range";
  }
  const auto request = ParsePassedOnRequest(head);
  RemoveHostFields(head);
  for (const HttpField& it : head.mFields) {
    if (IsHostField(it.mName)) {
      return "a field of the hosts is left";
    }
  }
  if (!request) {
    return {};
  }
  return request->mFrom.empty() || request->mService.empty() ||
             request->mConfiguration < 0 || request->mTries < 0 ||
             request->mTries > kMaxCount || request->mPrior.mRuns < 0 ||
             request->mPrior.mRuns > kMaxCount ||
             request->mAge < Duration::zero() ||
             request->mAge > milliseconds(kMaxCount)
           ? "a request is out of range"
           : "";
}

std::string
CheckSettings(const std::string& aInput, Mutator&)
{
  std::string reason;
  const auto settings = ParseGatewaySettings(aInput, reason);
  if (!settings) {
    return reason.empty() ? "no reason" : "";
  }
  return (settings->mDescriptors != 0 &&
          MaxConnections(settings->mDescriptors) < 1) ||
             settings->mMemoryMb < 0 || settings->mLinkMbps < 0 ||
             settings->mStopGrace < Duration(1) ||
             settings->mRetryWindow < Duration(1) ||
             !(settings->mRetryRatio >= 0 && settings->mRetryRatio <= 10)
           ? "a setting is out of range"
           : "";
}

} // namespace

// What hosts send each other, store and are started with.
class HostFuzzTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostFuzzTests);
  CPPUNIT_TEST(Messages);
  CPPUNIT_TEST(HostRows);
  CPPUNIT_TEST(SuspectRows);
  CPPUNIT_TEST(TrialRows);
  CPPUNIT_TEST(OriginRows);
  CPPUNIT_TEST(RolloutRows);
  CPPUNIT_TEST(PassedOnRequests);
  CPPUNIT_TEST(Settings);
  CPPUNIT_TEST_SUITE_END();

public:
  void Messages()
  {
    CheckMutations("messages",
                   { ReadData("messages-9916185.json"),
                     ReadData("messages-bc3452f.json"),
                     ReadData("messages-c6d7403.json"),
                     kRolloutMessage },
                   CheckMessage);
  }

  void HostRows()
  {
    CheckMutations("registrations of hosts", RowsOf("hosts"), CheckHostRow);
  }

  void SuspectRows()
  {
    CheckMutations("rows of suspects", RowsOf("suspects"), CheckSuspectRow);
  }

  void TrialRows()
  {
    std::vector<std::string> rows = TrialRowsOfThisBuild();
    for (const char* landing : { "e1c1272", "f97d0fb", "024c004" }) {
      for (const std::string& it : RowsOf("suspects", { landing })) {
        if (ParseTrialSuspects(MakeRow(it))) {
          rows.push_back(it);
        }
      }
    }
    CheckMutations("rows of trials", rows, CheckTrialRow);
  }

  void OriginRows()
  {
    CheckMutations("rows of streams", RowsOf("streams"), CheckOriginRow);
  }

  void RolloutRows()
  {
    CheckMutations("rows of rollouts",
                   { R"({"Service":"pool","To":"v2","DurationS":12.5})",
                     R"({"State":"rolled_back","To":"v2"})" },
                   CheckRolloutRow);
  }

  void PassedOnRequests()
  {
    PassedOnRequest request;
    request.mFrom = "front-1";
    request.mConfiguration = 7;
    request.mAge = milliseconds(250);
    request.mService = "pool";
    request.mSoftwareVersion = "2.1";
    request.mRunMark = "00c0ffee00c0ffee";
    const std::string line = "GET /chat/run HTTP/1.1\r\nHost: h\r\n";
    CheckMutations(
      "passed on requests",
      { line + FormatPassedOnRequest(request) + "\r\n",
        line + FormatHostFailure(RunVerdict::NotRun, RefusedBy::Host, 2) +
          FormatStreamStart("pool", "2.1") + "\r\n" },
      CheckPassedOn);
  }

  void Settings()
  {
    CheckMutations(
      "settings",
      { ReadData("settings-9916185.json"), ReadData("settings-024c004.json") },
      CheckSettings);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostFuzzTests);
