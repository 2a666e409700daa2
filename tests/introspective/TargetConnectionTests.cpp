#include "gateway/GatewayMetrics.h"
#include "gateway/ServerDirectory.h"
#include "gateway/TargetConnection.h"
#include "http/AnswerBuffers.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// A target whose kernel accepts connections while its process stands still,
// until a request has been sent. Records what the pool learns of it.
class StandingTarget : public ServerDirectory
{
public:
  explicit StandingTarget(EventLoop& aLoop)
    : mLoop(aLoop)
    , mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::listen(mListener, 1);
    socklen_t size = sizeof at;
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&at), &size);
    mLocation.mEndpoint =
      Endpoint(boost::asio::ip::address_v4::loopback(), ntohs(at.sin_port));
  }
  ~StandingTarget() override
  {
    ::close(mSocket);
    ::close(mListener);
  }
  StandingTarget(const StandingTarget&) = delete;
  StandingTarget& operator=(const StandingTarget&) = delete;

  const TargetLocation* Locate(const std::string&) override
  {
    return &mLocation;
  }
  Duration IdleTimeout() const override { return milliseconds(1000); }
  void OnAlive(const std::string&, Time) override { ++mAliveCount; }
  void OnConnected(const std::string&, Time) override { ++mConnectedCount; }
  void OnSent(const std::string&, Time) override
  {
    mAliveBeforeAnswer = mAliveCount;
    mLoop.Defer([this] { Answer(); });
  }

  int mAliveCount = 0;
  int mAliveBeforeAnswer = 0;
  int mConnectedCount = 0;

private:
  void Answer()
  {
    mSocket = ::accept(mListener, nullptr, nullptr);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    CPPUNIT_ASSERT_EQUAL(
      static_cast<ssize_t>(answer.size()),
      ::send(mSocket, answer.data(), answer.size(), MSG_NOSIGNAL));
  }

  EventLoop& mLoop;
  int mListener;
  int mSocket = -1;
  TargetLocation mLocation;
};

// Ends the loop with the attempt.
class LoopEnd : public AttemptSink
{
public:
  explicit LoopEnd(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnResponseHead(const HttpHead&, const platform::TargetResponse&) override
  {
  }
  void OnResponseBody(std::string) override {}
  void OnResponseComplete() override { mLoop.Stop(); }
  void OnAttemptFailed(AttemptFailure) override { mLoop.Stop(); }

private:
  EventLoop& mLoop;
};

} // namespace

class TargetConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetConnectionTests);
  CPPUNIT_TEST(AnEstablishedConnectionIsNoSignOfLife);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request that takes its target into the dark never being
  // suspected, because the target's kernel goes on accepting connections.
  void AnEstablishedConnectionIsNoSignOfLife()
  {
    EventLoop loop;
    StandingTarget target(loop);
    AnswerBuffers buffers(1 << 20);
    GatewayMetrics metrics("h");
    TargetConnectionPool pool(loop, target, buffers, metrics);
    LoopEnd sink(loop);
    Timer limit(loop, [&] { loop.Stop(); });
    limit.ScheduleAt(EventLoop::Now() + milliseconds(5000));
    const auto connection = pool.Connect("t");
    connection->Send("GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                     "",
                     "r",
                     EventLoop::Now() + milliseconds(5000),
                     sink);
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(1, target.mConnectedCount);
    CPPUNIT_ASSERT_EQUAL(0, target.mAliveBeforeAnswer);
    CPPUNIT_ASSERT(target.mAliveCount > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionTests);
