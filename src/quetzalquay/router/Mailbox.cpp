#include "router/Mailbox.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr std::size_t kMaxQueuedEvents = 512;

} // namespace

bool
Mailbox::OnStreamEvent(StreamEvent aEvent)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mNotFull.wait(
    lock, [this] { return mClosed || mEvents.size() < kMaxQueuedEvents; });
  if (mClosed) {
    return false;
  }
  mEvents.push_back(std::move(aEvent));
  mNotEmpty.notify_one();
  return true;
}

void
Mailbox::OnStreamEnd(int aAttempt, AttemptEnd aEnd)
{
  Post(AttemptEnded{ aAttempt, aEnd });
}

void
Mailbox::Post(SessionEvent aEvent)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mClosed) {
    return;
  }
  mEvents.push_back(std::move(aEvent));
  mNotEmpty.notify_one();
}

std::optional<SessionEvent>
Mailbox::Wait(Time aUntil)
{
  std::unique_lock<std::mutex> lock(mMutex);
  mNotEmpty.wait_until(lock, aUntil, [this] { return !mEvents.empty(); });
  if (mEvents.empty()) {
    return std::nullopt;
  }
  SessionEvent event = std::move(mEvents.front());
  mEvents.pop_front();
  mNotFull.notify_one();
  return event;
}

void
Mailbox::Close()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mClosed = true;
  mEvents.clear();
  mNotFull.notify_all();
}

} // namespace quetzalquay
