#ifndef QUETZALQUAY_ROUTER_SESSIONREGISTRY_H_INCLUDED
#define QUETZALQUAY_ROUTER_SESSIONREGISTRY_H_INCLUDED

#include "core/RefCounted.h"
#include "router/Mailbox.h"

#include <boost/intrusive/list.hpp>
#include <mutex>
#include <string>

namespace quetzalquay {

// One session's use of a target, while it is in the registry.
struct SessionEntry : public boost::intrusive::list_base_hook<>
{
  SessionEntry(std::string aTarget, RefPtr<Mailbox> aMailbox)
    : mTarget(std::move(aTarget))
    , mMailbox(std::move(aMailbox))
  {
  }

  std::string mTarget;
  RefPtr<Mailbox> mMailbox;
};

// The sessions that have a stream on some target. Safe for concurrent use.
class SessionRegistry
{
public:
  // Adds an entry, which stays the caller's and must be removed before it goes.
  void Add(SessionEntry& aEntry)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEntries.push_back(aEntry);
  }

  void Remove(SessionEntry& aEntry)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mEntries.erase(mEntries.iterator_to(aEntry));
  }

  // Tells the sessions on a target to move elsewhere. Returns their number.
  int MoveAway(const std::string& aTarget)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    int n = 0;
    for (SessionEntry& it : mEntries) {
      if (it.mTarget == aTarget) {
        it.mMailbox->Post(TargetStopping());
        ++n;
      }
    }
    return n;
  }

private:
  std::mutex mMutex;
  boost::intrusive::list<SessionEntry> mEntries;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_SESSIONREGISTRY_H_INCLUDED
