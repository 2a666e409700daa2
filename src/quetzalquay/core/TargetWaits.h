#ifndef QUETZALQUAY_CORE_TARGETWAITS_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETWAITS_H_INCLUDED

#include "core/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace quetzalquay {

// Targets that have asked this host to send them nothing for a while. That
// holds for one start of a target, also while it has no entry in the store. Not
// thread-safe.
class TargetWaits
{
public:
  // Longest time for which a target is left alone after one answer.
  static constexpr Duration kMaxWait = std::chrono::minutes(5);

  // Records that a start of a target wants nothing for so long, at most for
  // kMaxWait; what it has asked for earlier holds, too. Returns whether this
  // host did not leave it alone already.
  bool OnAsked(const std::string& aTarget,
               const std::string& aIncarnation,
               Duration aWait,
               Time aNow);

  // Records with which incarnation a target is declared, which ends the wait
  // for another start.
  void OnDeclared(const std::string& aTarget, const std::string& aIncarnation);

  // Until when a target gets nothing; the epoch if it has not asked for time.
  // An empty incarnation stands for any.
  Time UntilOf(const std::string& aTarget,
               const std::string& aIncarnation) const;

  // Number of targets that are left alone.
  std::size_t Count(Time aNow) const;

private:
  struct Wait
  {
    std::string mIncarnation;
    Time mUntil;
  };

  std::map<std::string, Wait> mWaits;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETWAITS_H_INCLUDED
