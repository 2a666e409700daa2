#include "gateway/GatewayMetrics.h"
#include "gateway/ServerDirectory.h"
#include "gateway/TargetConnection.h"
#include "http/AnswerBuffers.h"

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

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

// How a target ends a connection after it has sent its response.
enum class TargetEnd
{
  // It resets the connection.
  Reset,
  // It closes the connection, of whose input bytes may be unread.
  Close,
  // It ends its output, then resets the connection.
  HalfCloseThenReset,
};

// How much of a request a target reads before it sends its response.
enum class RequestRead
{
  Nothing,
  // All that arrives while the sender's event loop stands still.
  WhatArrives,
};

struct TargetScript
{
  std::string mResponse;
  TargetEnd mEnd = TargetEnd::Close;
  RequestRead mRead = RequestRead::Nothing;
};

// More than the system buffers for one connection, so that part of such an
// upload is still to be written when the target responds.
constexpr std::size_t kLongUploadBytes = 64U << 20U;

// A target reads until nothing arrives for this long.
constexpr int kReadQuietMs = 100;

const std::string kPartOfResponse =
  "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\npart";

// A target that responds and ends the connection as soon as it has been sent a
// request, before its sender's event loop runs again.
class ScriptedTarget : public ServerDirectory
{
public:
  ScriptedTarget(EventLoop& aLoop, TargetScript aScript)
    : mLoop(aLoop)
    , mScript(std::move(aScript))
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
  ~ScriptedTarget() override { ::close(mListener); }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  const TargetLocation* Locate(const std::string&) override
  {
    return &mLocation;
  }
  Duration IdleTimeout() const override { return milliseconds(1000); }
  void OnAlive(const std::string&, Time) override {}
  void OnSent(const std::string&, Time) override
  {
    mLoop.Defer([this] { Play(); });
  }

private:
  void Play()
  {
    const int socket = ::accept(mListener, nullptr, nullptr);
    if (mScript.mRead == RequestRead::WhatArrives) {
      ReadWhatArrives(socket);
    }
    const std::string& response = mScript.mResponse;
    CPPUNIT_ASSERT_EQUAL(
      static_cast<ssize_t>(response.size()),
      ::send(socket, response.data(), response.size(), MSG_NOSIGNAL));
    if (mScript.mEnd == TargetEnd::HalfCloseThenReset) {
      ::shutdown(socket, SHUT_WR);
    }
    if (mScript.mEnd != TargetEnd::Close) {
      const linger now{ 1, 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(socket);
  }

  static void ReadWhatArrives(int aSocket)
  {
    std::array<char, 65536> bytes{};
    pollfd input{ aSocket, POLLIN, 0 };
    while (::poll(&input, 1, kReadQuietMs) > 0 &&
           ::recv(aSocket, bytes.data(), bytes.size(), 0) > 0) {
    }
  }

  EventLoop& mLoop;
  TargetScript mScript;
  int mListener;
  TargetLocation mLocation;
};

// Records how an attempt ends, and ends the loop with it.
class AttemptRecorder : public AttemptSink
{
public:
  explicit AttemptRecorder(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  void OnInterimResponse(const HttpHead&) override { ++mInterimCount; }
  void OnResponseHead(const HttpHead& aHead,
                      const platform::TargetResponse&) override
  {
    mStatus = aHead.mStatus;
  }
  void OnResponseBody(std::string aBody) override { mBody += aBody; }
  void OnResponseComplete() override
  {
    mComplete = true;
    mLoop.Stop();
  }
  void OnAttemptFailed(AttemptFailure aFailure) override
  {
    mFailure = aFailure;
    mLoop.Stop();
  }

  int mInterimCount = 0;
  int mStatus = -1;
  std::string mBody;
  bool mComplete = false;
  std::optional<AttemptFailure> mFailure;

private:
  EventLoop& mLoop;
};

// Sends a request with a body of aUploadBytes to a target that follows a
// script. Returns what the attempt's sink was told.
AttemptRecorder
PlayAttempt(EventLoop& aLoop, TargetScript aScript, std::size_t aUploadBytes)
{
  ScriptedTarget target(aLoop, std::move(aScript));
  AnswerBuffers buffers(1 << 20);
  GatewayMetrics metrics("h");
  TargetConnectionPool pool(aLoop, target, buffers, metrics);
  AttemptRecorder sink(aLoop);
  Timer limit(aLoop, [&] { aLoop.Stop(); });
  limit.ScheduleAt(EventLoop::Now() + milliseconds(5000));
  const auto connection = pool.Connect("t");
  connection->Send("POST / HTTP/1.1\r\nContent-Length: " +
                     std::to_string(aUploadBytes) + "\r\n\r\n",
                   std::string(aUploadBytes, 'x'),
                   "r",
                   EventLoop::Now() + milliseconds(5000),
                   sink);
  aLoop.Run();
  return sink;
}

void
ExpectBroken(const std::string& aWhat,
             const TargetScript& aScript,
             std::size_t aUploadBytes)
{
  EventLoop loop;
  const AttemptRecorder sink = PlayAttempt(loop, aScript, aUploadBytes);
  CPPUNIT_ASSERT_MESSAGE(aWhat + ": taken for complete", !sink.mComplete);
  CPPUNIT_ASSERT_MESSAGE(aWhat + ": not ended",
                         sink.mFailure == AttemptFailure::Broken);
}

void
ExpectComplete(const std::string& aWhat,
               const TargetScript& aScript,
               std::size_t aUploadBytes,
               int aStatus)
{
  EventLoop loop;
  const AttemptRecorder sink = PlayAttempt(loop, aScript, aUploadBytes);
  CPPUNIT_ASSERT_MESSAGE(aWhat, sink.mComplete);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aWhat, aStatus, sink.mStatus);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aWhat, std::string("part"), sink.mBody);
}

} // namespace

class TargetConnectionTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetConnectionTests);
  CPPUNIT_TEST(AnEstablishedConnectionIsNoSignOfLife);
  CPPUNIT_TEST(AResponseCutOffByAResetIsIncomplete);
  CPPUNIT_TEST(ASuccessIsIncompleteIfItsTargetClosedDuringTheUpload);
  CPPUNIT_TEST(ASuccessIsIncompleteIfItsTargetHalfClosedDuringTheUpload);
  CPPUNIT_TEST(AResponseThatEndsWithTheConnectionIsComplete);
  CPPUNIT_TEST(AnEarlyErrorThatEndsWithTheConnectionIsComplete);
  CPPUNIT_TEST(InvalidStatusCodesFailTheAttempt);
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

  // Guards against part of a response without a length being passed on as a
  // complete one after a reset, whichever of reading and writing meets it.
  void AResponseCutOffByAResetIsIncomplete()
  {
    for (const auto read : { RequestRead::Nothing, RequestRead::WhatArrives }) {
      ExpectBroken("reset during the upload",
                   { kPartOfResponse, TargetEnd::Reset, read },
                   kLongUploadBytes);
      ExpectBroken("reset after the upload",
                   { kPartOfResponse, TargetEnd::Reset, read },
                   1000);
    }
    // The system sends a reset where input was not read.
    ExpectBroken("close with unread input during the upload",
                 { kPartOfResponse, TargetEnd::Close, RequestRead::Nothing },
                 kLongUploadBytes);
    ExpectBroken("close with unread input after the upload",
                 { kPartOfResponse, TargetEnd::Close, RequestRead::Nothing },
                 1000);
  }

  // Guards against part of a response being passed on as a complete one where
  // the target's process ended during the upload. If it had read all input, the
  // system first sends an orderly end, and a reset only for what follows.
  void ASuccessIsIncompleteIfItsTargetClosedDuringTheUpload()
  {
    ExpectBroken(
      "close during the upload",
      { kPartOfResponse, TargetEnd::Close, RequestRead::WhatArrives },
      kLongUploadBytes);
  }

  // The same where the target ends its output and then resets the connection.
  void ASuccessIsIncompleteIfItsTargetHalfClosedDuringTheUpload()
  {
    for (const auto read : { RequestRead::Nothing, RequestRead::WhatArrives }) {
      ExpectBroken("half-close and reset during the upload",
                   { kPartOfResponse, TargetEnd::HalfCloseThenReset, read },
                   kLongUploadBytes);
    }
  }

  // Guards against complete responses being rejected because they have no
  // length. A reset after the target's end of its output takes nothing away.
  void AResponseThatEndsWithTheConnectionIsComplete()
  {
    for (const auto end : { TargetEnd::Close, TargetEnd::HalfCloseThenReset }) {
      ExpectComplete("end after the upload",
                     { kPartOfResponse, end, RequestRead::WhatArrives },
                     1000,
                     200);
    }
  }

  // Guards against errors being rejected that a target sends instead of reading
  // a long upload to its end.
  void AnEarlyErrorThatEndsWithTheConnectionIsComplete()
  {
    ExpectComplete("early error",
                   { "HTTP/1.1 413 Too Large\r\n\r\npart",
                     TargetEnd::Close,
                     RequestRead::WhatArrives },
                   kLongUploadBytes,
                   413);
  }

  // Guards against responses being passed on whose status no caller can
  // interpret.
  void InvalidStatusCodesFailTheAttempt()
  {
    for (const std::string status : { "000",
                                      "001",
                                      "099",
                                      "",
                                      "2",
                                      "20",
                                      "2000",
                                      "00200",
                                      "-20",
                                      "+20",
                                      "2O0",
                                      "0x2",
                                      " 200",
                                      "2 00" }) {
      for (const std::string framing : { "Content-Length: 4\r\n", "" }) {
        ExpectBroken("status '" + status + "'",
                     { "HTTP/1.1 " + status + " OK\r\n" + framing + "\r\npart",
                       TargetEnd::Close,
                       RequestRead::WhatArrives },
                     0);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionTests);
