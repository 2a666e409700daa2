#include "StreamTrials.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 4;
constexpr int kRunners = 8;

// Time for which a runner serves after it has reported that it drains.
constexpr auto kDrainTime = milliseconds(600);

// Time for which a host or a runner is frozen.
constexpr auto kHostFreeze = milliseconds(2300);
constexpr auto kRunnerFreeze = milliseconds(1000);

// Time for which all fakes stand still.
constexpr auto kFakesStill = milliseconds(1200);

// Time within which a host ends or refuses a stream whose version is gone, and
// time without an event for which its callers would wait.
constexpr auto kPromptly = milliseconds(4000);
constexpr auto kLongGap = milliseconds(8000);

// Time after its start from which on the platform expects a host to take up
// streams.
constexpr auto kStabilityWindow = milliseconds(3000);

// Two software versions, each on half of the runners and in both places.
GatewayTestCluster::Options
TwoVersions()
{
  GatewayTestCluster::Options options;
  options.mRunners = kRunners;
  options.mGateways = kHosts;
  options.mVersions = { "v1", "v1", "v2", "v2" };
  return options;
}

GatewayTestCluster::Options
OneVersion()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mVersions = { "v1" };
  return options;
}

// Each software version in one place only, where copies are not preferred.
GatewayTestCluster::Options
VersionsByPlace()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mVersions = { "v1", "v2" };
  return options;
}

// The runners of the second version start later.
GatewayTestCluster::Options
Release()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mVersions = { "v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2" };
  options.mLateRunners = kRunners / 2;
  return options;
}

// Half of the hosts start later.
GatewayTestCluster::Options
WithLateHosts(GatewayTestCluster::Options aOptions)
{
  aOptions.mLateGateways = kHosts / 2;
  return aOptions;
}

// The entries of runners tell their starts apart.
GatewayTestCluster::Options
StartTimes()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mFirstStartTime = true;
  return options;
}

GatewayTestCluster::Options
CutOffHost()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mCutOff = 1;
  return options;
}

GatewayTestCluster::Options
LossyDatagrams()
{
  GatewayTestCluster::Options options = TwoVersions();
  options.mRelaysDatagrams = true;
  return options;
}

void
KillTwoHosts(GatewayTestCluster& aCluster, StreamCallers& aCallers)
{
  KillHost(aCluster, aCallers, 0);
  Sleep(milliseconds(200));
  KillHost(aCluster, aCallers, 1);
}

void
RestartAllHosts(GatewayTestCluster& aCluster, StreamCallers& aCallers)
{
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    KillHost(aCluster, aCallers, n);
  }
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    aCluster.Gateway(n).Start();
  }
  aCluster.AwaitReady();
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    aCallers.SetHostSound(n, true);
  }
}

void
FreezeTwoHosts(GatewayTestCluster& aCluster, StreamCallers& aCallers)
{
  for (std::size_t n = 0; n < 2; ++n) {
    aCallers.SetHostSound(n, false);
    aCluster.Gateway(n).Signal(SIGSTOP);
  }
  Sleep(kHostFreeze);
  for (std::size_t n = 0; n < 2; ++n) {
    aCluster.Gateway(n).Signal(SIGCONT);
  }
}

// Replaces two hosts one after the other while targets drop streams.
void
ReplaceHosts(GatewayTestCluster& aCluster, StreamCallers& aCallers)
{
  for (std::size_t n = 0; n < 2; ++n) {
    aCallers.SetHostSound(n, false);
    aCluster.Gateway(n).Signal(SIGTERM);
    aCluster.ResetRunner(RunnerName(static_cast<int>(n)));
    aCluster.ResetRunner(RunnerName(static_cast<int>(n) + 2));
    Sleep(milliseconds(300));
    aCluster.Gateway(n).AwaitExit();
    aCluster.Gateway(n).Start();
  }
}

// Lets the runners of both versions fail in all ways.
void
FailRunners(GatewayTestCluster& aCluster, StreamCallers&)
{
  aCluster.ResetRunner(RunnerName(0));
  aCluster.ResetRunner(RunnerName(2));
  aCluster.SetMode(RunnerName(1), RunnerMode::Frozen);
  aCluster.CrashRunner(RunnerName(3), "v2");
  Sleep(kRunnerFreeze / 2);
  aCluster.CrashRunner(RunnerName(4), "v1");
  Sleep(kRunnerFreeze / 2);
  aCluster.SetMode(RunnerName(1), RunnerMode::Serve);
}

// Leaves one runner of the second version, which drops its streams as well.
void
LeaveOneRunner(GatewayTestCluster& aCluster, StreamCallers&)
{
  for (const int n : { 2, 3, 6 }) {
    aCluster.CrashRunner(RunnerName(n), "v1");
  }
  Sleep(milliseconds(400));
  aCluster.ResetRunner(RunnerName(7));
}

// Starts the runners of the second version and ends those of the first one, one
// after the other, while others crash.
void
ReleaseRunners(GatewayTestCluster& aCluster, StreamCallers&)
{
  for (int n = 0; n < kRunners / 2; ++n) {
    aCluster.StartRunner(RunnerName(kRunners / 2 + n));
    aCluster.DrainRunner(RunnerName(n));
    if (n == 1) {
      aCluster.CrashRunner(RunnerName(3), "v1");
      aCluster.ResetRunner(RunnerName(2));
    }
    Sleep(kDrainTime / 2);
    if (n > 0) {
      aCluster.StopRunner(RunnerName(n - 1));
    }
  }
}

// Starts two runners of the second version.
void
BeginRelease(GatewayTestCluster& aCluster)
{
  aCluster.StartRunner(RunnerName(4));
  aCluster.StartRunner(RunnerName(5));
}

// Replaces the first hosts by others that have not served before.
void
ReplaceByLateHosts(GatewayTestCluster& aCluster, StreamCallers& aCallers)
{
  aCluster.Join();
  aCluster.Join();
  aCallers.SetHosts({ 2, 3 });
  KillTwoHosts(aCluster, aCallers);
}

void
TakeStoreAway(GatewayTestCluster& aCluster)
{
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    aCluster.SetStoreDown(true, n);
  }
}

void
StopSecondVersion(GatewayTestCluster& aCluster, StreamCallers&)
{
  for (const int n : { 2, 3, 6, 7 }) {
    aCluster.StopRunner(RunnerName(n));
  }
}

void
CrashSecondVersion(GatewayTestCluster& aCluster, const std::string& aNext)
{
  for (const int n : { 2, 3, 6, 7 }) {
    aCluster.CrashRunner(RunnerName(n), aNext);
  }
}

} // namespace

// Whole fleets of gateway processes in front of targets of several software
// versions. The versions that have written a stream are counted at its caller,
// over all its attempts. QUETZAL_TEST_SEED sets the seed, QUETZAL_TEST_STREAMS
// the number of streams of each caller group, QUETZAL_TEST_FIGURES prints the
// figures.
class FleetVersionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetVersionTests);
  CPPUNIT_TEST(StreamsOfOneVersionAreTakenUpAtOtherHosts);
  CPPUNIT_TEST(AnswersKeepTheirVersionWhenTargetsFail);
  CPPUNIT_TEST(RunsReadLateByTheFakesAreNotOverlong);
  CPPUNIT_TEST(StreamsKeepTheirVersionDuringARelease);
  CPPUNIT_TEST(StreamsAreTakenUpWhileAReleaseBegins);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenTheirHostIsKilled);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenTheirHostIsCutOff);
  CPPUNIT_TEST(StreamsKeepTheirVersionAtHostsThatKnowLittle);
  CPPUNIT_TEST(CopiesStayWithinTheirVersion);
  CPPUNIT_TEST(StreamsOfAVersionThatIsGoneAreRefused);
  CPPUNIT_TEST(NewHostsDoNotContinueStreamsOfAVersionThatIsGone);
  CPPUNIT_TEST(StreamsOfAVersionThatComesBackGoOn);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenTargetsRestartUnderTheirNames);
  CPPUNIT_TEST(StreamsKeepTheirVersionWhenAddressesAreReused);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against refusing streams that only other processes have seen, among
  // them processes that have ended.
  void StreamsOfOneVersionAreTakenUpAtOtherHosts()
  {
    const auto results =
      PlayTrials({ { "calm", OneVersion(), KillTwoHosts },
                   { "calm_restart", OneVersion(), RestartAllHosts } });
    for (const StreamTrialResult& it : results) {
      CPPUNIT_ASSERT_EQUAL(it.mReport.mStreams, it.mReport.mComplete);
    }
  }

  // Guards against resuming a stream within its answer at a target of another
  // software version.
  void AnswersKeepTheirVersionWhenTargetsFail()
  {
    PlayTrials({ { "targets", TwoVersions(), FailRunners },
                 { "one_left", TwoVersions(), LeaveOneRunner } });
  }

  // Guards against blaming hosts for the time that the fakes stood still.
  void RunsReadLateByTheFakesAreNotOverlong()
  {
    const auto results = PlayTrials(
      { { "still",
          TwoVersions(),
          [](auto& aCluster, auto&) { aCluster.StandStill(kFakesStill); },
          kFakesStill } });
    CPPUNIT_ASSERT(!results[0].mReport.mReadLate.empty());
  }

  // Guards against streams that move to the new software version with the
  // targets.
  void StreamsKeepTheirVersionDuringARelease()
  {
    PlayTrials(
      { { "release", Release(), ReleaseRunners, milliseconds(1200) } });
  }

  // Guards against forgetting which streams began before a second software
  // version appeared.
  void StreamsAreTakenUpWhileAReleaseBegins()
  {
    PlayTrials({ { "release_kill",
                   Release(),
                   [](auto& aCluster, auto& aCallers) {
                     BeginRelease(aCluster);
                     KillTwoHosts(aCluster, aCallers);
                   },
                   milliseconds(250),
                   milliseconds(2000),
                   [](auto&) { Sleep(kStabilityWindow); } },
                 { "release_join",
                   WithLateHosts(Release()),
                   [](auto& aCluster, auto& aCallers) {
                     BeginRelease(aCluster);
                     for (std::size_t n = 0; n < kHosts; ++n) {
                       aCallers.SetHostSound(n, false);
                     }
                     ReplaceByLateHosts(aCluster, aCallers);
                   } } });
  }

  // Guards against hosts that take up a stream which another one has begun and
  // don't know its software version.
  void StreamsKeepTheirVersionWhenTheirHostIsKilled()
  {
    PlayTrials({ { "kill", TwoVersions(), KillTwoHosts },
                 { "kill_all", TwoVersions(), RestartAllHosts },
                 { "term", TwoVersions(), ReplaceHosts } });
  }

  // Guards against hosts that take up a stream whose host cannot tell them its
  // software version, and against hosts that cannot ask for it.
  void StreamsKeepTheirVersionWhenTheirHostIsCutOff()
  {
    PlayTrials(
      { { "freeze", TwoVersions(), FreezeTwoHosts },
        { "cut_off",
          CutOffHost(),
          [](auto& aCluster, auto& aCallers) {
            KillHost(aCluster, aCallers, 0);
            aCallers.SetHostSound(1, false);
            aCluster.SetStoreDown(true, 1);
          } },
        { "cut_off_first", CutOffHost(), [](auto& aCluster, auto& aCallers) {
           aCallers.SetHostSound(1, false);
           aCluster.SetStoreDown(true, 1);
           Sleep(milliseconds(300));
           KillHost(aCluster, aCallers, 1);
         } } });
  }

  // Guards against taking any version for the right one at a host that has just
  // started, gets no datagrams or cannot read the store.
  void StreamsKeepTheirVersionAtHostsThatKnowLittle()
  {
    PlayTrials({ { "join", WithLateHosts(TwoVersions()), ReplaceByLateHosts },
                 { "datagrams",
                   LossyDatagrams(),
                   [](auto& aCluster, auto& aCallers) {
                     aCluster.SetDatagramLoss(100);
                     KillTwoHosts(aCluster, aCallers);
                   } },
                 { "store",
                   TwoVersions(),
                   [](auto& aCluster, auto& aCallers) {
                     TakeStoreAway(aCluster);
                     KillTwoHosts(aCluster, aCallers);
                   } },
                 { "alone",
                   LossyDatagrams(),
                   [](auto& aCluster, auto& aCallers) {
                     for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
                       aCallers.SetHostSound(n, false);
                     }
                     KillTwoHosts(aCluster, aCallers);
                   },
                   milliseconds(250),
                   milliseconds(2000),
                   [](auto& aCluster) {
                     aCluster.SetDatagramLoss(100);
                     TakeStoreAway(aCluster);
                   } } });
  }

  // Guards against copies of the KV cache that are ordered to, or used at, a
  // target of another software version.
  void CopiesStayWithinTheirVersion()
  {
    const auto results =
      PlayTrials({ { "copies", VersionsByPlace(), [](auto& aCluster, auto&) {
                      aCluster.ResetRunner(RunnerName(0));
                      aCluster.CrashRunner(RunnerName(1), "v2");
                      Sleep(milliseconds(300));
                      aCluster.ResetRunner(RunnerName(2));
                      aCluster.ResetRunner(RunnerName(3));
                    } } });
    CPPUNIT_ASSERT(results[0].mReport.mCopies > 0);
    CPPUNIT_ASSERT(results[0].mReport.mCopyUses > 0);
  }

  // Guards against waiting until the caller's deadline for a version that no
  // target has.
  void StreamsOfAVersionThatIsGoneAreRefused()
  {
    const auto results = PlayTrials({ { "gone",
                                        TwoVersions(),
                                        StopSecondVersion,
                                        milliseconds(250),
                                        kLongGap } });
    int refused = 0;
    for (const CallerStream& stream : results[0].mStreams) {
      if (stream.Version() == "v1") {
        CPPUNIT_ASSERT(stream.IsComplete());
        continue;
      }
      for (const StreamAttempt& it : stream.mAttempts) {
        const std::string what = stream.Describe(results[0].mTroubleAt);
        CPPUNIT_ASSERT_MESSAGE(what,
                               it.mEndedAt -
                                   std::max(it.mSentAt, results[0].mTroubleAt) <
                                 kPromptly);
        if (it.mAfterEvent > 0) {
          ++refused;
          CPPUNIT_ASSERT_MESSAGE(what, it.mAnswer.mComplete);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 503, it.mAnswer.mHead.mStatus);
        }
      }
    }
    CPPUNIT_ASSERT(refused > 0);
  }

  // Guards against hosts that start after the last target of a version has left
  // and take the other version for the only one.
  void NewHostsDoNotContinueStreamsOfAVersionThatIsGone()
  {
    PlayTrials({ { "gone_restart",
                   TwoVersions(),
                   [](auto& aCluster, auto& aCallers) {
                     StopSecondVersion(aCluster, aCallers);
                     RestartAllHosts(aCluster, aCallers);
                   } },
                 { "gone_join",
                   WithLateHosts(TwoVersions()),
                   [](auto& aCluster, auto& aCallers) {
                     StopSecondVersion(aCluster, aCallers);
                     ReplaceByLateHosts(aCluster, aCallers);
                   } } });
  }

  // Guards against giving up a version whose targets are all about to return.
  void StreamsOfAVersionThatComesBackGoOn()
  {
    const auto results =
      PlayTrials({ { "back", TwoVersions(), [](auto& aCluster, auto&) {
                      CrashSecondVersion(aCluster, "v2");
                    } } });
    CPPUNIT_ASSERT_EQUAL(results[0].mReport.mStreams,
                         results[0].mReport.mComplete);
  }

  // Guards against using what the entry of a target said of an earlier start.
  void StreamsKeepTheirVersionWhenTargetsRestartUnderTheirNames()
  {
    PlayTrials({ { "same_name",
                   StartTimes(),
                   [](auto& aCluster, auto&) {
                     aCluster.SetRunnerReturn(RunnerReturn::SameName);
                     aCluster.CrashRunner(RunnerName(0), "v2");
                     aCluster.CrashRunner(RunnerName(2), "v1");
                     aCluster.ResetRunner(RunnerName(3));
                   } },
                 { "same_name_all", StartTimes(), [](auto& aCluster, auto&) {
                    aCluster.SetRunnerReturn(RunnerReturn::SameName);
                    CrashSecondVersion(aCluster, "v1");
                  } } });
  }

  // Guards against taking the target that is found at the address of a former
  // one for one of its version.
  void StreamsKeepTheirVersionWhenAddressesAreReused()
  {
    PlayTrials({ { "same_address", TwoVersions(), [](auto& aCluster, auto&) {
                    CrashSecondVersion(aCluster, "v1");
                  } } });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetVersionTests);
