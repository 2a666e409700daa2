#include "StreamTrials.h"

#include "FleetPlay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time after the start of the callers at which the trouble begins. All streams
// have begun by then.
constexpr auto kTroubleAfter = milliseconds(400);

// Number of streams taken up for which the share that goes on has a bound, and
// the bound: this part of the share of new streams that begin. As in the
// platform's rule.
constexpr int kMinTakenUp = 12;
constexpr double kTakenUpPart = 0.5;

StreamTrialResult
PlayOne(const StreamTrial& aTrial)
{
  StreamCallers::Options options;
  options.mStreams = FromEnvironment("QUETZAL_TEST_STREAMS", options.mStreams);
  options.mSeed = TrialSeed();
  options.mSpread = aTrial.mSpread;
  options.mGap = aTrial.mGap;
  GatewayTestCluster cluster(aTrial.mOptions);
  aTrial.mPreparation(cluster);
  StreamTrialResult result;
  {
    StreamCallers callers(cluster, options);
    Sleep(kTroubleAfter);
    result.mTroubleAt = EventLoop::Now();
    aTrial.mTrouble(cluster, callers);
    callers.Await();
    result.mStreams = callers.Streams();
  }
  result.mReport =
    MakeReport(result.mStreams, cluster.Requests(), cluster.Runs());
  return result;
}

void
PrintFigures(const StreamTrial& aTrial, const StreamTrialResult& aResult)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") == nullptr) {
    return;
  }
  const StreamReport& report = aResult.mReport;
  std::cout << "\ntrouble " << aTrial.mName << ", seed " << TrialSeed()
            << ": streams " << report.mStreams << ", complete "
            << report.mComplete << ", mixed " << report.mMixed
            << ", mixed runs " << report.mMixedRuns << ", copies "
            << report.mCopies << ", used " << report.mCopyUses << ", mixed "
            << report.mMixedCopies << ", begun " << report.mBegun.mServed << "/"
            << report.mBegun.mAsked << ", taken up " << report.mTakenUp.mServed
            << "/" << report.mTakenUp.mAsked << " in "
            << report.mTakenUp.mAttempts << " attempts\n";
  for (const CallerStream& it : aResult.mStreams) {
    if (it.mAttempts.size() > 1 || !it.IsComplete()) {
      std::cout << it.Describe(aResult.mTroubleAt) << '\n';
    }
  }
  std::cout << report.mFaults << report.mReadLate;
}

void
Check(const std::string& aTrial, const StreamReport& aReport)
{
  const std::string what = aTrial + "\n" + aReport.mFaults;
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mMixed);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mMixedRuns);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mMixedCopies);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mDisordered);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mUnsigned);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mMisattributed);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 0, aReport.mOverlong);
  CPPUNIT_ASSERT_MESSAGE(what,
                         aReport.mTakenUp.mAsked < kMinTakenUp ||
                           aReport.mTakenUp.Value() >=
                             kTakenUpPart * aReport.mBegun.Value());
}

} // namespace

unsigned
TrialSeed()
{
  return static_cast<unsigned>(FromEnvironment("QUETZAL_TEST_SEED", 1));
}

std::vector<StreamTrialResult>
PlayTrials(const std::vector<StreamTrial>& aTrials)
{
  std::vector<std::future<StreamTrialResult>> running;
  running.reserve(aTrials.size());
  for (const StreamTrial& it : aTrials) {
    running.push_back(
      std::async(std::launch::async, [&it] { return PlayOne(it); }));
  }
  std::vector<StreamTrialResult> results;
  results.reserve(aTrials.size());
  for (auto& it : running) {
    results.push_back(it.get());
  }
  for (std::size_t n = 0; n < results.size(); ++n) {
    PrintFigures(aTrials[n], results[n]);
  }
  for (std::size_t n = 0; n < results.size(); ++n) {
    Check(aTrials[n].mName, results[n].mReport);
  }
  return results;
}

void
KillHost(GatewayTestCluster& aCluster,
         StreamCallers& aCallers,
         std::size_t aHost)
{
  aCallers.SetHostSound(aHost, false);
  aCluster.Gateway(aHost).Signal(SIGKILL);
  aCluster.Gateway(aHost).AwaitExit();
}

std::string
RunnerName(int aNumber)
{
  return "i-" + std::to_string(aNumber);
}

void
Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}
