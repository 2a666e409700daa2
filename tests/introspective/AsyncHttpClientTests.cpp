#include "GatewayProcess.h"
#include "http/AsyncHttpClient.h"
#include "http/ReplyBuffers.h"
#include "http/SimpleHttpServer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

constexpr int kCalls = 5;
constexpr char kRequest[] = "GET /rows HTTP/1.1\r\nHost: store\r\n\r\n";
constexpr char kBody[] = "{\"Rows\":[]}";

const std::string kFramed =
  "HTTP/1.1 200 x\r\ncontent-length: 11\r\n\r\n" + std::string(kBody);

// A server that answers each request with the same bytes.
class RawServer
{
public:
  RawServer(EventLoop& aLoop, std::string aReply, bool aCloses)
    : mReply(std::move(aReply))
    , mCloses(aCloses)
    , mAddress(boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(FindFreePort()))
    , mListener(aLoop, [this, &aLoop](boost::asio::ip::tcp::socket aSocket) {
      ++mConnectionCount;
      const auto connection = MakeRef<Connection>(*this, aLoop);
      mConnections.insert(connection);
      connection->mSocket->Adopt(std::move(aSocket), *connection);
    })
  {
    CPPUNIT_ASSERT(!mListener.Open(mAddress));
  }

  const Endpoint& Address() const { return mAddress; }
  int ConnectionCount() const { return mConnectionCount; }

  // Closes the connections that wait for another request.
  void CloseIdle()
  {
    for (const auto& it : mConnections) {
      it->mSocket->Close();
    }
  }

private:
  struct Connection
    : public RefCounted<Connection>
    , public SocketHandler
  {
    Connection(RawServer& aServer, EventLoop& aLoop)
      : mServer(aServer)
      , mSocket(MakeRef<Socket>(aLoop))
    {
    }

    void OnData(std::string_view aData) override
    {
      mInput.append(aData);
      if (mInput == kRequest) {
        mInput.clear();
        mSocket->Write(mServer.mReply);
        if (mServer.mCloses) {
          mSocket->CloseAfterWrites();
        }
      }
    }

    void OnEnd(SocketEnd) override {}

    RawServer& mServer;
    RefPtr<Socket> mSocket;
    std::string mInput;
  };

  std::string mReply;
  bool mCloses;
  Endpoint mAddress;
  int mConnectionCount = 0;
  std::set<RefPtr<Connection>> mConnections;
  Listener mListener;
};

} // namespace

// Questions to servers that treat their connections otherwise than the bench's
// store does.
class AsyncHttpClientTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AsyncHttpClientTests);
  CPPUNIT_TEST(ConnectionsAreUsedAgain);
  CPPUNIT_TEST(ServersMayCloseAfterEachReply);
  CPPUNIT_TEST(ServersMayCloseIdleConnections);
  CPPUNIT_TEST(RepliesMayComeInChunks);
  CPPUNIT_TEST(RepliesMayFollowInterimOnes);
  CPPUNIT_TEST(TornRepliesAreNoReplies);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConnectionsAreUsedAgain()
  {
    EventLoop loop;
    RawServer server(loop, kFramed, false);
    CPPUNIT_ASSERT_EQUAL(kCalls, CountReplies(loop, server, false));
    CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
  }

  // Guards against a store that looks unreachable because it closes each
  // connection, with notice, without, or as the end of a reply.
  void ServersMayCloseAfterEachReply()
  {
    for (const std::string& it :
         { std::string(kFramed),
           "HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 11\r\n\r\n" +
             std::string(kBody),
           "HTTP/1.0 200 x\r\n\r\n" + std::string(kBody) }) {
      EventLoop loop;
      RawServer server(loop, it, true);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        it, kCalls, CountReplies(loop, server, false));
    }
  }

  void ServersMayCloseIdleConnections()
  {
    EventLoop loop;
    RawServer server(loop, kFramed, false);
    CPPUNIT_ASSERT_EQUAL(kCalls, CountReplies(loop, server, true));
    CPPUNIT_ASSERT_EQUAL(kCalls, server.ConnectionCount());
  }

  void RepliesMayComeInChunks()
  {
    EventLoop loop;
    RawServer server(loop,
                     "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n"
                     "4;a=b\r\n{\"Ro\r\n7\r\nws\":[]}\r\n0\r\n\r\n",
                     false);
    CPPUNIT_ASSERT_EQUAL(kCalls, CountReplies(loop, server, false));
  }

  // Guards against a host that never gets ready because the store, or what is
  // between them, sends interim answers before the final one.
  void RepliesMayFollowInterimOnes()
  {
    for (const std::string& it :
         { std::string("HTTP/1.1 100 Continue\r\n\r\n"),
           std::string("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                       "HTTP/1.1 102 Processing\r\n\r\n") }) {
      EventLoop loop;
      RawServer server(loop, it + kFramed, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        it, kCalls, CountReplies(loop, server, false));
      CPPUNIT_ASSERT_EQUAL(1, server.ConnectionCount());
    }
  }

  void TornRepliesAreNoReplies()
  {
    EventLoop loop;
    RawServer server(loop, kFramed.substr(0, kFramed.size() - 1), true);
    CPPUNIT_ASSERT_EQUAL(0, CountReplies(loop, server, false));
  }

private:
  // Asks a server one question after the other, and counts the whole replies.
  static int CountReplies(EventLoop& aLoop,
                          RawServer& aServer,
                          bool aClosesIdle)
  {
    ReplyBuffers buffers(1U << 20U);
    AsyncHttpClient client(aLoop, aServer.Address(), buffers, ReplyKind::Rows);
    int replies = 0;
    int calls = 0;
    Timer next(aLoop, [&] {
      if (calls == kCalls) {
        aLoop.Stop();
        return;
      }
      ++calls;
      client.Call(
        kRequest,
        EventLoop::Now() + milliseconds(2000),
        [&](const std::optional<HttpReply>& aReply, const std::string&) {
          replies += aReply && aReply->mBody == kBody ? 1 : 0;
          if (aClosesIdle) {
            aServer.CloseIdle();
          }
          next.ScheduleAt(EventLoop::Now() + milliseconds(5));
        });
    });
    next.ScheduleAt(EventLoop::Now());
    aLoop.Run();
    return replies;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncHttpClientTests);
