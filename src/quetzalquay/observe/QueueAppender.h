#ifndef QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED
#define QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <log4cplus/appender.h>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalquay {

// Log appender that queues lines for standard output and never waits.
class QueueAppender : public log4cplus::Appender
{
public:
  QueueAppender();
  ~QueueAppender() override;

  void close() override;

  // Lines dropped by all appenders of the process.
  static std::uint64_t Dropped();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  bool TakeLine();
  void Run();

  std::mutex mMutex;
  std::condition_variable mWake;
  std::string mQueue;
  bool mClosing = false;
  // Second that the lines are counted in, and their number.
  std::chrono::steady_clock::time_point mSecond;
  int mLines = 0;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_QUEUEAPPENDER_H_INCLUDED
