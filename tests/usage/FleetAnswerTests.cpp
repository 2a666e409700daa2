#include "GatewayTestCluster.h"
#include "KeptCallers.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kGateways = 3;
constexpr int kRunners = 8;
constexpr int kSecondServiceRunners = 2;

// Pace of sound runners: streams last about 1.3 s.
constexpr auto kFirstEvent = milliseconds(250);
constexpr auto kEventInterval = milliseconds(25);
constexpr auto kPlainAnswer = milliseconds(40);

// Time of load before and after the trouble.
constexpr auto kLoadBefore = milliseconds(700);
constexpr auto kLoadAfter = milliseconds(300);

// Interval between two configurations in quick succession.
constexpr auto kChangeInterval = milliseconds(150);
constexpr int kChanges = 14;

// Time in which a configuration is in force on all hosts.
constexpr auto kApplyTime = milliseconds(2000);

// Time after its last byte in which a request may meet the close of its
// connection.
constexpr auto kCrossingTime = milliseconds(200);

// Time before its deadline from which on a request may be broken off.
constexpr auto kDeadlineMargin = milliseconds(20);

// Time limits of streams and of plain requests, on their routes, too.
constexpr auto kStreamDeadline = milliseconds(13000);
constexpr auto kPlainDeadline = milliseconds(8000);

int
FromEnvironment(const char* aName, int aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

// What callers of one fleet saw.
struct AnswerCounts
{
  int mSent = 0;
  int mServed = 0;
  // Complete answers with a status other than 200.
  std::map<int, int> mFailures;
  // Requests that met the close of their connection and were not passed on.
  int mCrossed = 0;
  // Requests broken off at their deadline.
  int mOverdue = 0;
  // Requests that ended without a complete answer, by path.
  std::map<std::string, int> mLost;
  std::vector<CallerRequest> mLostRequests;

  int LostCount() const { return static_cast<int>(mLostRequests.size()); }
};

AnswerCounts
CountAnswers(GatewayTestCluster& aCluster,
             const std::vector<CallerRequest>& aRequests)
{
  std::set<std::string> passedOn;
  for (const RunnerRequest& it : aCluster.Requests()) {
    if (const std::string* id = it.mHead.Find("X-Request-Id")) {
      passedOn.insert(*id);
    }
  }
  AnswerCounts counts;
  for (const CallerRequest& it : aRequests) {
    counts.mSent += it.mOutcome == CallerOutcome::NotSent ? 0 : 1;
    if (it.mOutcome == CallerOutcome::NotSent) {
      continue;
    }
    if (it.mOutcome == CallerOutcome::Answered) {
      if (it.mStatus == 200) {
        ++counts.mServed;
      } else {
        ++counts.mFailures[it.mStatus];
      }
      continue;
    }
    const auto lasted = it.mEndedAt - it.mSentAt;
    if (it.mOutcome == CallerOutcome::Closed) {
      if (passedOn.count(it.mId) == 0 && lasted <= kCrossingTime) {
        ++counts.mCrossed;
        continue;
      }
      if (it.mEndedAt >= it.mDeadline - kDeadlineMargin) {
        ++counts.mOverdue;
        continue;
      }
    }
    ++counts.mLost[it.mPath];
    counts.mLostRequests.push_back(it);
  }
  return counts;
}

// Last line of a gateway's log about a request. Empty if the logs are not kept.
std::string
LastLogLine(const std::string& aHost, const std::string& aRequest)
{
  const char* directory = std::getenv("QUETZAL_TEST_LOGS");
  if (directory == nullptr) {
    return std::string();
  }
  std::ifstream file(std::string(directory) + "/" + aHost + ".log");
  const std::string field = "request=" + aRequest + " ";
  std::string last;
  for (std::string line; std::getline(file, line);) {
    if (line.find(field) != std::string::npos) {
      last = line;
    }
  }
  return last;
}

std::string
Describe(const GatewayTestCluster& aCluster, const CallerRequest& aRequest)
{
  std::ostringstream text;
  text << aRequest.mId << ' ' << aRequest.mPath << " at "
       << aCluster.Gateway(aRequest.mHost).Name() << ": "
       << (aRequest.mOutcome == CallerOutcome::Closed ? "closed" : "unanswered")
       << " after "
       << static_cast<int>(ToMilliseconds(aRequest.mEndedAt - aRequest.mSentAt))
       << " ms, " << aRequest.mReceivedBytes << " bytes, request "
       << aRequest.mEarlierRequests + 1 << " of its connection; "
       << LastLogLine(aCluster.Gateway(aRequest.mHost).Name(), aRequest.mId);
  return text.str();
}

void
PrintCounts(const GatewayTestCluster& aCluster,
            const std::string& aName,
            unsigned aSeed,
            const AnswerCounts& aCounts)
{
  if (std::getenv("QUETZAL_TEST_FIGURES") == nullptr) {
    return;
  }
  std::cout << "answers " << aName << ", seed " << aSeed << ": sent "
            << aCounts.mSent << ", served " << aCounts.mServed;
  for (const auto& it : aCounts.mFailures) {
    std::cout << ", status " << it.first << ' ' << it.second;
  }
  std::cout << ", crossed " << aCounts.mCrossed << ", overdue "
            << aCounts.mOverdue << ", lost " << aCounts.LostCount();
  for (const auto& it : aCounts.mLost) {
    std::cout << ", " << it.first << ' ' << it.second;
  }
  std::cout << '\n';
  for (const CallerRequest& it : aCounts.mLostRequests) {
    std::cout << "  " << Describe(aCluster, it) << '\n';
  }
  std::cout.flush();
}

// A fleet, its callers and the configuration in force.
struct Situation
{
  GatewayTestCluster& mCluster;
  KeptCallers& mCallers;
  std::mt19937& mRandom;
  TestConfiguration mConfiguration;

  int Random(int aBelow)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow));
  }
};

using Trouble = std::function<void(Situation&)>;

// A fleet and load for one test.
struct FleetCase
{
  std::string mName;
  GatewayTestCluster::Options mFleet{
    kRunners, kGateways, -1, 0, false, kSecondServiceRunners, {}
  };
  std::vector<KeptCallers::Kind> mCallers{
    { "/stream/", 18, milliseconds(100), milliseconds(0), kStreamDeadline },
    { "/plain/", 8, milliseconds(150), milliseconds(0), kPlainDeadline },
    { "/unsafe/", 8, milliseconds(150), milliseconds(0), kPlainDeadline }
  };
  TestConfiguration mConfiguration = InitialConfiguration();

  static TestConfiguration InitialConfiguration()
  {
    TestConfiguration configuration;
    configuration.mServices.emplace_back(TestConfiguration::kSecondService);
    configuration.RouteOf("stream").mTimeoutMs =
      static_cast<int>(kStreamDeadline.count());
    return configuration;
  }
};

AnswerCounts
Play(const FleetCase& aCase,
     const std::string& aName,
     unsigned aSeed,
     const Trouble& aTrouble)
{
  GatewayTestCluster cluster(aCase.mFleet);
  cluster.SetPace(kFirstEvent, kEventInterval, kPlainAnswer);
  cluster.AwaitConfiguration(cluster.Write(aCase.mConfiguration));
  std::mt19937 random(aSeed);
  KeptCallers callers(
    cluster, { aCase.mCallers, aName + "-" + std::to_string(aSeed), aSeed });
  Situation situation{ cluster, callers, random, aCase.mConfiguration };
  std::this_thread::sleep_for(kLoadBefore);
  aTrouble(situation);
  std::this_thread::sleep_for(kLoadAfter);
  callers.Stop();
  const AnswerCounts counts = CountAnswers(cluster, callers.Requests());
  PrintCounts(cluster, aName, aSeed, counts);
  return counts;
}

// Plays a case, and the same load without its trouble if
// QUETZAL_TEST_TWINS is set.
void
ExpectAllAnswered(const FleetCase& aCase, const Trouble& aTrouble)
{
  const int first = FromEnvironment("QUETZAL_TEST_SEED", 1);
  const int seeds = FromEnvironment("QUETZAL_TEST_SEEDS", 1);
  int lost = 0;
  for (int n = first; n < first + seeds; ++n) {
    const auto seed = static_cast<unsigned>(n);
    Time::duration lasted{};
    const AnswerCounts counts =
      Play(aCase, aCase.mName, seed, [&](Situation& aSituation) {
        const Time from = EventLoop::Now();
        aTrouble(aSituation);
        lasted = EventLoop::Now() - from;
      });
    if (std::getenv("QUETZAL_TEST_TWINS") != nullptr) {
      Play(aCase, aCase.mName + "-calm", seed, [&](Situation&) {
        std::this_thread::sleep_for(lasted);
      });
    }
    lost += counts.LostCount();
    CPPUNIT_ASSERT(counts.mServed > 0);
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
    "requests that ended without an answer", 0, lost);
}

using Change = std::function<void(Situation&, int)>;

void
AddOrRemoveRoutes(Situation& aSituation, int aRound)
{
  auto& routes = aSituation.mConfiguration.mRoutes;
  const TestRoute plain = aSituation.mConfiguration.RouteOf("plain");
  if (aRound % 3 == 2) {
    routes.erase(std::remove_if(routes.begin(),
                                routes.end(),
                                [](const TestRoute& aRoute) {
                                  return aRoute.mName.rfind("extra", 0) == 0;
                                }),
                 routes.end());
    return;
  }
  for (int n = 0; n < 5; ++n) {
    TestRoute extra = plain;
    extra.mName = "extra" + std::to_string(aRound * 5 + n);
    routes.insert(routes.begin(), extra);
  }
}

void
MoveRoutes(Situation& aSituation, int aRound)
{
  for (const char* it : { "plain", "unsafe", "stream" }) {
    aSituation.mConfiguration.RouteOf(it).mServices = {
      { aRound % 2 == 0 ? TestConfiguration::kSecondService
                        : TestConfiguration::kService,
        1 }
    };
  }
}

void
ChangeWeights(Situation& aSituation, int)
{
  for (const char* it : { "plain", "unsafe", "stream" }) {
    aSituation.mConfiguration.RouteOf(it).mServices = {
      { TestConfiguration::kService, 1.0 + aSituation.Random(5) },
      { TestConfiguration::kSecondService, 1.0 * aSituation.Random(3) }
    };
  }
}

void
ChangeTimeouts(Situation& aSituation, int)
{
  for (const char* it : { "plain", "unsafe", "stream" }) {
    TestRoute& route = aSituation.mConfiguration.RouteOf(it);
    route.mTimeoutMs =
      static_cast<int>(kStreamDeadline.count()) + aSituation.Random(4000);
    route.mLatencyMs = 2000 + aSituation.Random(2000);
    route.mMaxAttempts = route.mMaxAttempts == 1 ? 1 : 2 + aSituation.Random(4);
  }
}

void
ChangeLimits(Situation& aSituation, int aRound)
{
  const bool low = aRound % 2 == 0;
  TestLimits limits;
  limits.mHeadBytes = low ? 2048 : 16384;
  limits.mBodyBytes = low ? 2000 : 100000;
  limits.mHeadTimeoutMs = low ? 1000 : 3000;
  limits.mIdleTimeoutMs = low ? 1200 : 15000;
  aSituation.mConfiguration.mLimits = limits;
}

void
ChangeWorkspaces(Situation& aSituation, int aRound)
{
  auto& workspaces = aSituation.mConfiguration.mWorkspaces;
  workspaces.resize(1);
  workspaces.front().mPriority = aSituation.Random(4);
  for (int n = 0; n < aRound % 4; ++n) {
    workspaces.push_back(
      { "w" + std::to_string(n), { "key-" + std::to_string(n) }, n });
  }
}

void
ChangeKeys(Situation& aSituation, int aRound)
{
  auto& keys = aSituation.mConfiguration.mWorkspaces.front().mKeys;
  keys = { "key" };
  for (int n = 0; n < 3; ++n) {
    keys.insert(aRound % 2 == 0 ? keys.begin() : keys.end(),
                "k" + std::to_string(aSituation.Random(1000)));
  }
}

struct NamedChange
{
  const char* mName;
  void (*mChange)(Situation&, int);
};

constexpr NamedChange kChangesOfConfiguration[] = {
  { "routes", AddOrRemoveRoutes }, { "move", MoveRoutes },
  { "weights", ChangeWeights },    { "timeouts", ChangeTimeouts },
  { "limits", ChangeLimits },      { "workspaces", ChangeWorkspaces },
  { "keys", ChangeKeys }
};

// Writes configurations in quick succession, each with a change of one kind.
void
ChangeInQuickSuccession(Situation& aSituation,
                        void (*aChange)(Situation&, int),
                        int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    aChange(aSituation, n);
    aSituation.mCluster.Write(aSituation.mConfiguration);
    std::this_thread::sleep_for(kChangeInterval);
  }
}

// Changes of all kinds in turn.
void
ChangeEverything(Situation& aSituation, int aCount)
{
  for (int n = 0; n < aCount; ++n) {
    const auto& change =
      kChangesOfConfiguration[static_cast<std::size_t>(n) %
                              std::size(kChangesOfConfiguration)];
    change.mChange(aSituation, n);
    aSituation.mCluster.Write(aSituation.mConfiguration);
    std::this_thread::sleep_for(kChangeInterval);
  }
}

// Runners that are silent together.
enum class SilentRunners
{
  One,
  Place,
  Service,
};

// Lets sound runners be silent for about a second, and waits for their return.
void
Silence(Situation& aSituation, SilentRunners aRunners)
{
  const auto time = milliseconds(900 + aSituation.Random(400));
  const int service = kRunners - kSecondServiceRunners;
  const int one = aSituation.Random(service);
  for (int n = 0; n < service; ++n) {
    if (aRunners == SilentRunners::Service ||
        (aRunners == SilentRunners::Place && n % 2 == one % 2) || n == one) {
      aSituation.mCluster.Stall("i-" + std::to_string(n), time);
    }
  }
  std::this_thread::sleep_for(time);
}

} // namespace

// Whole fleets of gateway processes and callers that keep their connections:
// counts at the callers the requests that end without a complete answer.
// QUETZAL_TEST_SEED and QUETZAL_TEST_SEEDS set the first seed and their number,
// QUETZAL_TEST_FIGURES prints the counts and the requests, with their last line
// of the log if QUETZAL_TEST_LOGS is set, and QUETZAL_TEST_TWINS plays each
// load without its trouble, too.
class FleetAnswerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FleetAnswerTests);
  CPPUNIT_TEST(RequestsAreAnsweredWhileOneTargetIsSilent);
  CPPUNIT_TEST(RequestsAreAnsweredWhileAPlaceIsSilent);
  CPPUNIT_TEST(RequestsAreAnsweredWhileAServiceIsSilent);
  CPPUNIT_TEST(RequestsAreAnsweredWhileAServiceIsSilentTwice);
  CPPUNIT_TEST(RequestsAreAnsweredWhileTargetsAreSilentWithoutRetries);
  CPPUNIT_TEST(RequestsAreAnsweredWhileTheConfigurationChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against the silence of one sound target ending requests.
  void RequestsAreAnsweredWhileOneTargetIsSilent()
  {
    ExpectAllAnswered(Case("silent_one"), [](Situation& aSituation) {
      Silence(aSituation, SilentRunners::One);
    });
  }

  void RequestsAreAnsweredWhileAPlaceIsSilent()
  {
    ExpectAllAnswered(Case("silent_place"), [](Situation& aSituation) {
      Silence(aSituation, SilentRunners::Place);
    });
  }

  // Guards against requests ending when no other target can take them over.
  void RequestsAreAnsweredWhileAServiceIsSilent()
  {
    ExpectAllAnswered(Case("silent_service"), [](Situation& aSituation) {
      Silence(aSituation, SilentRunners::Service);
    });
  }

  void RequestsAreAnsweredWhileAServiceIsSilentTwice()
  {
    ExpectAllAnswered(Case("silent_twice"), [](Situation& aSituation) {
      Silence(aSituation, SilentRunners::Service);
      std::this_thread::sleep_for(milliseconds(300));
      Silence(aSituation, SilentRunners::Service);
    });
  }

  // Guards against requests ending because they may not be sent again.
  void RequestsAreAnsweredWhileTargetsAreSilentWithoutRetries()
  {
    FleetCase fleet = Case("silent_budget");
    fleet.mFleet.mSettings.mRetryRatio = 0.01;
    fleet.mFleet.mSettings.mRetryAllowance = 2;
    fleet.mConfiguration.RouteOf("plain").mMaxAttempts = 2;
    fleet.mConfiguration.RouteOf("stream").mMaxAttempts = 2;
    ExpectAllAnswered(fleet, [](Situation& aSituation) {
      Silence(aSituation, SilentRunners::Place);
      std::this_thread::sleep_for(milliseconds(200));
      Silence(aSituation, SilentRunners::One);
    });
  }

  // Guards against requests ending beside changes of the configuration that do
  // not concern them. QUETZAL_TEST_CHANGE selects one kind of change, from 0.
  void RequestsAreAnsweredWhileTheConfigurationChanges()
  {
    const int only = FromEnvironment("QUETZAL_TEST_CHANGE", -1);
    FleetCase fleet = Case("change");
    if (only >= 0) {
      fleet.mName += std::string("_") + kChangesOfConfiguration[only].mName;
    }
    ExpectAllAnswered(fleet, [only](Situation& aSituation) {
      if (only < 0) {
        ChangeEverything(aSituation, kChanges);
      } else {
        ChangeInQuickSuccession(
          aSituation, kChangesOfConfiguration[only].mChange, kChanges);
      }
    });
  }

private:
  static FleetCase Case(const char* aName)
  {
    FleetCase fleet;
    fleet.mName = aName;
    return fleet;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAnswerTests);
