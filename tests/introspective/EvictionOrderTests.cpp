#include "Property.h"

#include "core/overload/EvictionOrder.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time kStart = Time() + seconds(1000);
constexpr std::size_t kLimit = 400;

// A crowd of connections at different addresses or workspaces.
class Connections
{
public:
  Evictable& Add(ConnectionUse aUse, std::uint64_t aGroup, Time aFrom)
  {
    mAll.emplace_back();
    mOrder.Place(mAll.back(), aUse, aGroup, aFrom);
    return mAll.back();
  }

  void AddMany(int aCount, ConnectionUse aUse, std::uint64_t aGroup, Time aFrom)
  {
    for (int n = 0; n < aCount; ++n) {
      Add(aUse, aGroup, aFrom);
    }
  }

  EvictionOrder mOrder;

private:
  std::deque<Evictable> mAll;
};

} // namespace

class EvictionOrderTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvictionOrderTests);
  CPPUNIT_TEST(UnknownSendersGiveWayBeforeKnownOnes);
  CPPUNIT_TEST(TheLargestGroupGivesWayFirst);
  CPPUNIT_TEST(ReopenedConnectionsKeepATimeForTheirHead);
  CPPUNIT_TEST(UnknownSendersDoNotPushOutKnownOnesWithoutLimit);
  CPPUNIT_TEST(RenewedBodiesGiveWayWhenTheyPause);
  CPPUNIT_TEST(BodiesGiveWayToKnownSendersAtAnyAge);
  CPPUNIT_TEST(CallersThatReuseConnectionsInTimeKeepThem);
  CPPUNIT_TEST(UnknownSendersThatAskOftenGiveWay);
  CPPUNIT_TEST(AWorkspaceWithMostConnectionsGivesWaySooner);
  CPPUNIT_TEST(WhatIsClosedMayBeClosed);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnknownSendersGiveWayBeforeKnownOnes()
  {
    Connections all;
    std::vector<Evictable*> expected;
    for (const ConnectionUse use : { ConnectionUse::KeyedBody,
                                     ConnectionUse::PublicBody,
                                     ConnectionUse::IdleKeyed,
                                     ConnectionUse::IdlePublic,
                                     ConnectionUse::Unidentified,
                                     ConnectionUse::RejectedBody,
                                     ConnectionUse::Ending }) {
      expected.insert(expected.begin(), &all.Add(use, 1, kStart));
    }
    for (Evictable* it : expected) {
      CPPUNIT_ASSERT_EQUAL(it, all.mOrder.ForConnection(kLimit, kStart));
      all.mOrder.Remove(*it);
    }
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) == nullptr);
  }

  // One address with many silent connections, beside an older one of another.
  void TheLargestGroupGivesWayFirst()
  {
    Connections all;
    Evictable& other = all.Add(ConnectionUse::Unidentified, 7, kStart);
    all.AddMany(20, ConnectionUse::Unidentified, 8, kStart + seconds(1));
    const Time now = kStart + seconds(2);
    for (int n = 0; n < 19; ++n) {
      Evictable* first = all.mOrder.ForConnection(kLimit, now);
      CPPUNIT_ASSERT(first != nullptr && first != &other);
      all.mOrder.Remove(*first);
    }
  }

  // A crowd that opens connections faster than an ordinary caller sends its
  // head: that caller is kept for a while, and newer ones are turned away.
  void ReopenedConnectionsKeepATimeForTheirHead()
  {
    Connections all;
    const ConnectionTimes times{ kStart, kStart, kStart, seconds(15) };
    const Time from = EvictableFrom(ConnectionUse::Unidentified, times);
    all.AddMany(400, ConnectionUse::Unidentified, 1, from);
    CPPUNIT_ASSERT(
      all.mOrder.ForConnection(kLimit, kStart + milliseconds(100)) == nullptr);
    CPPUNIT_ASSERT(
      all.mOrder.ForConnection(kLimit, kStart + milliseconds(300)) != nullptr);
    CPPUNIT_ASSERT(from == all.mOrder.NextUnknown());
  }

  void UnknownSendersDoNotPushOutKnownOnesWithoutLimit()
  {
    Connections all;
    all.Add(ConnectionUse::IdleKeyed, 1, kStart);
    all.AddMany(99, ConnectionUse::Unidentified, 2, kStart + seconds(5));
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) != nullptr);
    all.Add(ConnectionUse::Unidentified, 2, kStart + seconds(5));
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) == nullptr);
  }

  // Bodies with a key that stop short and are renewed every second, beside one
  // that arrives slowly but without a pause.
  void RenewedBodiesGiveWayWhenTheyPause()
  {
    Connections all;
    const Time now = kStart + milliseconds(900);
    const auto from = [&](Time aLastInput) {
      return EvictableFrom(ConnectionUse::KeyedBody,
                           { kStart, kStart, aLastInput, seconds(15) });
    };
    Evictable& slow =
      all.Add(ConnectionUse::KeyedBody, 1, from(now - milliseconds(100)));
    all.AddMany(50, ConnectionUse::KeyedBody, 1, from(kStart));
    for (int n = 0; n < 50; ++n) {
      Evictable* first = all.mOrder.ForBody(ConnectionUse::KeyedBody, now);
      CPPUNIT_ASSERT(first != nullptr && first != &slow);
      all.mOrder.Remove(*first);
    }
    CPPUNIT_ASSERT(all.mOrder.ForBody(ConnectionUse::KeyedBody, now) ==
                   nullptr);
  }

  void BodiesGiveWayToKnownSendersAtAnyAge()
  {
    Connections all;
    Evictable& open =
      all.Add(ConnectionUse::PublicBody, 1, kStart + seconds(2));
    all.Add(ConnectionUse::IdlePublic, 1, kStart);
    CPPUNIT_ASSERT(all.mOrder.ForBody(ConnectionUse::RejectedBody, kStart) ==
                   nullptr);
    CPPUNIT_ASSERT(all.mOrder.ForBody(ConnectionUse::PublicBody, kStart) ==
                   nullptr);
    CPPUNIT_ASSERT_EQUAL(&open,
                         all.mOrder.ForBody(ConnectionUse::KeyedBody, kStart));
  }

  void CallersThatReuseConnectionsInTimeKeepThem()
  {
    const ConnectionTimes times{ kStart, kStart, kStart, seconds(10) };
    CPPUNIT_ASSERT(EvictableFrom(ConnectionUse::IdleKeyed, times) ==
                   kStart + seconds(8));
    CPPUNIT_ASSERT(EvictableFrom(ConnectionUse::IdlePublic, times) ==
                   kStart + seconds(8));
  }

  // Without a key, requests that come often do not keep a connection.
  void UnknownSendersThatAskOftenGiveWay()
  {
    const Time now = kStart + seconds(10);
    const ConnectionTimes times{ kStart, now, now, seconds(15) };
    CPPUNIT_ASSERT(EvictableFrom(ConnectionUse::Unidentified, times) ==
                   kStart + milliseconds(250));
  }

  // One workspace uses more than half of all connections, most of them for a
  // request at any time.
  void AWorkspaceWithMostConnectionsGivesWaySooner()
  {
    Connections all;
    const Time from = EvictableFrom(ConnectionUse::IdleKeyed,
                                    { kStart, kStart, kStart, seconds(15) });
    all.AddMany(50, ConnectionUse::IdleKeyed, 1, from);
    Evictable& idle = all.Add(ConnectionUse::IdleKeyed, 2, from);
    for (int n = 0; n < 199; ++n) {
      all.mOrder.Suspend(all.Add(ConnectionUse::IdleKeyed, 2, from));
    }
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) == nullptr);
    Evictable& other = all.Add(ConnectionUse::IdleKeyed, 2, from);
    CPPUNIT_ASSERT_EQUAL(&idle, all.mOrder.ForConnection(kLimit, kStart));
    all.mOrder.Suspend(idle);
    CPPUNIT_ASSERT_EQUAL(&other, all.mOrder.ForConnection(kLimit, kStart));
    all.mOrder.Suspend(other);
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) == nullptr);
    all.mOrder.Remove(other);
    all.mOrder.Place(idle, ConnectionUse::IdleKeyed, 2, from);
    CPPUNIT_ASSERT(all.mOrder.ForConnection(kLimit, kStart) == nullptr);
  }

  // Random connections come, change and go.
  void WhatIsClosedMayBeClosed()
  {
    CheckProperty("what is closed may be closed", [] {
      std::deque<Evictable> all(12);
      std::deque<Time> from(all.size(), Time::max());
      EvictionOrder order;
      const auto steps = *rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange(0U, 1U << 20U));
      for (const unsigned step : steps) {
        const std::size_t n = step % all.size();
        const unsigned rest = step / 12;
        from[n] = kStart + milliseconds(rest / 64 % 8);
        if (rest % 8 == 7) {
          if (rest / 8 % 2 == 0) {
            order.Remove(all[n]);
          } else {
            order.Suspend(all[n]);
          }
          from[n] = Time::max();
        } else {
          order.Place(all[n],
                      static_cast<ConnectionUse>(rest % 8 % 7),
                      rest / 8 % 8,
                      from[n]);
        }
        std::size_t placed = 0;
        for (std::size_t use = 0; use < 7; ++use) {
          placed += order.Count(static_cast<ConnectionUse>(use));
        }
        RC_ASSERT(placed == static_cast<std::size_t>(std::count_if(
                              from.begin(), from.end(), [](Time aTime) {
                                return aTime != Time::max();
                              })));
        const Time now = kStart + milliseconds(4);
        const Evictable* first = order.ForConnection(kLimit, now);
        bool any = false;
        for (std::size_t i = 0; i < all.size(); ++i) {
          any = any || from[i] <= now;
          const bool isFirst = first == &all[i];
          const bool goesBefore =
            first != nullptr && all[i].Use() < first->Use();
          RC_ASSERT(from[i] <= now || !isFirst);
          RC_ASSERT(from[i] > now || !goesBefore);
        }
        RC_ASSERT((first != nullptr) == any);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvictionOrderTests);
