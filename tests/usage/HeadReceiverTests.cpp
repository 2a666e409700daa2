#include "wire/HeadReceiver.h"

#include "Crowd.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using std::chrono::milliseconds;

namespace {

const std::string kRequest = "GET / HTTP/1.1\r\n\r\n";
const std::string kRejection = "HTTP/1.1 503 no room\r\n"
                               "Content-Length: 0\r\n\r\n";

constexpr std::size_t kMaxConnections = 4;

// A receiver whose requests are answered by the test.
class ReceiverUnderTest
{
public:
  ReceiverUnderTest()
    : mReceiver(MakeOptions(),
                { [this](const RefPtr<HttpConnection>& aConnection) {
                   mRequests.push_back(aConnection);
                 },
                  [](ConnectionUse, std::size_t) { return kRejection; },
                  [] {} })
  {
    mListener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    ::bind(mListener, any, size);
    ::listen(mListener, 16);
    ::getsockname(mListener, any, &size);
    mPort = ntohs(address.sin_port);
  }
  ~ReceiverUnderTest()
  {
    Stop();
    for (const auto& it : mRequests) {
      mReceiver.Release(it);
    }
    ::close(mListener);
  }

  // Opens a connection on which some requests are sent at once. Returns the
  // caller's socket.
  int Open(int aRequests, bool aIsKnown)
  {
    const int caller = ConnectTo("127.0.0.1", mPort);
    for (int n = 0; n < aRequests; ++n) {
      SendSome(caller, kRequest, milliseconds(1000));
    }
    mReceiver.Add(::accept(mListener, nullptr, nullptr));
    mRequests.back()->mIsKnown = aIsKnown;
    return caller;
  }

  // Sends the response of the first request that has none, and makes its
  // connection wait for the next one.
  void Answer()
  {
    const RefPtr<HttpConnection> connection = mRequests.front();
    mRequests.erase(mRequests.begin());
    connection->mInput.erase(0, kRequest.size());
    mReceiver.Return(connection);
  }

  void Stop() { mReceiver.BeginStop(); }

  std::vector<RefPtr<HttpConnection>> mRequests;

private:
  static HeadReceiver::Options MakeOptions()
  {
    HeadReceiver::Options options;
    options.mMaxConnections = kMaxConnections;
    return options;
  }

  int mListener = -1;
  int mPort = 0;
  HeadReceiver mReceiver;
};

} // namespace

class HeadReceiverTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HeadReceiverTests);
  CPPUNIT_TEST(CallersAreServedBesideRequestsSentTogetherWithoutKey);
  CPPUNIT_TEST(CallersAreServedBesideRequestsSentTogetherWithKey);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against connections that are never between requests keeping all
  // others out.
  void CallersAreServedBesideRequestsSentTogetherWithoutKey() { Check(false); }
  void CallersAreServedBesideRequestsSentTogetherWithKey() { Check(true); }

private:
  static void Check(bool aIsKnown)
  {
    ReceiverUnderTest receiver;
    std::vector<int> crowd;
    for (std::size_t n = 0; n < kMaxConnections; ++n) {
      crowd.push_back(receiver.Open(3, aIsKnown));
    }
    std::this_thread::sleep_for(milliseconds(300));
    for (std::size_t n = 0; n < kMaxConnections; ++n) {
      receiver.Answer();
    }
    auto newcomer =
      std::async(std::launch::async, [&] { return receiver.Open(1, false); });
    std::this_thread::sleep_for(milliseconds(100));
    receiver.Answer();
    const bool isAdded =
      newcomer.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    if (!isAdded) {
      receiver.Stop();
    }
    ::close(newcomer.get());
    CPPUNIT_ASSERT(isAdded);
    CPPUNIT_ASSERT_EQUAL(kMaxConnections, receiver.mRequests.size());
    CPPUNIT_ASSERT_EQUAL(503, ReadStatus(crowd[0]));
    for (const int it : crowd) {
      ::close(it);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadReceiverTests);
