#include "Property.h"

#include "core/FairQueue.h"
#include "core/LimitShares.h"
#include "core/ServiceRate.h"
#include "core/TargetTable.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

Time
At(int aMs)
{
  return Time(std::chrono::milliseconds(aMs));
}

WaitingRequest
Request(const std::string& aWorkspace, int aNumber, int aWeight, int aDeadline)
{
  WaitingRequest request;
  request.mRequestId = aWorkspace + "-" + std::to_string(aNumber);
  request.mWorkspace = aWorkspace;
  request.mWeight = aWeight;
  request.mDeadline = At(aDeadline);
  return request;
}

} // namespace

class FairnessTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FairnessTests);
  CPPUNIT_TEST(ServiceIsProportionalToWeights);
  CPPUNIT_TEST(EarliestDeadlineIsServedFirst);
  CPPUNIT_TEST(BacklogOfOneWorkspaceDoesNotDelayOthers);
  CPPUNIT_TEST(QueueHoldsExactlyTheAddedRequests);
  CPPUNIT_TEST(BusyRouterGetsLargerShare);
  CPPUNIT_TEST(SharesAddUpToAtMostTheLimit);
  CPPUNIT_TEST(RequestsQueueByDeadlineWhileTargetIsFull);
  CPPUNIT_TEST(EstimatedWaitFollowsTheServiceRate);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServiceIsProportionalToWeights()
  {
    CheckProperty("busy workspaces are served in proportion to weights", [] {
      FairQueue queue;
      const int heavy = *rc::gen::inRange(1, 20);
      const int light = *rc::gen::inRange(1, 20);
      const int turns = 60 * (heavy + light);
      int served = 0;
      for (int n = 0; n < turns; ++n) {
        queue.Add(Request("heavy", n, heavy, n));
        queue.Add(Request("light", n, light, n));
      }
      for (int n = 0; n < turns; ++n) {
        const std::string next = queue.Next();
        const bool isHeavy = next.compare(0, 5, "heavy") == 0;
        served += isHeavy ? 1 : 0;
        queue.Remove(next);
        queue.OnServed(isHeavy ? "heavy" : "light", isHeavy ? heavy : light);
      }
      RC_ASSERT(std::abs(served - 60 * heavy) <= 1 + heavy / light);
    });
  }

  void EarliestDeadlineIsServedFirst()
  {
    CheckProperty("a workspace's earliest deadline is served first", [] {
      FairQueue queue;
      const auto deadlines = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
      for (std::size_t n = 0; n < deadlines.size(); ++n) {
        queue.Add(Request("w", static_cast<int>(n), 1, deadlines[n]));
      }
      int before = -1;
      while (queue.Size() > 0) {
        const std::string next = queue.Next();
        const int deadline =
          deadlines[static_cast<std::size_t>(std::stoi(next.substr(2)))];
        RC_ASSERT(deadline >= before);
        before = deadline;
        queue.Remove(next);
        queue.OnServed("w", 1);
      }
    });
  }

  void BacklogOfOneWorkspaceDoesNotDelayOthers()
  {
    FairQueue queue;
    for (int n = 0; n < 1000; ++n) {
      queue.Add(Request("flood", n, 1, n));
    }
    for (int n = 0; n < 100; ++n) {
      queue.Remove(queue.Next());
      queue.OnServed("flood", 1);
    }
    queue.Add(Request("quiet", 0, 1, 99999));
    int before = 0;
    while (queue.Next() != "quiet-0") {
      queue.Remove(queue.Next());
      queue.OnServed("flood", 1);
      ++before;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(before), before <= 1);
  }

  void QueueHoldsExactlyTheAddedRequests()
  {
    CheckProperty("the queue holds what was added and not removed", [] {
      FairQueue queue;
      std::set<std::string> waiting;
      for (int n = 0; n < 60; ++n) {
        const auto request =
          Request("w" + std::to_string(*rc::gen::inRange(0, 4)),
                  *rc::gen::inRange(0, 8),
                  1,
                  5);
        if (*rc::gen::arbitrary<bool>()) {
          queue.Add(request);
          waiting.insert(request.mRequestId);
        } else {
          queue.Remove(request.mRequestId);
          waiting.erase(request.mRequestId);
        }
        RC_ASSERT(queue.Size() == waiting.size());
        RC_ASSERT(queue.Next().empty() == waiting.empty());
        RC_ASSERT(waiting.empty() || waiting.count(queue.Next()) == 1u);
      }
    });
  }

  void BusyRouterGetsLargerShare()
  {
    LimitShares busy(4);
    LimitShares idle(4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, busy.ShareOf("w", At(0)), 1e-9);
    for (int n = 0; n < 1000; ++n) {
      busy.OnArrival("w", At(n * 10));
    }
    for (const char* peer : { "a", "b", "c" }) {
      busy.OnPeerDemand(peer, {}, At(10000));
      idle.OnPeerDemand(
        peer, { { "w", peer[0] == 'a' ? 100.0 : 0.0 } }, At(10000));
    }
    CPPUNIT_ASSERT(busy.ShareOf("w", At(10000)) > 0.8);
    CPPUNIT_ASSERT(idle.ShareOf("w", At(10000)) < 0.1);
  }

  void SharesAddUpToAtMostTheLimit()
  {
    CheckProperty("the shares of all routers add up to at most the limit", [] {
      const int routers = *rc::gen::inRange(1, 9);
      std::vector<LimitShares> shares;
      for (int n = 0; n < routers; ++n) {
        shares.emplace_back(routers);
      }
      for (LimitShares& it : shares) {
        const int arrivals = *rc::gen::inRange(0, 50);
        for (int n = 0; n < arrivals; ++n) {
          it.OnArrival("w", At(n * 100));
        }
      }
      const Time now = At(5000);
      for (std::size_t from = 0; from < shares.size(); ++from) {
        std::map<std::string, double> demand;
        for (const auto& it : shares[from].OwnDemand(now)) {
          demand[it.mWorkspace] = it.mRate;
        }
        for (std::size_t to = 0; to < shares.size(); ++to) {
          if (from != to) {
            shares[to].OnPeerDemand("r" + std::to_string(from), demand, now);
          }
        }
      }
      double sum = 0;
      for (LimitShares& it : shares) {
        sum += it.ShareOf("w", now);
      }
      RC_ASSERT(sum <= 1.0 + 1e-6);
    });
  }

  void RequestsQueueByDeadlineWhileTargetIsFull()
  {
    TargetTableOptions options;
    options.mRouterName = "router";
    TargetTable table(options);
    TargetDeclaration target;
    target.mName = "t";
    target.mService = "pool";
    ServiceDeclaration service;
    service.mName = "pool";
    table.Declare({ service }, { target }, "");
    ChoiceQuery first;
    first.mService = "pool";
    first.mRequestId = "first";
    first.mWorkspace = "w";
    first.mDeadline = At(9000);
    ChoiceQuery second = first;
    second.mRequestId = "second";
    second.mDeadline = At(5000);
    table.OnAttemptRejected("t", At(0));
    CPPUNIT_ASSERT(table.Choose(first, At(1)).mStatus == ChoiceStatus::Busy);
    CPPUNIT_ASSERT(table.Choose(second, At(2)).mStatus == ChoiceStatus::Busy);
    // The earlier deadline is served first although it was queued later.
    CPPUNIT_ASSERT(table.Choose(first, At(500)).mStatus == ChoiceStatus::Busy);
    CPPUNIT_ASSERT(table.Choose(second, At(501)).mStatus ==
                   ChoiceStatus::Chosen);
    CPPUNIT_ASSERT(table.Choose(first, At(502)).mStatus ==
                   ChoiceStatus::Chosen);
    // A request that was removed does not block the others.
    table.OnAttemptRejected("t", At(600));
    table.Choose(second, At(601));
    table.CancelWait(second);
    CPPUNIT_ASSERT(table.Choose(first, At(900)).mStatus ==
                   ChoiceStatus::Chosen);
  }

  void EstimatedWaitFollowsTheServiceRate()
  {
    ServiceRate rate;
    CPPUNIT_ASSERT(!rate.EstimateWait(5, At(0)));
    for (int n = 0; n < 100; ++n) {
      rate.OnServed(At(n * 100));
    }
    const double wait = ToMilliseconds(*rate.EstimateWait(20, At(9900)));
    CPPUNIT_ASSERT(wait > 1800 && wait < 2200);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairnessTests);
