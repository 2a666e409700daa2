#include "http/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace quetzalquay {

namespace {

// Alarms due within this time share one wake-up.
constexpr Duration kTimerGrain = std::chrono::milliseconds(4);

} // namespace

Alarm::Alarm(EventLoop& aLoop, std::function<void()> aCall)
  : mLoop(aLoop)
  , mCall(std::move(aCall))
{
}

Alarm::~Alarm()
{
  Clear();
}

void
Alarm::SetAt(Time aAt)
{
  mAt = aAt;
  if (aAt == Time::max()) {
    Clear();
    return;
  }
  if (is_linked()) {
    if (mQueuedAt <= aAt) {
      return;
    }
    mLoop.Unqueue(*this);
  }
  mQueuedAt = aAt;
  mLoop.Queue(*this);
}

void
Alarm::Clear()
{
  mAt = Time::max();
  if (is_linked()) {
    mLoop.Unqueue(*this);
  }
}

EventLoop::EventLoop()
  : mContext(1)
  , mTimer(mContext)
{
}

void
EventLoop::Run()
{
  const auto guard = boost::asio::make_work_guard(mContext);
  mContext.run();
}

void
EventLoop::Stop()
{
  mContext.stop();
}

void
EventLoop::Defer(std::function<void()> aCall)
{
  boost::asio::post(mContext, std::move(aCall));
}

void
EventLoop::Queue(Alarm& aAlarm)
{
  mAlarms.insert(aAlarm);
  Arm();
}

void
EventLoop::Unqueue(Alarm& aAlarm)
{
  mAlarms.erase(mAlarms.iterator_to(aAlarm));
}

void
EventLoop::Arm()
{
  if (mFiring || mAlarms.empty()) {
    return;
  }
  const Time next = mAlarms.begin()->mQueuedAt;
  if (next >= mArmedFor) {
    return;
  }
  mArmedFor = next;
  mTimer.expires_at(next);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTimer();
    }
  });
}

void
EventLoop::OnTimer()
{
  mFiring = true;
  mArmedFor = Time::max();
  const Time due = Now() + kTimerGrain;
  while (!mAlarms.empty() && mAlarms.begin()->mQueuedAt <= due) {
    Alarm& alarm = *mAlarms.begin();
    mAlarms.erase(mAlarms.begin());
    if (alarm.mAt > due) {
      // The time was moved later since it was queued.
      alarm.mQueuedAt = alarm.mAt;
      mAlarms.insert(alarm);
      continue;
    }
    alarm.mAt = Time::max();
    alarm.mCall();
  }
  mFiring = false;
  Arm();
}

} // namespace quetzalquay
