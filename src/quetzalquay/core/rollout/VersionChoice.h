#ifndef QUETZALQUAY_CORE_ROLLOUT_VERSIONCHOICE_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_VERSIONCHOICE_H_INCLUDED

#include <set>
#include <string>

namespace quetzalquay {

// Which version of its service a request may use.
enum class VersionUse
{
  // Any: the service has no rollout.
  Any,
  // Only the version that a rollout moves to, or only others.
  New,
  Old,
};

// Version that a request may use, and the targets of that version that it may;
// an empty list means all of them.
struct VersionChoice
{
  VersionUse mUse = VersionUse::Any;
  std::string mVersion;
  std::set<std::string> mTargets;

  // Whether a target of a version may be used.
  bool Allows(const std::string& aTarget, const std::string& aVersion) const
  {
    return mUse == VersionUse::Any ||
           ((aVersion == mVersion) == (mUse == VersionUse::New) &&
            (mTargets.empty() || mTargets.count(aTarget) != 0));
  }
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_VERSIONCHOICE_H_INCLUDED
