#include "http/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace quetzalquay {

namespace {

// Timers that expire within this interval share one wake-up, so a timer may
// fire early by up to this much.
constexpr Duration kTimerSlack = std::chrono::milliseconds(4);

// Limits of what is read before expired timers are called, so that input
// without end does not hold them up.
constexpr int kMaxHandlersBeforeTimers = 4096;
constexpr Duration kMaxReadBeforeTimers = std::chrono::milliseconds(50);

} // namespace

Timer::Timer(EventLoop& aLoop, std::function<void()> aCallback)
  : mLoop(aLoop)
  , mCallback(std::move(aCallback))
{
}

Timer::~Timer()
{
  Clear();
}

void
Timer::ScheduleAt(Time aExpiry)
{
  mExpiry = aExpiry;
  if (aExpiry == Time::max()) {
    Clear();
    return;
  }
  if (is_linked()) {
    if (mQueuedExpiry <= aExpiry) {
      return;
    }
    mLoop.Unqueue(*this);
  }
  mQueuedExpiry = aExpiry;
  mLoop.Queue(*this);
}

void
Timer::Clear()
{
  mExpiry = Time::max();
  if (is_linked()) {
    mLoop.Unqueue(*this);
  }
}

EventLoop::EventLoop()
  : mContext(1)
  , mAsioTimer(mContext)
{
}

void
EventLoop::Run()
{
  const auto guard = boost::asio::make_work_guard(mContext);
  while (mContext.run_one() > 0) {
    if (mTimersDue) {
      FireTimers();
    }
  }
}

void
EventLoop::Stop()
{
  mContext.stop();
}

void
EventLoop::Defer(std::function<void()> aCallback)
{
  boost::asio::post(mContext, std::move(aCallback));
}

void
EventLoop::Queue(Timer& aTimer)
{
  aTimer.mQueuedInPass = mFiring ? mPass : 0;
  mTimers.insert(aTimer);
  ArmTimer();
}

void
EventLoop::Unqueue(Timer& aTimer)
{
  mTimers.erase(mTimers.iterator_to(aTimer));
}

void
EventLoop::ArmTimer()
{
  if (mFiring || mTimersDue || mTimers.empty()) {
    return;
  }
  const Time next = mTimers.begin()->mQueuedExpiry;
  if (next >= mTimerExpiry) {
    return;
  }
  mTimerExpiry = next;
  mAsioTimer.expires_at(next);
  mAsioTimer.async_wait([this](const boost::system::error_code& aError) {
    mTimersDue = mTimersDue || !aError;
  });
}

// Calls the timers that have expired by now, after all that has been received
// by now.
void
EventLoop::FireTimers()
{
  const Time now = Now();
  const Time due = now + kTimerSlack;
  const Time readUntil = now + kMaxReadBeforeTimers;
  for (int n = 0; n < kMaxHandlersBeforeTimers && Now() < readUntil &&
                  mContext.poll_one() > 0;
       ++n) {
  }
  if (mContext.stopped()) {
    return;
  }
  mTimersDue = false;
  mFiring = true;
  ++mPass;
  mTimerExpiry = Time::max();
  while (!mTimers.empty() && mTimers.begin()->mQueuedExpiry <= due) {
    Timer& timer = *mTimers.begin();
    if (timer.mQueuedInPass == mPass && timer.mQueuedExpiry > Now()) {
      // A callback that was early for its work has set its timer again.
      break;
    }
    mTimers.erase(mTimers.begin());
    if (timer.mExpiry > due) {
      // The expiry was moved later after the timer was queued.
      timer.mQueuedExpiry = timer.mExpiry;
      mTimers.insert(timer);
      continue;
    }
    timer.mExpiry = Time::max();
    timer.mCallback();
  }
  mFiring = false;
  ArmTimer();
}

} // namespace quetzalquay
