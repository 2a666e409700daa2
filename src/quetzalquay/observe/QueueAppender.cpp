#include "observe/QueueAppender.h"

#include "observe/Log.h"

#include <atomic>
#include <cerrno>
#include <ctime>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <unistd.h>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxQueueBytes = 256U << 10U;

// Delay before queued lines are written, so that one write carries many lines.
constexpr auto kWriteDelay = std::chrono::milliseconds(200);

// Time that the reader of the output has to take the last lines. A stopping
// process has no more than that at the end of its grace period.
constexpr auto kCloseTime = std::chrono::milliseconds(100);

// A pause in which a process that crashes waits for its writer, and how many of
// them there are. Counted, so that the writer has time to run on a machine that
// stands still.
constexpr timespec kCrashWait{ 0, 1000000 };
constexpr int kCrashWaits = 100;

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
  : mWriter([queue = mQueue] { RunWriter(*queue); })
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
  if (mWriter.joinable()) {
    std::unique_lock<std::mutex> lock(mQueue->mMutex);
    mQueue->mClosing = true;
    mQueue->mChanged.notify_all();
    const bool ended = mQueue->mChanged.wait_for(
      lock, kCloseTime, [this] { return mQueue->mEnded; });
    lock.unlock();
    if (ended) {
      mWriter.join();
    } else {
      // The output blocks.
      mWriter.detach();
    }
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
  Queue* queue = appender == nullptr ? nullptr : appender->mQueue.get();
  const bool locked = queue != nullptr && LockAfterWriter(*queue);
  // A reader of the log that is slow must not keep the process from ending.
  ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  if (locked) {
    WriteAll(queue->mText);
  }
}

bool
QueueAppender::LockAfterWriter(Queue& aQueue)
{
  for (int n = 0; n < kCrashWaits; ++n) {
    if (aQueue.mMutex.try_lock()) {
      if (!aQueue.mWriting) {
        return true;
      }
      aQueue.mMutex.unlock();
    }
    ::nanosleep(&kCrashWait, nullptr);
  }
  return aQueue.mMutex.try_lock();
}

void
QueueAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  std::ostringstream line;
  layout->formatAndAppend(line, aEvent);
  const std::string text = line.str();
  const std::lock_guard<std::mutex> lock(mQueue->mMutex);
  std::string& queued = mQueue->mText;
  if (!CountLine() || queued.size() + text.size() > kMaxQueueBytes) {
    sDroppedLines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const bool wasEmpty = queued.empty();
  queued += text;
  if (wasEmpty) {
    mQueue->mChanged.notify_one();
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
QueueAppender::RunWriter(Queue& aQueue)
{
  std::unique_lock<std::mutex> lock(aQueue.mMutex);
  while (true) {
    aQueue.mChanged.wait(
      lock, [&aQueue] { return aQueue.mClosing || !aQueue.mText.empty(); });
    if (!aQueue.mClosing) {
      aQueue.mChanged.wait_for(
        lock, kWriteDelay, [&aQueue] { return aQueue.mClosing; });
    }
    std::string text;
    text.swap(aQueue.mText);
    const bool closing = aQueue.mClosing;
    aQueue.mWriting = true;
    lock.unlock();
    WriteAll(text);
    lock.lock();
    aQueue.mWriting = false;
    if (closing && aQueue.mText.empty()) {
      aQueue.mEnded = true;
      aQueue.mChanged.notify_all();
      return;
    }
  }
}

} // namespace quetzalquay
