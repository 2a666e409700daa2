#ifndef QUETZALQUAY_ROUTER_TARGETDIRECTORY_H_INCLUDED
#define QUETZALQUAY_ROUTER_TARGETDIRECTORY_H_INCLUDED

#include "core/TargetTable.h"

#include <mutex>

namespace quetzalquay {

// Guards the target table for use by all threads of a router. Thread-safe.
class TargetDirectory : public TargetChooser
{
public:
  explicit TargetDirectory(TargetTableOptions aOptions)
    : mTable(std::move(aOptions))
  {
  }

  Choice Choose(const ChoiceQuery& aQuery, Time aNow) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mTable.Choose(aQuery, aNow);
  }

  void CancelWait(const ChoiceQuery& aQuery) override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mTable.CancelWait(aQuery);
  }

  // Calls aFunction with the table while holding the lock, and returns its
  // result.
  template<typename Function>
  auto WithLock(Function aFunction)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return aFunction(mTable);
  }

private:
  std::mutex mMutex;
  TargetTable mTable;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_TARGETDIRECTORY_H_INCLUDED
