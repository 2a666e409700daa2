#include "http/Socket.h"

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

// A listening socket on a loopback address, whose only peer is a Socket.
class Peer
{
public:
  Peer()
    : mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::listen(mListener, 1);
    socklen_t size = sizeof at;
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&at), &size);
    mEndpoint =
      Endpoint(boost::asio::ip::address_v4::loopback(), ntohs(at.sin_port));
  }
  ~Peer()
  {
    End(false);
    ::close(mListener);
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  const Endpoint& Address() const { return mEndpoint; }

  void Accept() { mSocket = ::accept(mListener, nullptr, nullptr); }

  void Send(const std::string& aBytes) const
  {
    CPPUNIT_ASSERT_EQUAL(
      static_cast<ssize_t>(aBytes.size()),
      ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL));
  }

  // Reads until the connection ends. Returns the bytes, and whether the end was
  // an orderly one.
  std::pair<std::size_t, bool> ReadToEnd() const
  {
    std::array<char, 65536> buf{};
    std::size_t bytes = 0;
    ssize_t n = 0;
    while ((n = ::recv(mSocket, buf.data(), buf.size(), 0)) > 0) {
      bytes += static_cast<std::size_t>(n);
    }
    return { bytes, n == 0 };
  }

  // Closes the connection, or resets it.
  void End(bool aReset)
  {
    if (mSocket < 0) {
      return;
    }
    if (aReset) {
      const linger now{ 1, 0 };
      ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(mSocket);
    mSocket = -1;
  }

private:
  int mListener;
  int mSocket = -1;
  Endpoint mEndpoint;
};

// Records what a Socket reports. Runs a function once it is connected.
class Recorder : public SocketHandler
{
public:
  Recorder(EventLoop& aLoop, std::function<void()> aOnConnected)
    : mLoop(aLoop)
    , mOnConnected(std::move(aOnConnected))
  {
  }

  void OnConnected() override { mOnConnected(); }
  void OnData(std::string_view aData) override { mData += aData; }
  void OnEnd(SocketEnd aEnd) override
  {
    mEnd = aEnd;
    mLoop.Stop();
  }

  std::string mData;
  std::optional<SocketEnd> mEnd;

private:
  EventLoop& mLoop;
  std::function<void()> mOnConnected;
};

// How a connection ends at a Socket whose peer sends an answer, ends the
// connection and is then written to.
SocketEnd
EndOfWrittenSocket(bool aReset)
{
  EventLoop loop;
  Peer peer;
  const auto socket = MakeRef<Socket>(loop);
  Recorder recorder(loop, [&] {
    peer.Accept();
    peer.Send("answer");
    peer.End(aReset);
    // The first write to a connection that its peer has closed is still
    // accepted, and answered by a reset.
    socket->Write("a");
    socket->Write("b");
    socket->Write("c");
  });
  socket->Connect(
    peer.Address(), EventLoop::Now() + milliseconds(5000), recorder);
  Timer limit(loop, [&] { loop.Stop(); });
  limit.ScheduleAt(EventLoop::Now() + milliseconds(5000));
  loop.Run();
  CPPUNIT_ASSERT(recorder.mEnd.has_value());
  return *recorder.mEnd;
}

// What a peer reads of a connection on which aBytes are written, and which is
// cancelled then, with input that nobody has read.
std::pair<std::size_t, bool>
ReadOfCancelledSocket(std::size_t aBytes, bool aAnswered)
{
  EventLoop loop;
  Peer peer;
  const auto socket = MakeRef<Socket>(loop);
  Recorder recorder(loop, [&] {
    peer.Accept();
    socket->SetReading(false);
    peer.Send("unread");
    socket->Write(std::string(aBytes, 'x'));
    loop.Stop();
  });
  socket->Connect(
    peer.Address(), EventLoop::Now() + milliseconds(5000), recorder);
  loop.Run();
  socket->Cancel(aAnswered);
  return peer.ReadToEnd();
}

} // namespace

class SocketTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SocketTests);
  CPPUNIT_TEST(AResetThatAWriteMetIsNoOrderlyEnd);
  CPPUNIT_TEST(AnOrderlyEndStaysOneWhenAWriteFailsAfterIt);
  CPPUNIT_TEST(AnAbandonedRequestThatHasArrivedEndsInOrder);
  CPPUNIT_TEST(AnAbandonedRequestThatHasNotArrivedIsReset);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against work that goes on for callers that have left, because the
  // only packet that says so was lost.
  void AnAbandonedRequestThatHasArrivedEndsInOrder()
  {
    const std::pair<std::size_t, bool> whole(1000, true);
    CPPUNIT_ASSERT(ReadOfCancelledSocket(1000, true) == whole);
    CPPUNIT_ASSERT(ReadOfCancelledSocket(1000, false) == whole);
  }

  // Guards against requests that reach a target after they were abandoned.
  void AnAbandonedRequestThatHasNotArrivedIsReset()
  {
    constexpr std::size_t kMoreThanBuffersHold = 64U << 20U;
    for (const bool answered : { false, true }) {
      const auto read = ReadOfCancelledSocket(kMoreThanBuffersHold, answered);
      CPPUNIT_ASSERT(read.first < kMoreThanBuffersHold);
      CPPUNIT_ASSERT(!read.second);
    }
  }

  // Guards against an answer without a length that is cut off by a reset being
  // taken for a whole one, because a write met the reset before the reader did.
  void AResetThatAWriteMetIsNoOrderlyEnd()
  {
    CPPUNIT_ASSERT(EndOfWrittenSocket(true) == SocketEnd::Failed);
  }

  // Guards against a whole answer being taken for one that was cut off, because
  // its peer closed the connection before it had read the whole request.
  void AnOrderlyEndStaysOneWhenAWriteFailsAfterIt()
  {
    CPPUNIT_ASSERT(EndOfWrittenSocket(false) == SocketEnd::Closed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketTests);
