#include "GatewayTestCluster.h"
#include "OtherTraffic.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// Time that the platform grants after the crash that must make a part or a body
// known, and the number of runs that may start after that.
constexpr auto kKnownWithin = milliseconds(3000);
constexpr int kMaxLateRuns = 3;

// The crash from which that time counts.
constexpr std::size_t kCrashesOfAPart = 5;
constexpr std::size_t kCrashesOfABody = 3;

// Time that a crashing request runs before its target ends, and duration of a
// sound plain call.
constexpr auto kCrashDelay = milliseconds(80);
constexpr auto kPlainAnswer = milliseconds(100);

// Time in which sound requests are served before the first crash.
constexpr auto kCalmTime = milliseconds(1500);

enum class PartPosition
{
  First,
  Middle,
};

// What happens in the middle of a play, besides.
enum class Besides
{
  Nothing,
  OneHostRestarts,
  AllHostsRestart,
  PlacesFail,
};

struct Play
{
  std::string mRoute = "/stream/";
  int mTargets = 6;
  int mHosts = 6;
  // Crashing parts, which take turns.
  int mParts = 1;
  PartPosition mPosition = PartPosition::Middle;
  // Time between two sends, and hosts that each of them goes to at once.
  milliseconds mInterval{ 400 };
  int mHostsAtOnce = 1;
  milliseconds mDuration{ 12000 };
  // Share of datagrams that are lost, in percent.
  int mDatagramLoss = 0;
  RunnerReturn mReturn = RunnerReturn::NewName;
  Besides mBesides = Besides::Nothing;
  // Parts that all requests have between the first and the last.
  int mSharedParts = 1;
  // Events that a target writes before it crashes.
  int mEventsBeforeCrash = 0;
  // Whether answers have neither a length nor chunks.
  bool mUnframed = false;
  // Sends one body instead of requests that share a part.
  bool mOneBody = false;
  bool mBesideOthers = true;
};

std::string
PartOf(int aNumber)
{
  return GatewayTestCluster::kCrashingPart + std::to_string(1000 + aNumber);
}

// The field that lists the parts of a prompt, with a crashing one if aPart is
// not empty.
std::string
PromptOf(const Play& aPlay, const std::string& aId, const std::string& aPart)
{
  const bool first = !aPart.empty() && aPlay.mPosition == PartPosition::First;
  std::string parts = (first ? aPart : "f1") + ":8";
  for (int n = 0; n < aPlay.mSharedParts; ++n) {
    parts += ",c" + std::to_string(n) + ":8";
  }
  if (!aPart.empty() && !first) {
    parts += "," + aPart + ":8";
  }
  return "X-Prompt-Prefix: " + parts + "," + aId + ":16\r\n";
}

// Runs of each part or body that started later than the platform allows.
std::map<std::string, int>
CountLateRuns(GatewayTestCluster& aCluster, const Play& aPlay)
{
  std::map<std::string, std::vector<Time>> ends;
  for (const auto& it : aCluster.Crashes()) {
    ends[it.mBody].push_back(it.mAt);
  }
  const std::size_t last =
    (aPlay.mOneBody ? kCrashesOfABody : kCrashesOfAPart) - 1;
  std::map<std::string, int> late;
  for (const auto& it : ends) {
    late[it.first] = 0;
  }
  for (const RunnerRequest& it : aCluster.Runs()) {
    const std::string* prompt = it.mHead.Find("X-Prompt-Prefix");
    const std::string label = aPlay.mOneBody ? it.mBody
                              : prompt == nullptr
                                ? std::string()
                                : GatewayTestCluster::CrashingPartOf(*prompt);
    const auto known = ends.find(label);
    if (known != ends.end() && known->second.size() > last &&
        it.mAt > known->second[last] + kKnownWithin) {
      ++late[label];
    }
  }
  return late;
}

} // namespace

// Gateway processes and requests with bodies of their own that have a part of
// their prompts in common, which crashes each target that begins to write an
// answer on it. They come at all hosts, beside sound requests that have the
// other parts and the caller.
class CrashingPartTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingPartTests);
  CPPUNIT_TEST(PartOfStreamsIsStopped);
  CPPUNIT_TEST(PartOfSafeRequestsIsStopped);
  CPPUNIT_TEST(PartOfUnsafeRequestsIsStopped);
  CPPUNIT_TEST(PartIsStoppedOnThreeTargets);
  CPPUNIT_TEST(PartThatComesAtAllHostsAtOnceIsStopped);
  CPPUNIT_TEST(PartIsStoppedAfterItsFirstEvents);
  CPPUNIT_TEST(PartOfStreamsWithoutFramingIsStopped);
  CPPUNIT_TEST(TwoPartsAreStopped);
  CPPUNIT_TEST(FirstPartIsStopped);
  CPPUNIT_TEST(SeldomPartIsStopped);
  CPPUNIT_TEST(PartIsStoppedWithoutDatagrams);
  CPPUNIT_TEST(PartIsStoppedByASingleHost);
  CPPUNIT_TEST(PartIsStoppedWithoutOtherTraffic);
  CPPUNIT_TEST(PartIsStoppedAfterAHostRestarts);
  CPPUNIT_TEST(PartIsStoppedAfterAllHostsRestart);
  CPPUNIT_TEST(PartIsStoppedIfTargetsKeepTheirNames);
  CPPUNIT_TEST(PartIsStoppedWhilePlacesFail);
  CPPUNIT_TEST(PartOfALongPromptIsStopped);
  CPPUNIT_TEST(BodyIsStoppedInBurstsOnThreeTargets);
  CPPUNIT_TEST(MalformedPromptsAreServed);
  CPPUNIT_TEST_SUITE_END();

public:
  // These guard against hosts that know crashing requests by their bodies only,
  // so that each new request with a crashing part ends targets again, and
  // against refusing sound requests that share other parts with it.
  void PartOfStreamsIsStopped() { ExpectStopped({}); }
  void PartOfSafeRequestsIsStopped()
  {
    Play play;
    play.mRoute = "/plain/";
    ExpectStopped(play);
  }
  void PartOfUnsafeRequestsIsStopped()
  {
    Play play;
    play.mRoute = "/unsafe/";
    ExpectStopped(play);
  }

  void PartIsStoppedOnThreeTargets()
  {
    for (const char* it : { "/stream/", "/plain/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mTargets = 3;
      ExpectStopped(play);
    }
  }

  // Guards against taking targets that end at the same time for the failure of
  // a place.
  void PartThatComesAtAllHostsAtOnceIsStopped()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mTargets = 3;
      play.mInterval = milliseconds(3000);
      play.mHostsAtOnce = play.mHosts;
      play.mDuration = milliseconds(15000);
      ExpectStopped(play);
    }
  }

  // Guards against the first events of an answer counting as its success.
  void PartIsStoppedAfterItsFirstEvents()
  {
    Play play;
    play.mEventsBeforeCrash = 3;
    ExpectStopped(play);
  }

  // Guards against a target's crash counting as the end of its answer, and
  // against suspecting the parts of all answers that end with their
  // connections.
  void PartOfStreamsWithoutFramingIsStopped()
  {
    Play play;
    play.mUnframed = true;
    play.mEventsBeforeCrash = 3;
    ExpectStopped(play);
  }

  void TwoPartsAreStopped()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mParts = 2;
      play.mInterval = milliseconds(200);
      ExpectStopped(play);
    }
  }

  void FirstPartIsStopped()
  {
    Play play;
    play.mPosition = PartPosition::First;
    ExpectStopped(play);
  }

  void SeldomPartIsStopped()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mInterval = milliseconds(2000);
      play.mDuration = milliseconds(24000);
      ExpectStopped(play);
    }
  }

  // Guards against hosts that learn of each other's losses by datagrams only.
  void PartIsStoppedWithoutDatagrams()
  {
    for (const char* it : { "/stream/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mDatagramLoss = 100;
      ExpectStopped(play);
    }
  }

  void PartIsStoppedByASingleHost()
  {
    Play play;
    play.mHosts = 1;
    ExpectStopped(play);
  }

  void PartIsStoppedWithoutOtherTraffic()
  {
    Play play;
    play.mBesideOthers = false;
    ExpectStopped(play);
  }

  // Guards against hosts that forget what they have learned when they restart.
  void PartIsStoppedAfterAHostRestarts()
  {
    Play play;
    play.mBesides = Besides::OneHostRestarts;
    ExpectStopped(play);
  }
  void PartIsStoppedAfterAllHostsRestart()
  {
    Play play;
    play.mBesides = Besides::AllHostsRestart;
    play.mDuration = milliseconds(15000);
    ExpectStopped(play);
  }

  void PartIsStoppedIfTargetsKeepTheirNames()
  {
    Play play;
    play.mReturn = RunnerReturn::SameName;
    ExpectStopped(play);
  }

  // Guards against blaming a part for the failure of a place, and against
  // excusing one by it.
  void PartIsStoppedWhilePlacesFail()
  {
    Play play;
    play.mTargets = 12;
    play.mBesides = Besides::PlacesFail;
    ExpectStopped(play);
  }

  // Guards against evidence that is lost, or slows down a host, when a prompt
  // has very many parts.
  void PartOfALongPromptIsStopped()
  {
    Play play;
    play.mSharedParts = 1000;
    ExpectStopped(play);
  }

  // Guards against excusing the deaths that one body causes together.
  void BodyIsStoppedInBurstsOnThreeTargets()
  {
    for (const char* it : { "/stream/", "/plain/", "/unsafe/" }) {
      Play play;
      play.mRoute = it;
      play.mTargets = 3;
      play.mOneBody = true;
      play.mInterval = milliseconds(2500);
      play.mHostsAtOnce = play.mHosts;
      play.mDuration = milliseconds(15000);
      ExpectStopped(play);
    }
  }

  // Guards against rejecting, or crashing on, a list of parts that cannot be
  // read.
  void MalformedPromptsAreServed()
  {
    GatewayTestCluster cluster;
    int n = 0;
    for (const std::string& it : { std::string(","),
                                   std::string(",,,:"),
                                   std::string("x"),
                                   std::string("zz:8,:,a:b:c,1:-4"),
                                   std::string(10000, ','),
                                   std::string(8000, 'a') + ":1,b:1",
                                   std::string("\x80\xff:8,\x80:8") }) {
      for (const char* route : { "/stream/", "/plain/", "/unsafe/" }) {
        const auto answer = cluster.Call(GatewayTestCluster::Request(
          route, "m" + std::to_string(n++), "X-Prompt-Prefix: " + it + "\r\n"));
        CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
        CPPUNIT_ASSERT(answer.mComplete);
      }
    }
  }

private:
  static void ExpectStopped(const Play& aPlay)
  {
    GatewayTestCluster::Options options;
    options.mRunners = aPlay.mTargets;
    options.mGateways = aPlay.mHosts;
    options.mRelaysDatagrams = aPlay.mDatagramLoss > 0;
    GatewayTestCluster cluster(options);
    cluster.SetDatagramLoss(aPlay.mDatagramLoss);
    cluster.SetRunnerReturn(aPlay.mReturn);
    cluster.SetCrashDelay(kCrashDelay);
    cluster.SetEventsBeforeCrash(aPlay.mEventsBeforeCrash);
    if (aPlay.mUnframed) {
      cluster.SetAllModes(RunnerMode::Unframed);
    }
    cluster.SetPace(milliseconds(50), milliseconds(10), kPlainAnswer);
    std::optional<OtherTraffic> others;
    if (aPlay.mBesideOthers) {
      others.emplace(
        cluster,
        std::vector<std::string>{ aPlay.mRoute, "/plain/" },
        2,
        [&aPlay](const std::string& aId) { return PromptOf(aPlay, aId, ""); });
    }
    std::this_thread::sleep_for(kCalmTime);
    SendAll(cluster, aPlay);
    if (others) {
      others->Stop();
    }
    Check(cluster, aPlay, others ? &*others : nullptr);
  }

  // Sends the crashing requests, each to the next host or to several at once.
  static void SendAll(GatewayTestCluster& aCluster, const Play& aPlay)
  {
    std::vector<std::thread> calls;
    const int sends = static_cast<int>(aPlay.mDuration / aPlay.mInterval);
    for (int send = 0; send < sends; ++send) {
      const std::string part = PartOf(send % aPlay.mParts);
      for (int n = 0; n < aPlay.mHostsAtOnce; ++n) {
        const std::size_t host =
          static_cast<std::size_t>(send + n) % aCluster.GatewayCount();
        const std::string id = "d" + std::to_string(calls.size());
        calls.emplace_back([&aCluster, &aPlay, host, part, id] {
          aCluster.Gateway(host).Call(
            aPlay.mOneBody
              ? GatewayTestCluster::Request(
                  aPlay.mRoute, id, "", GatewayTestCluster::kCrashingBody)
              : GatewayTestCluster::Request(
                  aPlay.mRoute, id, PromptOf(aPlay, id, part), id));
        });
      }
      std::this_thread::sleep_for(aPlay.mInterval);
      if (send == sends / 3) {
        Disturb(aCluster, aPlay.mBesides);
      }
      if (send == sends / 2 && aPlay.mBesides == Besides::PlacesFail) {
        aCluster.FailPlace("p1");
      }
    }
    for (std::thread& it : calls) {
      it.join();
    }
  }

  static void Disturb(GatewayTestCluster& aCluster, Besides aBesides)
  {
    if (aBesides == Besides::PlacesFail) {
      aCluster.FailPlace("p0");
    }
    const std::size_t restarts = aBesides == Besides::OneHostRestarts ? 1
                                 : aBesides == Besides::AllHostsRestart
                                   ? aCluster.GatewayCount()
                                   : 0;
    for (std::size_t n = 0; n < restarts; ++n) {
      aCluster.Gateway(n).Restart();
    }
    if (restarts > 0) {
      aCluster.AwaitReady();
    }
  }

  static void Check(GatewayTestCluster& aCluster,
                    const Play& aPlay,
                    const OtherTraffic* aOthers)
  {
    std::string figures = "route " + aPlay.mRoute + ", targets " +
                          std::to_string(aPlay.mTargets) + ", hosts " +
                          std::to_string(aPlay.mHosts) + ": late runs";
    int most = 0;
    for (const auto& it : CountLateRuns(aCluster, aPlay)) {
      most = std::max(most, it.second);
      figures += " " + std::to_string(it.second);
    }
    figures += ", crashes " + std::to_string(aCluster.CrashCount());
    if (aOthers != nullptr) {
      figures += ", others sent " + std::to_string(aOthers->SentCount()) +
                 ", served " + std::to_string(aOthers->ServedCount()) +
                 ", at once " + std::to_string(aOthers->ServedAtOnceCount()) +
                 ", refused as suspects " +
                 std::to_string(aOthers->BlamedCount());
    }
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << figures << '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(figures, most <= kMaxLateRuns);
    if (aOthers != nullptr) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, aOthers->BlamedCount());
      CPPUNIT_ASSERT_MESSAGE(
        figures, 2 * aOthers->ServedAtOnceCount() >= aOthers->SentCount());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartTests);
