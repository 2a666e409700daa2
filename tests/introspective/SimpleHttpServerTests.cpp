#include "GatewayProcess.h"
#include "http/AsyncHttpClient.h"
#include "http/SimpleHttpServer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace quetzalquay;
using std::chrono::milliseconds;

class SimpleHttpServerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SimpleHttpServerTests);
  CPPUNIT_TEST(LargeBodiesAreNotReceived);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against connections for readiness and metrics, where no request has
  // a body, that hold large ones.
  void LargeBodiesAreNotReceived()
  {
    CPPUNIT_ASSERT(IsAnswered(0));
    CPPUNIT_ASSERT(!IsAnswered(100000));
  }

private:
  static bool IsAnswered(std::size_t aBodyBytes)
  {
    EventLoop loop;
    const Endpoint address(boost::asio::ip::address_v4::loopback(),
                           static_cast<unsigned short>(FindFreePort()));
    SimpleHttpServer server(loop, [](const HttpHead&, const std::string&) {
      return SimpleHttpReply{};
    });
    CPPUNIT_ASSERT(!server.Open(address));
    ReplyBuffers buffers(1U << 20U);
    AsyncHttpClient client(loop, address, buffers, ReplyKind::HostCheck);
    bool isAnswered = false;
    client.Call(
      "GET / HTTP/1.1\r\nHost: host\r\nContent-Length: " +
        std::to_string(aBodyBytes) + "\r\n\r\n" + std::string(aBodyBytes, 'x'),
      EventLoop::Now() + milliseconds(5000),
      [&](const std::optional<HttpReply>& aReply, const std::string&) {
        isAnswered = aReply.has_value();
        loop.Stop();
      });
    loop.Run();
    return isAnswered;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SimpleHttpServerTests);
