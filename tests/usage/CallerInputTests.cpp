#include "CallerChannel.h"
#include "GatewayTestCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using std::chrono::milliseconds;

// Requests that arrive otherwise than whole and one at a time, while the
// configuration changes.
class CallerInputTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerInputTests);
  CPPUNIT_TEST(RequestsSentTogetherAreAllAnswered);
  CPPUNIT_TEST(RequestsSentByteByByteAreAnswered);
  CPPUNIT_TEST(BodiesSentAfterAnInterimResponseAreAnswered);
  CPPUNIT_TEST(HostsAndKeysMayBeWrittenInEachForm);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that wait in the connection behind a running one
  // being forgotten, also when they are more than the gateway reads meanwhile.
  void RequestsSentTogetherAreAllAnswered()
  {
    constexpr int kRequests = 300;
    GatewayTestCluster cluster;
    cluster.SetPace(milliseconds(5), milliseconds(1), milliseconds(2));
    TestConfiguration configuration;
    CallerChannel channel(cluster.Gateway());
    std::string requests;
    for (int n = 0; n < kRequests; ++n) {
      requests += GatewayTestCluster::Request(
        n % 10 == 0 ? "/stream/" : "/plain/",
        "r" + std::to_string(n),
        "X-Fill: " + std::string(1000, 'x') + "\r\n",
        std::to_string(n),
        20000);
    }
    std::thread sender([&] { channel.Send(requests); });
    int served = 0;
    for (int n = 0; n < kRequests; ++n) {
      if (n % 50 == 25) {
        configuration.mLimits.mIdleTimeoutMs = n % 100 == 25 ? 1000 : 15000;
        cluster.Write(configuration);
      }
      const CallerAnswer answer = channel.Read();
      served += answer.mComplete && answer.mHead.mStatus == 200 ? 1 : 0;
    }
    sender.join();
    CPPUNIT_ASSERT_EQUAL(kRequests, served);
  }

  // Guards against a request that is rejected because of where its pieces end.
  // Some callers send an empty line before a request.
  void RequestsSentByteByByteAreAnswered()
  {
    GatewayTestCluster cluster;
    TestConfiguration configuration;
    CallerChannel channel(cluster.Gateway());
    for (int n = 0; n < 4; ++n) {
      const std::string request =
        std::string(n % 2 == 0 ? "" : "\r\n") +
        GatewayTestCluster::Request("/unsafe/", "r" + std::to_string(n));
      for (std::size_t k = 0; k < request.size(); ++k) {
        channel.Send(request.substr(k, 1));
        std::this_thread::sleep_for(milliseconds(1));
        if (k == request.size() / 2) {
          configuration.mWorkspaces.front().mPriority = n;
          cluster.Write(configuration);
        }
      }
      const CallerAnswer answer = channel.Read();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
    }
  }

  // Guards against a request whose caller waits for "100 Continue" being
  // forgotten, and against a change meanwhile.
  void BodiesSentAfterAnInterimResponseAreAnswered()
  {
    GatewayTestCluster cluster;
    TestConfiguration configuration;
    CallerChannel channel(cluster.Gateway());
    for (int n = 0; n < 3; ++n) {
      const std::string request =
        GatewayTestCluster::Request("/unsafe/",
                                    "r" + std::to_string(n),
                                    "Expect: 100-continue\r\n",
                                    std::string(3000, 'b'));
      const std::size_t head = request.find("\r\n\r\n") + 4;
      channel.Send(request.substr(0, head));
      CPPUNIT_ASSERT_EQUAL(100, channel.Read().mHead.mStatus);
      configuration.mLimits.mBodyBytes = n % 2 == 0 ? 2000 : 100000;
      cluster.AwaitConfiguration(cluster.Write(configuration));
      channel.Send(request.substr(head));
      const CallerAnswer answer = channel.Read();
      CPPUNIT_ASSERT(answer.mComplete);
      CPPUNIT_ASSERT_EQUAL(200, answer.mHead.mStatus);
      configuration.mLimits.mBodyBytes = 100000;
      cluster.AwaitConfiguration(cluster.Write(configuration));
    }
  }

  // Guards against proper requests being turned away as wrong, with 404 or 401:
  // libraries of callers add the port to the host, and may send the whole URL.
  void HostsAndKeysMayBeWrittenInEachForm()
  {
    GatewayTestCluster cluster;
    const std::string usual = GatewayTestCluster::Request("/plain/", "a");
    const std::vector<std::pair<std::string, std::string>> forms = {
      { "Host: host", "Host: host:8227" },
      { "Host: host", "Host: HOST" },
      { "Host: host", "host:host:8227" },
      { "POST /plain/", "POST http://host:8227/plain/" },
      { "POST /plain/", "POST HTTPS://Host/plain/" },
      { "Bearer key", "bearer  key" },
    };
    for (const auto& it : forms) {
      std::string request = usual;
      request.replace(request.find(it.first), it.first.size(), it.second);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        it.second, 200, cluster.Call(request).mHead.mStatus);
      CPPUNIT_ASSERT_EQUAL(std::string("/plain/"),
                           cluster.Requests().back().mHead.mTarget);
    }
    std::string other = usual;
    other.replace(other.find("POST /plain/"), 12, "POST http://other/plain/");
    CPPUNIT_ASSERT_EQUAL(404, cluster.Call(other).mHead.mStatus);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerInputTests);
