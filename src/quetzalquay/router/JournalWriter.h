#ifndef QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED
#define QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED

#include "core/JournalPlanner.h"
#include "ports/PlatformPorts.h"
#include "router/PeriodicThread.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalquay {

class RouterMetrics;

// Writes the tokens of long streams to the object store and reads the objects
// that other routers wrote. Thread-safe.
class JournalWriter
{
public:
  // aWriter names this incarnation of the router and is part of each object's
  // name. aStore and aMetrics must outlive this object.
  JournalWriter(std::string aWriter,
                ObjectStorePort& aStore,
                RouterMetrics& aMetrics);

  // Starts writing objects periodically, with aInterval between writes.
  void Start(Duration aInterval);

  // Stops the periodic writes; tokens not yet written are not flushed.
  void Stop();

  // Name under which this incarnation writes.
  const std::string& WriterName() const { return mWriterName; }

  // Adds a stream's newly accepted tokens to the journal's backlog. aTokens
  // holds all accepted tokens from index 0. Returns the stream's journal
  // position.
  JournalPosition Update(const std::string& aRequestId,
                         const std::string& aGeneration,
                         const std::vector<int>& aTokens);

  // Drops a stream that has ended; its objects expire later.
  void RemoveStream(const std::string& aRequestId);

  // Reads a stream's tokens from the given objects of a writer. The result
  // starts at index 0 and ends at the first gap; it is empty if nothing could
  // be read.
  std::vector<int> Read(const std::string& aWriter,
                        const std::vector<std::uint32_t>& aObjects,
                        const std::string& aRequestId,
                        const std::string& aGeneration);

  // Writes the backlog as one object now, and deletes expired objects.
  void Flush();

private:
  std::string ObjectName(const std::string& aWriter,
                         std::uint32_t aSequence) const;

  std::string mWriterName;
  ObjectStorePort& mStore;
  RouterMetrics& mMetrics;
  std::mutex mMutex;
  JournalPlanner mPlanner;
  std::uint32_t mSequence = 0;
  PeriodicThread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_JOURNALWRITER_H_INCLUDED
