#ifndef QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED
#define QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <functional>

namespace quetzalquay {

class EventLoop;

// One-shot timer that calls a function when it expires. Moving the expiry later
// does not touch the loop's queue: the loop requeues the timer when the earlier
// time arrives. Destruction cancels it. Must be used on the loop's thread only.
class Timer : public boost::intrusive::set_base_hook<>
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aCallback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer();

  // Sets the expiry time and replaces the previous one. Time::max() cancels the
  // timer.
  void ScheduleAt(Time aExpiry);

  // Cancels the timer.
  void Clear();

  // The expiry time; Time::max() when the timer is not set.
  Time Expiry() const { return mExpiry; }

  // Whether the timer is set to expire.
  bool IsSet() const { return mExpiry != Time::max(); }

  bool operator<(const Timer& aOther) const
  {
    return mQueuedExpiry < aOther.mQueuedExpiry;
  }

private:
  friend class EventLoop;

  EventLoop& mLoop;
  std::function<void()> mCallback;
  Time mExpiry = Time::max();
  // Position in the loop's queue; may be earlier than mExpiry.
  Time mQueuedExpiry;
  // Pass of the loop in which the timer was queued by a callback, or 0.
  std::uint64_t mQueuedInPass = 0;
};

// Event loop of one thread. Sockets use the Asio context; all timers share one
// queue and one Asio timer. The process may not run for a while, so what has
// been received before a timer's callback is read before it is called.
class EventLoop
{
public:
  EventLoop();

  // Runs until Stop().
  void Run();

  // Makes Run() return after the current handler.
  void Stop();

  // Current time of the steady clock.
  static Time Now() { return std::chrono::steady_clock::now(); }

  // Calls a function after the current handler has returned.
  void Defer(std::function<void()> aCallback);

  // Asio context, for sockets.
  boost::asio::io_context& Context() { return mContext; }

private:
  friend class Timer;

  void Queue(Timer& aTimer);
  void Unqueue(Timer& aTimer);
  void ArmTimer();
  void FireTimers();

  boost::asio::io_context mContext;
  boost::asio::steady_timer mAsioTimer;
  boost::intrusive::multiset<Timer> mTimers;
  // When mAsioTimer expires; Time::max() when it is not armed.
  Time mTimerExpiry = Time::max();
  bool mFiring = false;
  // Whether mAsioTimer has expired and the timers have not been fired yet.
  bool mTimersDue = false;
  // Number of times at which expired timers have been fired.
  std::uint64_t mPass = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_EVENTLOOP_H_INCLUDED
