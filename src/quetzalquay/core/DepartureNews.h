#ifndef QUETZALQUAY_CORE_DEPARTURENEWS_H_INCLUDED
#define QUETZALQUAY_CORE_DEPARTURENEWS_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// A start of a target that another target has replaced at its address.
struct TargetDeparture
{
  std::string mTarget;
  std::string mIncarnation;
  // The target that was found there, and its incarnation; empty if unknown.
  std::string mSuccessor;
  std::string mSuccessorIncarnation;
};

// Which departures of targets the other hosts have to be told. While the store
// is silent, its entries name targets that have left. These look idle, so that
// every host sends its next requests to them; one host's finding spares the
// others the same. In a fleet too large for one message to reach all hosts,
// each one passes on what is new to it, a bounded number of times, and less
// often if others tell it the same. Not thread-safe.
class DepartureNews
{
public:
  // Departures in one message, and the time between two messages.
  static constexpr std::size_t kMaxInMessage = 24;
  static constexpr Duration kInterval = std::chrono::milliseconds(100);

  // Departures that are remembered. No others are told while there are so many.
  static constexpr std::size_t kMaxEntries = 4000;

  // Records a departure that this host has found, or was told of and passes on
  // if aTell is set. Returns whether it, or its successor, is new.
  bool Add(const TargetDeparture& aDeparture, bool aTell, Time aNow);

  // Whether there are departures to tell.
  bool HasNews() const { return !mNews.empty(); }

  // Number of departures that are remembered.
  std::size_t Size() const { return mEntries.size(); }

  // Departures to tell some other hosts now, the newest first.
  std::vector<TargetDeparture> TakeNews(Time aNow);

private:
  struct Entry
  {
    TargetDeparture mDeparture;
    int mTellingsLeft = 0;
    Time mForgottenAt;
  };

  void Forget(Time aNow);

  std::map<std::string, Entry> mEntries;
  // Targets whose departure is to be told, in the order of discovery.
  std::vector<std::string> mNews;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_DEPARTURENEWS_H_INCLUDED
