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

constexpr std::size_t kMaxQueueBytes = 256U << 10U;

// Delay before queued lines are written, so that one write carries many lines.
constexpr auto kWriteDelay = std::chrono::milliseconds(200);

std::atomic<std::uint64_t> sDroppedLines{ 0 };

std::atomic<QueueAppender*> sAppender{ nullptr };

void
WriteAll(const std::string& aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto n = ::write(STDOUT_FILENO, aText.data() + at, aText.size() - at);
    if (n > 0) {
      at += static_cast<std::size_t>(n);
    } else if (errno != EINTR) {
      // A failure to write the log cannot be reported anywhere.
      return;
    }
  }
}

} // namespace

QueueAppender::QueueAppender()
  : mWriter([this] { RunWriter(); })
{
  sAppender = this;
}

QueueAppender::~QueueAppender()
{
  sAppender = nullptr;
  destructorImpl();
}

void
QueueAppender::close()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mClosing = true;
  }
  mQueueChanged.notify_one();
  if (mWriter.joinable()) {
    mWriter.join();
  }
  closed = true;
}

std::uint64_t
QueueAppender::DroppedLines()
{
  return sDroppedLines.load(std::memory_order_relaxed);
}

void
QueueAppender::WriteQueuedAtCrash()
{
  QueueAppender* appender = sAppender;
  if (appender != nullptr && appender->mMutex.try_lock()) {
    WriteAll(appender->mQueuedText);
  }
}

void
QueueAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  std::ostringstream line;
  layout->formatAndAppend(line, aEvent);
  const std::string text = line.str();
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!CountLine() || mQueuedText.size() + text.size() > kMaxQueueBytes) {
    sDroppedLines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const bool wasEmpty = mQueuedText.empty();
  mQueuedText += text;
  if (wasEmpty) {
    mQueueChanged.notify_one();
  }
}

bool
QueueAppender::CountLine()
{
  const auto now = std::chrono::steady_clock::now();
  if (now - mWindowStart >= std::chrono::seconds(1)) {
    mWindowStart = now;
    mWindowLines = 0;
  }
  return ++mWindowLines <= kMaxLinesPerSecond;
}

void
QueueAppender::RunWriter()
{
  std::unique_lock<std::mutex> lock(mMutex);
  while (true) {
    mQueueChanged.wait(lock,
                       [this] { return mClosing || !mQueuedText.empty(); });
    if (!mClosing) {
      mQueueChanged.wait_for(lock, kWriteDelay, [this] { return mClosing; });
    }
    std::string text;
    text.swap(mQueuedText);
    const bool closing = mClosing;
    lock.unlock();
    WriteAll(text);
    lock.lock();
    if (closing && mQueuedText.empty()) {
      return;
    }
  }
}

} // namespace quetzalquay
