#ifndef QUETZALQUAY_ROUTER_SESSIONREGISTRY_H_INCLUDED
#define QUETZALQUAY_ROUTER_SESSIONREGISTRY_H_INCLUDED

#include "core/RefCounted.h"
#include "router/Mailbox.h"

#include <boost/intrusive/list.hpp>
#include <mutex>
#include <string>

namespace quetzalquay {

// Registry entry of a session that has a stream on a target.
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

// Registry of the sessions that have a stream on some target, by which they are
// notified when the target is about to stop. Thread-safe.
class SessionRegistry
{
public:
  // Adds an entry without taking ownership. It must be removed before it is
  // destroyed.
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

  // Notifies all sessions on a target that they have to move to another one.
  // Returns their number.
  int NotifyTargetStopping(const std::string& aTarget)
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
