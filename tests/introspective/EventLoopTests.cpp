#include "http/EventLoop.h"
#include "http/Socket.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace quetzalquay;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// A Socket that is connected to a descriptor of the test. Calls a function when
// bytes arrive.
class Link : public SocketHandler
{
public:
  explicit Link(
    EventLoop& aLoop,
    std::function<void()> aOnData = [] {})
    : mSocket(MakeRef<Socket>(aLoop))
    , mOnData(std::move(aOnData))
  {
    std::array<int, 2> ends{};
    CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()));
    mPeer = ends[1];
    tcp::socket own(aLoop.Context());
    own.assign(tcp::v4(), ends[0]);
    mSocket->Adopt(std::move(own), *this);
  }
  ~Link() override
  {
    mSocket->Close();
    ::close(mPeer);
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Send() const
  {
    CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::send(mPeer, "a", 1, MSG_NOSIGNAL));
  }
  bool HasRead() const { return mHasRead; }

private:
  void OnData(std::string_view) override
  {
    mHasRead = true;
    mOnData();
  }
  void OnEnd(SocketEnd) override {}

  RefPtr<Socket> mSocket;
  std::function<void()> mOnData;
  int mPeer = -1;
  bool mHasRead = false;
};

} // namespace

class EventLoopTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLoopTests);
  CPPUNIT_TEST(EarlyTimersDoNotSpin);
  CPPUNIT_TEST(BytesAreReadBeforeATimerThatALateHandlerDelayed);
  CPPUNIT_TEST(BytesOfManySocketsAreReadBeforeTimersOfALateLoop);
  CPPUNIT_TEST(TimersExpireBesideEndlessInput);
  CPPUNIT_TEST(TimersExpireBesideEndlessSlowHandlers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Timers that expired together with an earlier one, and were set again
  // because it was too early, were called thousands of times until they were
  // due.
  void EarlyTimersDoNotSpin()
  {
    EventLoop loop;
    const Time start = EventLoop::Now();
    const Time due = start + milliseconds(13);
    int calls = 0;
    Timer* again = nullptr;
    Timer earlier(loop, [] {});
    Timer early(loop, [&] {
      ++calls;
      if (EventLoop::Now() < due) {
        again->ScheduleAt(due);
      } else {
        loop.Stop();
      }
    });
    again = &early;
    earlier.ScheduleAt(start + milliseconds(10));
    early.ScheduleAt(due);
    loop.Run();
    CPPUNIT_ASSERT(EventLoop::Now() >= due);
    CPPUNIT_ASSERT(calls <= 2);
  }

  // Guards against a timer that gives a silent peer up although its bytes came
  // in time, while a handler of the same wake-up took long.
  void BytesAreReadBeforeATimerThatALateHandlerDelayed()
  {
    EventLoop loop;
    const Link answer(loop);
    const Link other(loop, [&] {
      std::this_thread::sleep_for(milliseconds(60));
      answer.Send();
      std::this_thread::sleep_for(milliseconds(60));
    });
    bool read = false;
    Timer wake(loop, [] {});
    Timer silence(loop, [&] {
      read = answer.HasRead();
      loop.Stop();
    });
    const Time start = EventLoop::Now();
    wake.ScheduleAt(start + milliseconds(20));
    silence.ScheduleAt(start + milliseconds(110));
    loop.Defer([&] {
      // The other socket and the first timer are ready in the same wake-up.
      std::this_thread::sleep_for(milliseconds(30));
      other.Send();
    });
    loop.Run();
    CPPUNIT_ASSERT(read);
  }

  // Guards against the same where more sockets are ready than one wake-up of
  // the system reports.
  void BytesOfManySocketsAreReadBeforeTimersOfALateLoop()
  {
    EventLoop loop;
    std::vector<std::unique_ptr<Link>> links;
    for (int n = 0; n < 400; ++n) {
      links.push_back(std::make_unique<Link>(loop));
    }
    std::size_t read = 0;
    Timer silence(loop, [&] {
      read = static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(), [](const auto& aLink) {
          return aLink->HasRead();
        }));
      loop.Stop();
    });
    Timer wake(loop, [] {});
    const Time start = EventLoop::Now();
    wake.ScheduleAt(start + milliseconds(20));
    silence.ScheduleAt(start + milliseconds(110));
    loop.Defer([&] {
      // The system reports the first timer before the sockets.
      std::this_thread::sleep_for(milliseconds(60));
      for (const auto& it : links) {
        it->Send();
      }
      std::this_thread::sleep_for(milliseconds(60));
    });
    loop.Run();
    CPPUNIT_ASSERT_EQUAL(links.size(), read);
  }

  // Guards against timers that never expire while input never ends.
  void TimersExpireBesideEndlessInput()
  {
    EventLoop loop;
    Link* self = nullptr;
    Link endless(loop, [&] { self->Send(); });
    self = &endless;
    Timer limit(loop, [&] { loop.Stop(); });
    const Time start = EventLoop::Now();
    limit.ScheduleAt(start + milliseconds(50));
    endless.Send();
    loop.Run();
    CPPUNIT_ASSERT(EventLoop::Now() - start < milliseconds(1000));
  }

  // Guards against timers that are held up for seconds by handlers that take
  // long, as on a host with a small share of a core.
  void TimersExpireBesideEndlessSlowHandlers()
  {
    EventLoop loop;
    int handlers = 0;
    Link* self = nullptr;
    Link endless(loop, [&] {
      ++handlers;
      std::this_thread::sleep_for(milliseconds(5));
      self->Send();
    });
    self = &endless;
    Timer limit(loop, [&] { loop.Stop(); });
    limit.ScheduleAt(EventLoop::Now() + milliseconds(10));
    endless.Send();
    loop.Run();
    CPPUNIT_ASSERT(handlers <= 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTests);
