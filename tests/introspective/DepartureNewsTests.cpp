#include "core/DepartureNews.h"
#include "core/TargetTable.h"
#include "gateway/LoadBroadcaster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// A fleet and its load: streams that reach a random host.
constexpr int kHosts = 195;
constexpr int kTargets = 312;
constexpr int kGoneTargets = 78;
constexpr int kStreamsPerSecond = 94;
constexpr int kStreamMs = 5000;
constexpr int kOutageMs = 8000;
constexpr int kStepMs = 10;

// Runs that a route allows a stream, and what the platform allows the whole
// fleet in 10 s: a share of the requests, and a fixed number.
constexpr int kMaxAttempts = 4;
constexpr double kRetryRatio = 0.8;
constexpr int kRetrySlack = 150;

constexpr double kDatagramLossRate = 0.1;

Time
At(int aMs)
{
  return Time(std::chrono::hours(1) + milliseconds(aMs));
}

std::string
NameOf(int aTarget)
{
  return "t" + std::to_string(aTarget);
}

// Hosts whose store is silent while targets are replaced by others at their
// addresses. Performs no I/O.
class OutageSimulation
{
public:
  explicit OutageSimulation(bool aTell)
    : mTell(aTell)
  {
    TargetTableOptions options;
    options.mSampleSize = 0;
    std::vector<TargetDeclaration> targets;
    for (int n = 0; n < kTargets; ++n) {
      TargetDeclaration target;
      target.mName = NameOf(n);
      target.mService = "s";
      target.mPlace = "p" + std::to_string(n % 5);
      target.mIncarnation = "0";
      targets.push_back(target);
    }
    for (int n = 0; n < kHosts; ++n) {
      options.mRouterName = "h" + std::to_string(n);
      options.mSeed = static_cast<std::uint64_t>(n);
      mTables.emplace_back(options);
      mTables.back().Declare({ { "s", "" } }, targets, "", At(0));
    }
    mNews.resize(kHosts);
  }

  void Run()
  {
    for (int ms = 0; ms < kOutageMs; ms += kStepMs) {
      EndStreams(ms);
      const int due = (ms + kStepMs) * kStreamsPerSecond / 1000 -
                      ms * kStreamsPerSecond / 1000;
      for (int n = 0; n < due; ++n) {
        StartStream(ms);
      }
      if (ms % 100 == 0) {
        Exchange(ms);
      }
    }
  }

  int Requests() const { return mRequests; }
  int TurnedAway() const { return mTurnedAway; }
  int Unserved() const { return mUnserved; }

private:
  struct Stream
  {
    std::size_t mHost;
    std::string mTarget;
    std::uint64_t mContent;
  };

  std::size_t PickHost()
  {
    return static_cast<std::size_t>(
      std::uniform_int_distribution<int>(0, kHosts - 1)(mRandom));
  }

  void StartStream(int aMs)
  {
    const std::size_t host = PickHost();
    TargetTable& table = mTables[host];
    ChoiceQuery query;
    query.mService = "s";
    query.mContent = ++mRequests;
    query.mRequestId = std::to_string(mRequests);
    query.mDeadline = At(aMs + 25000);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const Choice choice = table.Choose(query, At(aMs));
      if (choice.mStatus != ChoiceStatus::Chosen) {
        break;
      }
      if (std::stoi(choice.mTarget.substr(1)) >= kGoneTargets) {
        table.OnAttemptStart(choice.mTarget, query.mContent, At(aMs));
        mStreams.emplace(aMs + kStreamMs,
                         Stream{ host, choice.mTarget, query.mContent.mHash });
        return;
      }
      ++mTurnedAway;
      query.mExcluded.push_back(choice.mTarget);
      table.MarkLeaving(choice.mTarget);
      if (mTell) {
        mNews[host].Add({ choice.mTarget, "0", {}, {} }, true, At(aMs));
      }
    }
    ++mUnserved;
  }

  void EndStreams(int aMs)
  {
    while (!mStreams.empty() && mStreams.begin()->first <= aMs) {
      const Stream stream = mStreams.begin()->second;
      mStreams.erase(mStreams.begin());
      mTables[stream.mHost].OnAttemptEnd(
        stream.mTarget, stream.mContent, AttemptOutcome::Finished, At(aMs));
    }
  }

  // Each host tells some others its load, and which targets are gone.
  void Exchange(int aMs)
  {
    for (std::size_t host = 0; host < mTables.size(); ++host) {
      const auto load = mTables[host].OwnLoad();
      const auto news = mNews[host].TakeNews(At(aMs));
      for (std::size_t n = 0; n < LoadBroadcaster::kMaxReceivers; ++n) {
        const std::size_t to = PickHost();
        if (to == host || std::uniform_real_distribution<double>()(mRandom) <
                            kDatagramLossRate) {
          continue;
        }
        mTables[to].SetPeerLoad("h" + std::to_string(host), load, At(aMs));
        for (const TargetDeparture& it : news) {
          if (mNews[to].Add(it, true, At(aMs))) {
            mTables[to].MarkLeaving(it.mTarget, it.mIncarnation);
          }
        }
      }
    }
  }

  bool mTell;
  std::mt19937_64 mRandom{ 1 };
  std::vector<TargetTable> mTables;
  std::vector<DepartureNews> mNews;
  std::multimap<int, Stream> mStreams;
  int mRequests = 0;
  int mTurnedAway = 0;
  int mUnserved = 0;
};

} // namespace

// Idle-looking targets that are gone: while the store is silent its entries
// name targets that others have replaced, and these have no load, so that every
// host prefers them. Without a network. With QUETZAL_TEST_FIGURES set, the
// tests print their figures.
class DepartureNewsTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DepartureNewsTests);
  CPPUNIT_TEST(GoneTargetsAreFoundOnceByTheWholeFleet);
  CPPUNIT_TEST(ANewStartUnderTheSameNameIsAnotherDeparture);
  CPPUNIT_TEST(ASuccessorIsToldAfterTheDeparture);
  CPPUNIT_TEST(WhatOthersTellIsToldLessOften);
  CPPUNIT_TEST(MessagesAndMemoryAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against each host of a large fleet finding each gone target by a
  // request of its own, which exhausts the fleet's retries.
  void GoneTargetsAreFoundOnceByTheWholeFleet()
  {
    for (const bool tell : { false, true }) {
      OutageSimulation simulation(tell);
      simulation.Run();
      const int allowed =
        static_cast<int>(kRetryRatio * simulation.Requests()) + kRetrySlack;
      const std::string figures =
        std::string(tell ? "telling" : "each host alone") + ": requests " +
        std::to_string(simulation.Requests()) + ", turned away " +
        std::to_string(simulation.TurnedAway()) + " of " +
        std::to_string(allowed) + ", unserved " +
        std::to_string(simulation.Unserved());
      if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
        std::cout << figures << '\n';
      }
      if (tell) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0, simulation.Unserved());
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.TurnedAway() <= allowed);
      } else {
        // Shows that the load brings the fault about.
        CPPUNIT_ASSERT_MESSAGE(figures, simulation.TurnedAway() > allowed);
      }
    }
  }

  // Guards against taking a restart under the same name for the start before.
  void ANewStartUnderTheSameNameIsAnotherDeparture()
  {
    DepartureNews news;
    CPPUNIT_ASSERT(news.Add({ "t", "1", {}, {} }, true, At(0)));
    CPPUNIT_ASSERT(!news.Add({ "t", "1", {}, {} }, true, At(10)));
    CPPUNIT_ASSERT(news.Add({ "t", "2", {}, {} }, true, At(20)));
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         news.TakeNews(At(30)).at(0).mIncarnation);
  }

  // Guards against hosts that know of a departure never using the target that
  // has taken its place.
  void ASuccessorIsToldAfterTheDeparture()
  {
    DepartureNews news;
    news.Add({ "t", "1", {}, {} }, true, At(0));
    while (news.HasNews()) {
      news.TakeNews(At(5));
    }
    CPPUNIT_ASSERT(news.Add({ "t", "1", "u", "2" }, true, At(10)));
    CPPUNIT_ASSERT_EQUAL(std::string("u"),
                         news.TakeNews(At(15)).at(0).mSuccessor);
    // A late message without the successor changes nothing.
    CPPUNIT_ASSERT(!news.Add({ "t", "1", {}, {} }, true, At(20)));
  }

  // Guards against a fleet in which every host tells everybody everything.
  void WhatOthersTellIsToldLessOften()
  {
    DepartureNews alone;
    alone.Add({ "t", "1", {}, {} }, true, At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), alone.TakeNews(At(10)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), alone.TakeNews(At(10)).size());
    CPPUNIT_ASSERT(!alone.HasNews());
    DepartureNews told;
    for (int n = 0; n < 3; ++n) {
      told.Add({ "t", "1", {}, {} }, true, At(n));
    }
    CPPUNIT_ASSERT(told.TakeNews(At(10)).empty());
    DepartureNews few;
    few.Add({ "t", "1", {}, {} }, false, At(0));
    CPPUNIT_ASSERT(!few.HasNews());
  }

  // Guards against messages and memory that grow with a host that reports
  // targets without end.
  void MessagesAndMemoryAreBounded()
  {
    DepartureNews news;
    for (int n = 0; n < 100000; ++n) {
      news.Add({ NameOf(n), "1", {}, {} }, true, At(n));
      if (n % 100 == 0) {
        CPPUNIT_ASSERT(news.TakeNews(At(n)).size() <=
                       DepartureNews::kMaxInMessage);
      }
    }
    CPPUNIT_ASSERT(news.Size() <= DepartureNews::kMaxEntries);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureNewsTests);
