#include "router/CancelQueue.h"

#include "wire/ThreadPool.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kRepeatPause = std::chrono::milliseconds(500);
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(500);

// Time after which a target that never confirmed is left alone.
constexpr Duration kGiveUp = std::chrono::seconds(60);

constexpr std::size_t kMaxEntries = 10000;

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
  mRepeats.Start(kRepeatPause, [this] { Repeat(); });
}

void
CancelQueue::Stop()
{
  mRepeats.Stop();
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
  entry.mGiveUpAt = std::chrono::steady_clock::now() + kGiveUp;
  mThreads.Run([this, entry] { Try(entry); });
}

std::size_t
CancelQueue::Size() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mUnconfirmed.size();
}

void
CancelQueue::Try(Entry aEntry)
{
  const CancelResult result = mEngines.Cancel(
    aEntry.mTarget, aEntry.mGeneration, aEntry.mAttempt, kAnswerTimeout);
  if (result == CancelResult::Stopped) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  if (std::chrono::steady_clock::now() < aEntry.mGiveUpAt &&
      mUnconfirmed.size() < kMaxEntries) {
    mUnconfirmed.push_back(std::move(aEntry));
  }
}

void
CancelQueue::Repeat()
{
  std::deque<Entry> entries;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    entries.swap(mUnconfirmed);
  }
  for (Entry& it : entries) {
    mThreads.Run([this, entry = std::move(it)] { Try(entry); });
  }
}

} // namespace quetzalquay
