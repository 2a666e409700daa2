#include "observe/QueueAppender.h"

#include "observe/Log.h"

#include <atomic>
#include <cerrno>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <unistd.h>

namespace quetzalquay {

namespace {

// Bytes that may wait to be written.
constexpr std::size_t kMaxQueueBytes = 256U << 10U;

// Pause between two writes, so that lines go out together.
constexpr auto kWritePause = std::chrono::milliseconds(200);

std::atomic<std::uint64_t> sDropped{ 0 };

void
WriteAll(const std::string& aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto n = ::write(STDOUT_FILENO, aText.data() + at, aText.size() - at);
    if (n > 0) {
      at += static_cast<std::size_t>(n);
    } else if (errno != EINTR) {
      // There is nobody to tell that the log itself cannot be written.
      return;
    }
  }
}

} // namespace

QueueAppender::QueueAppender()
  : mThread([this] { Run(); })
{
}

QueueAppender::~QueueAppender()
{
  destructorImpl();
}

void
QueueAppender::close()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClosing = true;
  }
  mWake.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
  closed = true;
}

std::uint64_t
QueueAppender::Dropped()
{
  return sDropped.load(std::memory_order_relaxed);
}

void
QueueAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  std::ostringstream line;
  layout->formatAndAppend(line, aEvent);
  const std::string text = line.str();
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!TakeLine() || mQueue.size() + text.size() > kMaxQueueBytes) {
    sDropped.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const bool wasEmpty = mQueue.empty();
  mQueue += text;
  if (wasEmpty) {
    mWake.notify_one();
  }
}

bool
QueueAppender::TakeLine()
{
  const auto now = std::chrono::steady_clock::now();
  if (now - mSecond >= std::chrono::seconds(1)) {
    mSecond = now;
    mLines = 0;
  }
  return ++mLines <= kMaxLinesPerSecond;
}

void
QueueAppender::Run()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    mWake.wait(lock, [this] { return mClosing || !mQueue.empty(); });
    if (!mClosing) {
      mWake.wait_for(lock, kWritePause, [this] { return mClosing; });
    }
    std::string text;
    text.swap(mQueue);
    const bool closing = mClosing;
    lock.unlock();
    WriteAll(text);
    lock.lock();
    if (closing && mQueue.empty()) {
      return;
    }
  }
}

} // namespace quetzalquay
