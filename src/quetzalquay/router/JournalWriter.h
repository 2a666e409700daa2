#ifndef QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED
#define QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED

#include "core/JournalBook.h"
#include "ports/PlatformPorts.h"
#include "router/PeriodicThread.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalquay {

class RouterMetrics;

// Writes the tokens of long streams to the object store and reads those of
// other routers. Safe for concurrent use.
class JournalWriter
{
public:
  // aWriter names this incarnation of the router and is part of each object's
  // name. The others must outlive this object.
  JournalWriter(std::string aWriter,
                ObjectStorePort& aStore,
                RouterMetrics& aMetrics);

  // Starts writing, with aInterval between two objects.
  void Start(Duration aInterval);
  void Stop();

  // Name of this incarnation.
  const std::string& Writer() const { return mWriter; }

  // Takes what is new of a stream's accepted tokens, which are given from index
  // 0, and returns the stream's position.
  JournalPosition Update(const std::string& aRequestId,
                         const std::string& aGeneration,
                         const std::vector<int>& aTokens);

  // The stream has ended.
  void Forget(const std::string& aRequestId);

  // Tokens of a stream from index 0, as far as the named objects give them.
  std::vector<int> Read(const std::string& aWriter,
                        const std::vector<std::uint32_t>& aObjects,
                        const std::string& aRequestId,
                        const std::string& aGeneration);

  // Writes what is new at once.
  void WriteNow();

private:
  std::string ObjectName(const std::string& aWriter,
                         std::uint32_t aSequence) const;

  std::string mWriter;
  ObjectStorePort& mStore;
  RouterMetrics& mMetrics;
  std::mutex mMutex;
  JournalBook mBook;
  std::uint32_t mSequence = 0;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED
