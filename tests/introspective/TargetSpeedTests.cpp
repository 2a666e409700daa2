#include "core/TargetTable.h"
#include "core/speed/TargetSpeeds.h"
#include "platform/PlatformRequests.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr char kService[] = "tutors";

const Time kStart = Time() + std::chrono::hours(1);

platform::TargetResponse
Decode(const std::string& aLoad)
{
  HttpHead head;
  head.mStatus = 200;
  head.mFields.push_back({ "X-Server-Load", aLoad });
  return platform::DecodeTargetResponse(head);
}

// A table with targets of which every fourth is slow.
class UnevenTargets
{
public:
  static constexpr int kTargets = 24;

  UnevenTargets()
    : mTable(MakeOptions())
  {
    std::vector<TargetDeclaration> targets;
    for (int n = 0; n < kTargets; ++n) {
      TargetDeclaration target;
      target.mName = "t" + std::to_string(n);
      target.mService = kService;
      target.mMemoryTokens = 88000;
      targets.push_back(target);
    }
    mTable.Declare({ { kService, "" } }, targets, "", kStart);
  }

  static bool IsSlow(int aTarget) { return aTarget % 4 == 0; }

  // Sends requests that arrive faster than they end, and returns how many the
  // slow targets got.
  int SendToSlow(int aCount)
  {
    int slow = 0;
    for (int n = 0; n < aCount; ++n) {
      ChoiceQuery query;
      query.mService = kService;
      query.mRequestId = std::to_string(n);
      query.mWorkspace = "w";
      query.mPromptTokens = 8000;
      query.mOutputTokens = 900;
      query.mContent.mHash = static_cast<std::uint64_t>(n + 1);
      const Choice choice = mTable.Choose(query, kStart);
      if (choice.mStatus == ChoiceStatus::Chosen) {
        mTable.OnAttemptStart(
          choice.mTarget, query.mContent, kStart, { 8000, 900 });
        slow += IsSlow(std::stoi(choice.mTarget.substr(1))) ? 1 : 0;
      }
    }
    return slow;
  }

  TargetTable& Table() { return mTable; }

private:
  static TargetTableOptions MakeOptions()
  {
    TargetTableOptions options;
    options.mRouterName = "h";
    options.mSeed = 3;
    return options;
  }

  TargetTable mTable;
};

} // namespace

class TargetSpeedTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetSpeedTests);
  CPPUNIT_TEST(SlowTargetsGetLessThanTheirShare);
  CPPUNIT_TEST(AFigureLosesWeightWithItsAge);
  CPPUNIT_TEST(PacesCountOnlyWhereTargetsTellFigures);
  CPPUNIT_TEST(FactorsAreBounded);
  CPPUNIT_TEST(TheFourthFigureIsDecoded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against giving a target of half the speed as much work as others:
  // one target in four takes twice as long.
  void SlowTargetsGetLessThanTheirShare()
  {
    UnevenTargets even;
    const int before = even.SendToSlow(96);
    UnevenTargets uneven;
    uneven.Table().OnSpeedFigure("t0", 1, kStart);
    for (int round = 0; round < 40; ++round) {
      for (int n = 0; n < UnevenTargets::kTargets; ++n) {
        uneven.Table().OnTokenGap(
          "t" + std::to_string(n),
          milliseconds(UnevenTargets::IsSlow(n) ? 50 : 25));
      }
    }
    const int after = uneven.SendToSlow(96);
    if (std::getenv("QUETZAL_TEST_FIGURES") != nullptr) {
      std::cout << "requests at slow targets: " << before << " of 96 before, "
                << after << " after\n";
    }
    // A quarter of the targets at half the speed are a seventh of the capacity.
    CPPUNIT_ASSERT(before >= 20);
    CPPUNIT_ASSERT(after <= 16);
    CPPUNIT_ASSERT(after > 0);
  }

  // The neighbours of a target change several times a second.
  void AFigureLosesWeightWithItsAge()
  {
    TargetSpeeds speeds;
    speeds.OnFigure(kService, "t", 2, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      2, speeds.FactorAt(kService, "t", kStart), 0.01);
    const double half =
      speeds.FactorAt(kService, "t", kStart + milliseconds(600));
    CPPUNIT_ASSERT(half > 1.2 && half < 1.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      1, speeds.FactorAt(kService, "t", kStart + milliseconds(5000)), 0.01);
  }

  void PacesCountOnlyWhereTargetsTellFigures()
  {
    TargetSpeeds speeds;
    const auto measure = [&speeds] {
      for (int n = 0; n < 50; ++n) {
        speeds.OnGap(kService, "slow", milliseconds(50));
        speeds.OnGap(kService, "fast", milliseconds(25));
      }
    };
    measure();
    CPPUNIT_ASSERT_EQUAL(1.0, speeds.FactorAt(kService, "slow", kStart));
    CPPUNIT_ASSERT_EQUAL(0.0, speeds.MeasuredPace("slow"));
    speeds.OnFigure(kService, "fast", 1, kStart);
    measure();
    CPPUNIT_ASSERT(speeds.FactorAt(kService, "slow", kStart) >
                   1.5 * speeds.FactorAt(kService, "fast", kStart));
    // What others tell counts where this host has measured nothing.
    speeds.OnTold("told", 1.7);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      1.7, speeds.FactorAt(kService, "told", kStart), 0.01);
    speeds.Forget("told");
    CPPUNIT_ASSERT_EQUAL(1.0, speeds.FactorAt(kService, "told", kStart));
  }

  // Guards against a herd: a single figure may not draw or keep off everything.
  void FactorsAreBounded()
  {
    TargetSpeeds speeds;
    speeds.OnFigure(kService, "a", 0.01, kStart);
    speeds.OnFigure(kService, "b", 1000, kStart);
    CPPUNIT_ASSERT_EQUAL(TargetSpeeds::kMinFactor,
                         speeds.FactorAt(kService, "a", kStart));
    CPPUNIT_ASSERT_EQUAL(TargetSpeeds::kMaxFactor,
                         speeds.FactorAt(kService, "b", kStart));
  }

  void TheFourthFigureIsDecoded()
  {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, *Decode("3,0,8,250").mSlowness, 0.001);
    CPPUNIT_ASSERT(!Decode("3,0,8").mSlowness);
    CPPUNIT_ASSERT(Decode("3,0,8").mMalformedSlowness.empty());
    for (const char* it :
         { "3,0,8,0", "3,0,8,-5", "3,0,8,x", "3,0,8,", "3,0,8,99999999999" }) {
      const auto response = Decode(it);
      CPPUNIT_ASSERT(!response.mSlowness);
      CPPUNIT_ASSERT_EQUAL(std::string(it), response.mMalformedSlowness);
      CPPUNIT_ASSERT_EQUAL(3, *response.mRunning);
      CPPUNIT_ASSERT_EQUAL(0, *response.mWaiting);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedTests);
