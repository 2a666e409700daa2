#ifndef QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED
#define QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <log4cplus/appender.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalquay {

// Log appender that queues lines for standard output and never blocks on the
// reader of the output.
class QueueAppender : public log4cplus::Appender
{
public:
  QueueAppender();
  ~QueueAppender() override;

  void close() override;

  // Number of lines dropped by all appenders of the process.
  static std::uint64_t DroppedLines();

  // Writes the queued lines of the appender that was created last, after those
  // that its writer is writing, and leaves the queue locked and the output not
  // blocking. Gives up on a writer that blocks, and on a queue that is in use,
  // maybe by the interrupted thread. For signal handlers of a process that
  // ends.
  static void WriteQueuedAtCrash();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  // What the appender shares with its writer thread, which may outlive it.
  struct Queue
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::string mText;
    // Whether the writer is writing lines that it has taken from the queue.
    bool mWriting = false;
    bool mClosing = false;
    // Whether the writer has written all lines and ended.
    bool mEnded = false;
  };

  // Counts a line against kMaxLinesPerSecond; returns whether it is allowed.
  bool CountLine();
  // Locks the queue when its writer has written what it has taken from it, or
  // after a while. Returns whether it is locked.
  static bool LockAfterWriter(Queue& aQueue);
  // Writes queued lines until the queue is closed.
  static void RunWriter(Queue& aQueue);

  std::shared_ptr<Queue> mQueue = std::make_shared<Queue>();
  // Start of the current one-second rate limit window and its line count.
  std::chrono::steady_clock::time_point mWindowStart;
  int mWindowLines = 0;
  std::thread mWriter;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED
