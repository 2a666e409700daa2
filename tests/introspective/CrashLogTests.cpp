#include "observe/CrashLog.h"
#include "observe/Log.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace quetzalquay;

namespace {

struct EndedProcess
{
  std::string mOutput;
  // Signal that ended the process, 0 if none did.
  int mSignal = 0;
};

// Ends a process with a queued log, right after it has logged a line. Reads its
// log when aBeforeReading has returned.
EndedProcess
EndBy(const std::function<void()>& aEnd,
      const std::function<void()>& aBeforeReading = {})
{
  std::array<int, 2> pipe{};
  CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe.data()));
  const pid_t process = ::fork();
  if (process == 0) {
    const rlimit noCore{ 0, 0 };
    ::setrlimit(RLIMIT_CORE, &noCore);
    ::dup2(pipe[1], STDOUT_FILENO);
    ::close(pipe[0]);
    ::close(pipe[1]);
    StartQueuedLog("info");
    LogCrashes();
    Log(LogLevel::Info, "test", "last words");
    aEnd();
    std::_Exit(0);
  }
  ::close(pipe[1]);
  if (aBeforeReading) {
    aBeforeReading();
  }
  EndedProcess ended;
  std::array<char, 4096> buf{};
  for (ssize_t n = 0; (n = ::read(pipe[0], buf.data(), buf.size())) > 0;) {
    ended.mOutput.append(buf.data(), static_cast<std::size_t>(n));
  }
  ::close(pipe[0]);
  int status = 0;
  ::waitpid(process, &status, 0);
  ended.mSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return ended;
}

int
Recurse(volatile int aDepth)
{
  std::array<volatile char, 4096> buf{};
  buf[0] = static_cast<char>(aDepth);
  return aDepth < 0 ? 0 : Recurse(aDepth + 1) + buf[0];
}

void
ExpectLine(const EndedProcess& aEnded, const std::string& aText)
{
  CPPUNIT_ASSERT_MESSAGE(aEnded.mOutput,
                         aEnded.mOutput.find(aText) != std::string::npos);
}

} // namespace

// The end of a process left no line, so that a crash could not be told from a
// machine that lost power.
class CrashLogTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashLogTests);
  CPPUNIT_TEST(AFaultIsLoggedAfterTheQueuedLines);
  CPPUNIT_TEST(AFaultBesideTheWriterLosesNoLine);
  CPPUNIT_TEST(AnOverflowOfTheStackIsLogged);
  CPPUNIT_TEST(AnUncaughtExceptionIsLoggedWithItsReason);
  CPPUNIT_TEST_SUITE_END();

public:
  void AFaultIsLoggedAfterTheQueuedLines()
  {
    const EndedProcess ended = EndBy([] { ::raise(SIGBUS); });
    CPPUNIT_ASSERT_EQUAL(SIGBUS, ended.mSignal);
    ExpectLine(ended, "message=\"last words\"\nunix_ms=");
    ExpectLine(ended, "message=\"ended by a signal\" signal=SIGBUS");
  }

  // Lines that the writer had taken from the queue, but not written yet, were
  // lost or came after the last one.
  void AFaultBesideTheWriterLosesNoLine()
  {
    std::array<int, 2> blocked{};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(blocked.data()));
    const EndedProcess ended = EndBy(
      [&blocked] {
        for (int n = 0; n < 40; ++n) {
          Log(LogLevel::Info, "test", std::string(4096, 'x'));
        }
        Log(LogLevel::Info, "test", "last line");
        pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
        while (::poll(&output, 1, 0) != 0) {
          ::usleep(1000);
        }
        [[maybe_unused]] const auto n = ::write(blocked[1], "b", 1);
        ::raise(SIGBUS);
      },
      [&blocked] {
        char buf = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::read(blocked[0], &buf, 1));
      });
    ::close(blocked[0]);
    ::close(blocked[1]);
    CPPUNIT_ASSERT_EQUAL(SIGBUS, ended.mSignal);
    ExpectLine(ended, "message=\"last line\"\nunix_ms=");
    ExpectLine(ended, "message=\"ended by a signal\" signal=SIGBUS");
  }

  void AnOverflowOfTheStackIsLogged()
  {
    const EndedProcess ended = EndBy([] { std::_Exit(Recurse(0)); });
    CPPUNIT_ASSERT_EQUAL(SIGSEGV, ended.mSignal);
    ExpectLine(ended, "message=\"last words\"");
    ExpectLine(ended, "signal=SIGSEGV address=0x");
  }

  void AnUncaughtExceptionIsLoggedWithItsReason()
  {
    const std::function<void()> fails = [] {
      throw std::runtime_error("no memory");
    };
    const EndedProcess ended = EndBy([&fails]() noexcept { fails(); });
    CPPUNIT_ASSERT_EQUAL(SIGABRT, ended.mSignal);
    ExpectLine(ended, "message=\"last words\"");
    ExpectLine(ended,
               "message=\"ended by an uncaught exception\" "
               "reason=\"no memory\"");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLogTests);
