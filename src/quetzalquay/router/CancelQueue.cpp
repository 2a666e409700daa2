#include "router/CancelQueue.h"

#include "wire/ThreadPool.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
constexpr Duration kCancelTimeout = std::chrono::milliseconds(500);

// Time after which an unconfirmed cancel is dropped.
constexpr Duration kRetryTimeLimit = std::chrono::seconds(60);

constexpr std::size_t kMaxUnconfirmed = 10000;

} // namespace

CancelQueue::CancelQueue(EnginePort& aEngines, ThreadPool& aThreads)
  : mEngines(aEngines)
  , mThreads(aThreads)
{
}

CancelQueue::~CancelQueue()
{
  Stop();
}

void
CancelQueue::Start()
{
  mRetryThread.Start(kRetryInterval, [this] { RetryUnconfirmed(); });
}

void
CancelQueue::Stop()
{
  mRetryThread.Stop();
}

void
CancelQueue::Add(const TargetAddress& aTarget,
                 const std::string& aGeneration,
                 int aAttempt)
{
  Entry entry;
  entry.mTarget = aTarget;
  entry.mGeneration = aGeneration;
  entry.mAttempt = aAttempt;
  entry.mDeadline = std::chrono::steady_clock::now() + kRetryTimeLimit;
  mThreads.Submit([this, entry] { TryCancel(entry); });
}

std::size_t
CancelQueue::Size() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mUnconfirmed.size();
}

void
CancelQueue::TryCancel(Entry aEntry)
{
  const CancelResult result = mEngines.Cancel(
    aEntry.mTarget, aEntry.mGeneration, aEntry.mAttempt, kCancelTimeout);
  if (result == CancelResult::Stopped) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (std::chrono::steady_clock::now() < aEntry.mDeadline &&
      mUnconfirmed.size() < kMaxUnconfirmed) {
    mUnconfirmed.push_back(std::move(aEntry));
  }
}

void
CancelQueue::RetryUnconfirmed()
{
  std::deque<Entry> entries;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    entries.swap(mUnconfirmed);
  }
  for (Entry& it : entries) {
    mThreads.Submit([this, entry = std::move(it)] { TryCancel(entry); });
  }
}

} // namespace quetzalquay
