#include "core/DepartureNews.h"
#include "core/LimitShares.h"
#include "core/ReaderChoice.h"
#include "core/RetryBudget.h"
#include "core/StreamOrigins.h"
#include "core/SuspectRegistry.h"
#include "core/TargetLimits.h"
#include "core/TargetReach.h"
#include "core/TargetRoom.h"
#include "core/TargetTable.h"
#include "core/TargetWaits.h"
#include "gateway/Fleet.h"
#include "gateway/HeardHosts.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// When the last other host is heard for the last time.
const Time kStart = Time() + std::chrono::hours(1);

constexpr char kOther[] = "other";

// Whether a belief is held at a time.
using Check = std::function<bool(Time)>;

// What a host believes for a while, as docs/design/beliefs.md lists it.
struct Belief
{
  std::string mName;
  Duration mLifetime;
  // Tells a new host of it at kStart, and nothing afterwards.
  std::function<Check()> mTell;
};

std::shared_ptr<TargetTable>
MakeTable(int aPlaceLossThreshold = 0)
{
  TargetTableOptions options;
  options.mRouterName = "self";
  options.mDoubtDuration = milliseconds(3600);
  options.mPlaceLossThreshold = aPlaceLossThreshold;
  auto table = std::make_shared<TargetTable>(options);
  ServiceDeclaration service;
  service.mName = "pool";
  service.mServingVersion = "1";
  std::vector<TargetDeclaration> targets;
  for (const char* it : { "t0", "t1" }) {
    TargetDeclaration target;
    target.mName = it;
    target.mService = "pool";
    target.mSoftwareVersion = "1";
    target.mPlace = "here";
    targets.push_back(target);
  }
  table->Declare({ service }, targets, "region");
  return table;
}

Check
TellLoad()
{
  auto table = MakeTable();
  TargetLoad load;
  load.mTarget = "t0";
  load.mRunning = 3;
  table->SetPeerLoad(kOther, { load }, kStart);
  return
    [table](Time aNow) { return table->InputsOf("t0", aNow).mPeerRunning > 0; };
}

Check
TellLoss()
{
  auto table = MakeTable();
  table->OnLostByPeer("t0", kStart, kStart);
  return [table](Time aNow) { return table->InputsOf("t0", aNow).mDoubtful; };
}

Check
TellPlaceLoss()
{
  auto table = MakeTable(1);
  table->OnLostByPeer("t0", kStart, kStart);
  return [table](Time aNow) { return table->InputsOf("t1", aNow).mDoubtful; };
}

constexpr int kSlots = 4;

// Name of a target whose room the other host grants.
std::string
TargetKeptByOther(const TargetRoom& aRoom)
{
  std::string target = "t";
  while (aRoom.KeeperOf(target, kStart) != kOther) {
    target += "t";
  }
  return target;
}

// The last other host is heard, and no longer listed.
Check
TellRoomHost()
{
  TargetRoom room;
  room.SetHost("self");
  room.SetHosts({ "self", kOther });
  room.OnHostHeard(kOther, kStart);
  room.SetHosts({ "self" });
  const std::string target = TargetKeptByOther(room);
  return [room, target](Time aNow) {
    TargetRoom copy = room;
    int granted = 0;
    for (int n = 0; n < kSlots; ++n) {
      const auto status = copy.Take(
        "r" + std::to_string(n), target, { granted, { kSlots, 1 } }, aNow);
      granted += status == RoomStatus::Granted ? 1 : 0;
    }
    return granted < kSlots;
  };
}

// Another host keeps the room and leaves asks for it to this one only once it
// is silent.
Check
TellRoomKeeper()
{
  TargetRoom room;
  room.SetHost("self");
  room.SetHosts({ "self", kOther });
  room.OnHostHeard(kOther, kStart);
  RoomMessage message;
  message.mTarget = TargetKeptByOther(room);
  message.mNumber = 1;
  message.mAsk = 1;
  return [room, message](Time aNow) {
    TargetRoom copy = room;
    return copy.OnMessage("third", message, { kSlots, 1 }, aNow) ==
           RoomAnswer::NotKeeper;
  };
}

Check
TellUnderWay()
{
  RoomKeeper keeper;
  RoomMessage message;
  message.mTarget = "t";
  message.mNumber = 1;
  message.mUnderWay = 2;
  keeper.OnMessage(kOther, message, { kSlots, 1 }, Time::min(), kStart);
  return [keeper](Time aNow) { return keeper.UnderWay("t", aNow) > 0; };
}

// Nobody but a message that was overtaken says anything once the room is free.
Check
TellQueuedAsk()
{
  const RoomLimits limits = { 1, 1 };
  RoomKeeper keeper;
  RoomMessage full;
  full.mTarget = "t";
  full.mNumber = 2;
  full.mUnderWay = 1;
  keeper.OnMessage("full",
                   full,
                   limits,
                   Time::min(),
                   kStart + milliseconds(100) - RoomKeeper::kHostLifetime);
  RoomMessage ask;
  ask.mTarget = "t";
  ask.mNumber = 1;
  ask.mAsk = 1;
  CPPUNIT_ASSERT(keeper.OnMessage(kOther, ask, limits, Time::min(), kStart) ==
                 RoomAnswer::Queued);
  return [keeper, full, limits](Time aNow) {
    RoomKeeper copy = keeper;
    RoomMessage overtaken = full;
    overtaken.mNumber = 1;
    copy.OnMessage("full", overtaken, limits, Time::min(), aNow);
    return !copy.TakeGrants().empty();
  };
}

Check
TellLiftedBrittleness()
{
  TargetRoom room;
  room.OnReport({ "t", "pool", 1, kStart - seconds(1) });
  room.OnReport({ "t", "pool", std::nullopt, kStart });
  return [room](Time aNow) { return !room.Reports(aNow).empty(); };
}

Check
TellLiftedLimit()
{
  TargetLimits limits;
  limits.OnReport({ "t", 5.0, kStart - seconds(1) });
  limits.OnReport({ "t", std::nullopt, kStart });
  return [limits](Time aNow) { return !limits.Reports(aNow).empty(); };
}

Check
TellReachingHost()
{
  TargetReach reach;
  reach.OnHostHeard(kOther, "here", kStart);
  return [reach](Time aNow) {
    TargetReach copy = reach;
    return copy.ChooseHost("pool", {}, aNow).has_value();
  };
}

// A host that is not listed is asked what it reaches.
Check
TellAskedHost()
{
  TargetReach reach;
  reach.Declare({ { "pool", { "t0", "t1" } } });
  reach.SetHosts({ "listed" });
  reach.OnHostHeard(kOther, "here", kStart);
  return [reach](Time aNow) {
    TargetReach copy = reach;
    copy.OnNotReached("pool", "t0", aNow);
    copy.OnNotReached("pool", "t1", aNow);
    const auto asks = copy.TakeAsks(aNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), asks.size());
    const auto& hosts = asks[0].mHosts;
    return std::find(hosts.begin(), hosts.end(), kOther) != hosts.end();
  };
}

Check
TellFailures()
{
  TargetReach reach;
  reach.Declare({ { "pool", { "t0", "t1" } } });
  reach.OnNotReached("pool", "t0", kStart);
  return
    [reach](Time aNow) { return reach.EvidenceOf("pool", aNow).mFailing > 0; };
}

// Most targets fail, and the last other host doesn't answer what it hears.
TargetReach
MakeSuspicion()
{
  TargetReach reach;
  reach.Declare({ { "pool", { "t0", "t1" } }, { "second", { "s0", "s1" } } });
  reach.OnHostHeard(kOther, "here", kStart);
  reach.OnNotReached("pool", "t0", kStart);
  reach.OnNotReached("pool", "t1", kStart);
  return reach;
}

Check
TellSuspicion()
{
  const TargetReach reach = MakeSuspicion();
  return [reach](Time aNow) { return reach.IsSuspected("pool", aNow); };
}

Check
TellSuspicionToAll()
{
  const TargetReach reach = MakeSuspicion();
  return [reach](Time aNow) { return !reach.UnreachedServices(aNow).empty(); };
}

Check
TellSuspicionInAnswer()
{
  const TargetReach reach = MakeSuspicion();
  return [reach](Time aNow) {
    return reach.Answer("pool", 1, {}, aNow).mState == ReachState::Suspected;
  };
}

// A host that may be cut off names no target of another service as failing.
Check
TellNoFailures()
{
  const TargetReach reach = MakeSuspicion();
  return [reach](Time aNow) {
    TargetReach copy = reach;
    copy.OnNotReached("second", "s0", aNow - milliseconds(100));
    copy.OnConnected("second", "s1", aNow);
    return copy.Answer("second", 1, { "s0" }, aNow).mFailing.empty();
  };
}

RetryBudget
MakeBudget()
{
  RetryBudget budget;
  RetryBudget::Options options;
  options.mHost = "self";
  options.mWindow = seconds(4);
  options.mAllowance = 100;
  options.mFleetShare = 1;
  options.mCreditLifetime = milliseconds(500);
  budget.Configure(options);
  return budget;
}

Check
TellSharingHost()
{
  auto budget = std::make_shared<RetryBudget>(MakeBudget());
  budget->SetHosts({ "self", kOther }, kStart);
  budget->OnHostHeard(kOther, kStart);
  budget->SetHosts({ "self" }, kStart);
  return [budget](Time aNow) { return budget->HostCount(aNow) > 1; };
}

Check
TellSends()
{
  auto budget = std::make_shared<RetryBudget>(MakeBudget());
  budget->OnPeerTotals(kOther, 1, { "pool", 0, 0 }, kStart);
  budget->OnPeerTotals(kOther, 1, { "pool", 10, 5 }, kStart);
  return [budget](Time aNow) {
    RetryBudget copy = *budget;
    copy.TakeRetry("pool", aNow);
    return copy.LastDecision().mFleetUsed > 0;
  };
}

Check
TellGrant()
{
  auto budget = std::make_shared<RetryBudget>(MakeBudget());
  budget->OnHostHeard(kOther, kStart);
  CPPUNIT_ASSERT(!budget->TakeRetry("pool", kStart));
  const auto asks = budget->TakeAsks(kStart);
  CPPUNIT_ASSERT_EQUAL(std::size_t(1), asks.size());
  budget->OnGrant(kOther, { "pool", asks[0].mId, 1 }, kStart);
  return [budget](Time aNow) { return budget->CanTakeRetry("pool", aNow); };
}

Check
TellDemand()
{
  auto shares = std::make_shared<LimitShares>(2);
  shares->OnPeerDemand(kOther, { { "w", 5.0 } }, kStart);
  return [shares](Time aNow) { return shares->ShareOf("w", aNow) < 0.5; };
}

Check
TellWait()
{
  TargetWaits waits;
  waits.OnAsked("t", "1", seconds(1), kStart);
  return [waits](Time aNow) { return waits.UntilOf("t", "1") > aNow; };
}

Check
TellLostRun()
{
  auto suspects = std::make_shared<SuspectRegistry>();
  TargetDeath death;
  death.mId = 1;
  death.mAt = kStart;
  SuspectReport report;
  report.mSuspect = 7;
  report.mRuns.push_back({ death, kStart });
  suspects->Merge(report, true, kStart);
  return [suspects](Time aNow) { return suspects->IsSuspected(7, aNow); };
}

// While others are heard, a single lost run is left to them, and not stored.
Check
TellHeardHost()
{
  SuspectRegistry suspects;
  suspects.OnHostHeard(kStart);
  return [suspects](Time aNow) {
    SuspectRegistry copy = suspects;
    copy.OnRunLost(RequestContent(7), { { 1, 0, aNow }, aNow }, aNow);
    return copy.TakeStoreChanges().empty();
  };
}

Check
TellConviction()
{
  auto suspects = std::make_shared<SuspectRegistry>();
  suspects->Convict(SuspectSet(7), kStart);
  return [suspects](Time aNow) { return suspects->IsRefused(7, aNow); };
}

// News of a departure that waits to be told.
Check
TellDeparture()
{
  auto news = std::make_shared<DepartureNews>();
  news->Add({ "t", "1", {}, {} }, true, kStart);
  return [news](Time aNow) {
    DepartureNews copy = *news;
    return !copy.TakeNews(aNow).empty();
  };
}

Check
TellKnownDeparture()
{
  auto news = std::make_shared<DepartureNews>();
  news->Add({ "t", "1", {}, {} }, true, kStart);
  return [news](Time aNow) {
    DepartureNews copy = *news;
    return !copy.Add({ "t", "1", {}, {} }, true, aNow);
  };
}

// An origin that was told twice, and another one that is looked up meanwhile.
Check
TellOrigin()
{
  auto origins = std::make_shared<StreamOrigins>();
  const Time end = kStart + StreamOrigins::kLifetime;
  StreamOrigin origin;
  origin.mKey = 1;
  origins->OnReported(origin, OriginSource::Peer, kStart - seconds(10));
  origins->OnReported(origin, OriginSource::Peer, kStart);
  origin.mKey = 2;
  origins->OnReported(origin, OriginSource::Peer, end - seconds(15));
  origins->Find(2, end - seconds(5));
  return [origins](Time aNow) { return origins->Find(1, aNow).has_value(); };
}

Check
TellEndpoint()
{
  HeardHosts hosts;
  hosts.OnHeard(kOther, {}, 1, kStart);
  return
    [hosts](Time aNow) { return hosts.EndpointOf(kOther, aNow).has_value(); };
}

// A host that is not listed.
Check
TellAddress()
{
  const auto loop = std::make_shared<EventLoop>();
  const auto fleet = std::make_shared<Fleet>(*loop, GatewaySettings());
  fleet->OnHostHeard(kOther, {}, kStart);
  return [loop, fleet](Time aNow) {
    return fleet->AddressOf(kOther, aNow).has_value();
  };
}

ReaderChoice
MakeReaders()
{
  ReaderChoice readers({ "self", 1 });
  readers.SetHosts({ { "self", 1 }, { "a", 100 }, { "b", 100 } });
  return readers;
}

Check
TellFailedReaders()
{
  auto readers = std::make_shared<ReaderChoice>(MakeReaders());
  readers->OnReaderFailed("a", kStart);
  readers->OnReaderFailed("b", kStart);
  return [readers](Time aNow) { return readers->IsReader(aNow); };
}

Check
TellRows()
{
  auto readers = std::make_shared<ReaderChoice>(MakeReaders());
  readers->OnReaderAnswered("a", kStart);
  return [readers](Time aNow) { return !readers->IsStale(aNow); };
}

const std::vector<Belief> kBeliefs = {
  { "load of a host", milliseconds(2500), TellLoad },
  { "loss of a target", milliseconds(3600), TellLoss },
  { "losses of a place", milliseconds(4500), TellPlaceLoss },
  { "host that shares the room", seconds(30), TellRoomHost },
  { "keeper of the room", milliseconds(300), TellRoomKeeper },
  { "requests under way", RoomKeeper::kHostLifetime, TellUnderWay },
  { "queued ask for room", milliseconds(500), TellQueuedAsk },
  { "lifted brittleness", milliseconds(3000), TellLiftedBrittleness },
  { "lifted limit", milliseconds(3000), TellLiftedLimit },
  { "host that reaches targets",
    TargetReach::kHostFreshness,
    TellReachingHost },
  { "host to ask", seconds(30), TellAskedHost },
  { "failing target", milliseconds(3000), TellFailures },
  { "suspected cut", TargetReach::kSuspicionTime, TellSuspicion },
  { "suspected cut in messages",
    TargetReach::kSuspicionTime,
    TellSuspicionToAll },
  { "suspected cut in answers",
    TargetReach::kSuspicionTime,
    TellSuspicionInAnswer },
  { "failures withheld", TargetReach::kSuspicionTime, TellNoFailures },
  { "host that shares a budget", seconds(14), TellSharingHost },
  { "sends of a host", seconds(4), TellSends },
  { "granted retries", milliseconds(500), TellGrant },
  { "demand of a host", seconds(15), TellDemand },
  { "wait of a target", seconds(1), TellWait },
  { "lost run", LossLedger::kRecordLifetime, TellLostRun },
  { "host that knows a lost run", LossLedger::kAloneAfter, TellHeardHost },
  { "conviction", LossLedger::kRecordLifetime, TellConviction },
  { "departure to tell", seconds(30), TellDeparture },
  { "known departure", seconds(30), TellKnownDeparture },
  { "origin of a stream", StreamOrigins::kLifetime, TellOrigin },
  { "endpoint of a host", HeardHosts::kLifetime, TellEndpoint },
  { "address of an unlisted host", HeardHosts::kLifetime, TellAddress },
  { "failed readers", milliseconds(2000), TellFailedReaders },
  { "rows of a reader", ReaderChoice::kMaxStaleness, TellRows },
};

} // namespace

class BeliefTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BeliefTests);
  CPPUNIT_TEST(BeliefsEndByTimeOnceTheLastOtherHostIsLost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against beliefs that only the next message ends.
  void BeliefsEndByTimeOnceTheLastOtherHostIsLost()
  {
    // Some lifetimes include their last moment.
    const Duration margin = milliseconds(1);
    std::string wrong;
    for (const Belief& it : kBeliefs) {
      const Time end = kStart + it.mLifetime;
      const auto expect =
        [&](const Check& aCheck, Time aNow, bool aHeld, const char* aWhen) {
          if (aCheck(aNow) != aHeld) {
            wrong +=
              "\n" + it.mName + (aHeld ? " is gone " : " is held ") + aWhen;
          }
        };
      const Check used = it.mTell();
      expect(used, end - margin, true, "just before its end");
      expect(used, end + margin, false, "after its end, used before");
      const Check unused = it.mTell();
      expect(unused, end + margin, false, "after its end");
      expect(unused, end + minutes(60), false, "an hour later");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BeliefTests);
