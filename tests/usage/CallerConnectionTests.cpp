#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;

// Callers' connections to one gateway process: what becomes of a request or an
// answer when its connection ends.
class CallerConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerConnectionTests);
  CPPUNIT_TEST(RequestBytesLostWithTheirConnectionAreCounted);
  CPPUNIT_TEST(ConnectionsTurnedAwayAreCounted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a connection that loses bytes of a request without a trace.
  void RequestBytesLostWithTheirConnectionAreCounted()
  {
    GatewayTestCluster cluster;
    CallerChannel channel(cluster.Gateway());
    channel.Send(
      GatewayTestCluster::Request("/plain/", "a", "Connection: close\r\n") +
      GatewayTestCluster::Request("/plain/", "b"));
    CPPUNIT_ASSERT(channel.Read().mComplete);
    CPPUNIT_ASSERT_EQUAL(
      std::string("1"),
      cluster.Gateway().Metric("quetzal_connections_cut_total"));
  }

  // Guards against connections that are turned away without a trace.
  void ConnectionsTurnedAwayAreCounted()
  {
    GatewayTestCluster::Options options;
    options.mSettings.mMaxConnections = 80;
    GatewayTestCluster cluster(options);
    std::vector<std::unique_ptr<CallerChannel>> channels;
    while (cluster.Gateway().Metric("quetzal_connections_turned_away_total") ==
             "0" &&
           channels.size() < 200) {
      channels.push_back(std::make_unique<CallerChannel>(cluster.Gateway()));
    }
    CPPUNIT_ASSERT(channels.size() > 20);
    CPPUNIT_ASSERT(channels.size() < 80);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerConnectionTests);
