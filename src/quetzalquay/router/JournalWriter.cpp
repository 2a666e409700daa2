#include "router/JournalWriter.h"

#include "generated/messages.pb.h"
#include "observe/Log.h"
#include "observe/RouterMetrics.h"

#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kWriteTimeout = std::chrono::milliseconds(2000);
constexpr Duration kReadTimeout = std::chrono::milliseconds(1000);

Time
Now()
{
  return std::chrono::steady_clock::now();
}

schema::JournalObject
ToMessage(const std::string& aWriter,
          std::uint32_t aSequence,
          const std::vector<JournalPart>& aParts)
{
  schema::JournalObject message;
  message.set_writer(aWriter);
  message.set_sequence(aSequence);
  for (const JournalPart& it : aParts) {
    auto* entry = message.add_entries();
    entry->set_request_id(it.mRequestId);
    entry->set_generation(it.mGeneration);
    entry->set_from(it.mFrom);
    entry->mutable_tokens()->Add(it.mTokens.begin(), it.mTokens.end());
  }
  return message;
}

void
AppendParts(const schema::JournalObject& aMessage,
            std::vector<JournalPart>& aParts)
{
  for (const auto& it : aMessage.entries()) {
    JournalPart part;
    part.mRequestId = it.request_id();
    part.mGeneration = it.generation();
    part.mFrom = it.from();
    part.mTokens.assign(it.tokens().begin(), it.tokens().end());
    aParts.push_back(std::move(part));
  }
}

} // namespace

JournalWriter::JournalWriter(std::string aWriter,
                             ObjectStorePort& aStore,
                             RouterMetrics& aMetrics)
  : mWriterName(std::move(aWriter))
  , mStore(aStore)
  , mMetrics(aMetrics)
{
}

void
JournalWriter::Start(Duration aInterval)
{
  mThread.Start(aInterval, [this] { Flush(); });
}

void
JournalWriter::Stop()
{
  mThread.Stop();
}

JournalPosition
JournalWriter::Update(const std::string& aRequestId,
                      const std::string& aGeneration,
                      const std::vector<int>& aTokens)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPlanner.Update(aRequestId, aGeneration, aTokens, Now());
}

void
JournalWriter::RemoveStream(const std::string& aRequestId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.RemoveStream(aRequestId, Now());
}

std::vector<int>
JournalWriter::Read(const std::string& aWriter,
                    const std::vector<std::uint32_t>& aObjects,
                    const std::string& aRequestId,
                    const std::string& aGeneration)
{
  std::vector<JournalPart> parts;
  for (const std::uint32_t it : aObjects) {
    std::string bytes;
    const auto outcome =
      mStore.Get(ObjectName(aWriter, it), kReadTimeout, bytes);
    schema::JournalObject message;
    if (outcome != StoreOutcome::Done || !message.ParseFromString(bytes)) {
      break;
    }
    AppendParts(message, parts);
  }
  return AssembleTokens(parts, aRequestId, aGeneration);
}

void
JournalWriter::Flush()
{
  std::vector<JournalPart> parts;
  std::vector<std::uint32_t> expired;
  std::uint32_t sequence = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    sequence = ++mSequence;
    parts = mPlanner.CollectParts(sequence);
    expired = mPlanner.TakeExpired(Now());
    mMetrics.Set(RouterGauge::UnjournaledTokens, mPlanner.UnjournaledTokens());
  }
  for (const std::uint32_t it : expired) {
    mStore.Delete(ObjectName(mWriterName, it), kWriteTimeout);
  }
  if (parts.empty()) {
    return;
  }
  const std::string bytes =
    ToMessage(mWriterName, sequence, parts).SerializeAsString();
  const auto outcome =
    mStore.Put(ObjectName(mWriterName, sequence), bytes, kWriteTimeout);
  const bool done = outcome == StoreOutcome::Done;
  mMetrics.Add(done ? RouterCounter::JournalObjects
                    : RouterCounter::JournalFailures);
  mMetrics.Add(RouterCounter::JournalBytes, static_cast<double>(bytes.size()));
  if (!done) {
    Log(LogLevel::Warn, "journal", "failed to write a journal object");
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mPlanner.OnWritten(done, Now());
}

std::string
JournalWriter::ObjectName(const std::string& aWriter,
                          std::uint32_t aSequence) const
{
  return "journal/" + aWriter + "/" + std::to_string(aSequence);
}

} // namespace quetzalquay
