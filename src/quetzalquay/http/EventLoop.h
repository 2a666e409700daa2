#ifndef QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED
#define QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <functional>

namespace quetzalquay {

class EventLoop;

// Calls a function when its time has come. Moving the time later costs nothing;
// the loop looks again when the earlier time arrives. Destroying an alarm takes
// it back. Used on its loop's thread only.
class Alarm : public boost::intrusive::set_base_hook<>
{
public:
  Alarm(EventLoop& aLoop, std::function<void()> aCall);
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  ~Alarm();

  // Sets the time, in place of any other.
  void SetAt(Time aAt);

  // Takes the time back.
  void Clear();

  // The time, or the latest one when none is set.
  Time At() const { return mAt; }

  // Whether a time is set.
  bool IsSet() const { return mAt != Time::max(); }

  bool operator<(const Alarm& aOther) const
  {
    return mQueuedAt < aOther.mQueuedAt;
  }

private:
  friend class EventLoop;

  EventLoop& mLoop;
  std::function<void()> mCall;
  Time mAt = Time::max();
  Time mQueuedAt;
};

// Event loop of one thread: sockets through the library's context, and all
// timers on one queue.
class EventLoop
{
public:
  EventLoop();

  // Runs until Stop().
  void Run();

  // Ends Run() after the present handler.
  void Stop();

  // Steady time.
  static Time Now() { return std::chrono::steady_clock::now(); }

  // Calls a function after the present handler has returned.
  void Defer(std::function<void()> aCall);

  // The library's context, for sockets.
  boost::asio::io_context& Context() { return mContext; }

private:
  friend class Alarm;

  void Queue(Alarm& aAlarm);
  void Unqueue(Alarm& aAlarm);
  void Arm();
  void OnTimer();

  boost::asio::io_context mContext;
  boost::asio::steady_timer mTimer;
  boost::intrusive::multiset<Alarm> mAlarms;
  // When the library's timer fires; the latest time when it does not.
  Time mArmedFor = Time::max();
  bool mFiring = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED
