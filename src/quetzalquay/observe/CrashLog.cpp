#include "observe/CrashLog.h"

#include "observe/Log.h"
#include "observe/QueueAppender.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <string_view>
#include <unistd.h>

namespace quetzalquay {

namespace {

struct SignalName
{
  int mSignal;
  const char* mName;
};

constexpr std::array<SignalName, 5> kSignals = { {
  { SIGSEGV, "SIGSEGV" },
  { SIGBUS, "SIGBUS" },
  { SIGFPE, "SIGFPE" },
  { SIGILL, "SIGILL" },
  { SIGABRT, "SIGABRT" },
} };

constexpr std::size_t kStackBytes = 65536;
constexpr std::size_t kMaxLineBytes = 512;

// A line that is built without allocating memory, as a signal handler must. A
// text that does not fit is cut off.
class CrashLine
{
public:
  explicit CrashLine(std::string_view aMessage)
  {
    constexpr std::uint64_t kMsPerSecond = 1000;
    constexpr std::uint64_t kNsPerMs = 1000000;
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    Append("unix_ms=");
    Append(static_cast<std::uint64_t>(now.tv_sec) * kMsPerSecond +
             static_cast<std::uint64_t>(now.tv_nsec) / kNsPerMs,
           10);
    Append(" level=ERROR component=process message=\"");
    Append(aMessage);
    Append("\"");
  }

  void Append(std::string_view aText)
  {
    const std::size_t n = std::min(aText.size(), mBuf.size() - 1 - mSize);
    std::copy_n(aText.begin(), n, mBuf.begin() + mSize);
    mSize += n;
  }

  void Append(std::uint64_t aNumber, unsigned aBase)
  {
    std::array<char, 20> digits{};
    std::size_t n = digits.size();
    do {
      digits[--n] = "0123456789abcdef"[aNumber % aBase];
      aNumber /= aBase;
    } while (aNumber != 0);
    Append(std::string_view(&digits[n], digits.size() - n));
  }

  void Write()
  {
    mBuf[mSize++] = '\n';
    // A failure to write the log cannot be reported anywhere.
    [[maybe_unused]] const auto n = ::write(STDOUT_FILENO, mBuf.data(), mSize);
  }

private:
  std::array<char, kMaxLineBytes> mBuf{};
  std::size_t mSize = 0;
};

void
OnSignal(int aSignal, siginfo_t* aInfo, void*)
{
  QueueAppender::WriteQueuedAtCrash();
  CrashLine line("ended by a signal");
  line.Append(" signal=");
  for (const SignalName& it : kSignals) {
    if (it.mSignal == aSignal) {
      line.Append(it.mName);
    }
  }
  line.Append(" address=0x");
  line.Append(reinterpret_cast<std::uintptr_t>(aInfo->si_addr), 16);
  line.Write();
  // The handler was removed when it was called, so this ends the process.
  ::raise(aSignal);
}

[[noreturn]] void
OnTerminate()
{
  CrashLine line("ended by an uncaught exception");
  line.Append(" reason=\"");
  if (const std::exception_ptr current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& exception) {
      line.Append(exception.what());
    } catch (...) {
      line.Append("not a std::exception");
    }
  } else {
    line.Append("none");
  }
  line.Append("\"");
  line.Write();
  std::abort();
}

// Gives the signal handlers of this thread a stack of their own, as a fault may
// be an overflow of the usual one.
void
SetSignalStack()
{
  static std::array<char, kStackBytes> sStack;
  stack_t stack{};
  stack.ss_sp = sStack.data();
  stack.ss_size = sStack.size();
  if (::sigaltstack(&stack, nullptr) != 0) {
    Log(LogLevel::Warn,
        "process",
        "no stack for signal handlers",
        { { "reason", std::strerror(errno) } });
  }
}

} // namespace

void
LogCrashes()
{
  std::set_terminate(OnTerminate);
  SetSignalStack();
  for (const SignalName& it : kSignals) {
    struct sigaction before = {};
    struct sigaction action = {};
    action.sa_sigaction = OnSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER;
    const bool isFree = ::sigaction(it.mSignal, nullptr, &before) == 0 &&
                        before.sa_handler == SIG_DFL;
    if (!isFree || ::sigaction(it.mSignal, &action, nullptr) != 0) {
      Log(LogLevel::Warn,
          "process",
          "the end by a signal will not be logged",
          { { "signal", it.mName } });
    }
  }
}

} // namespace quetzalquay
