#ifndef QUETZALQUAY_CORE_VERSIONHISTORY_H_INCLUDED
#define QUETZALQUAY_CORE_VERSIONHISTORY_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <set>
#include <string>

namespace quetzalquay {

// Software versions by service.
using VersionsByService = std::map<std::string, std::set<std::string>>;

// Software versions of the targets of each service over time, as far as this
// host knows them. Tells at which versions a stream that is not over can have
// begun. Performs no I/O; not thread-safe.
class VersionHistory
{
public:
  // Age of the last look at the registrations from which on this host may have
  // missed a version.
  static constexpr Duration kMaxLag = std::chrono::seconds(2);

  // aWindow is the longest life of a stream.
  explicit VersionHistory(Duration aWindow)
    : mWindow(aWindow)
  {
  }

  void SetWindow(Duration aWindow) { mWindow = aWindow; }

  // Sets the registered versions.
  void OnRegistered(const VersionsByService& aVersions, Time aNow);

  // The registered versions are known as of aAsOf.
  void OnKnownAsOf(Time aAsOf);

  // Adds versions that were registered according to a record that all hosts
  // keep, which makes the history complete. Ignored where this host has watched
  // long enough itself.
  void OnRecorded(const VersionsByService& aVersions, Time aNow);

  // Replaces a version that stood for an unknown one.
  void Rename(const std::string& aService,
              const std::string& aFrom,
              const std::string& aTo);

  // Whether this host has watched the registrations without a gap for the whole
  // window.
  bool IsObserved(Time aNow) const;

  // Whether no version that was registered within the window can be missing.
  bool IsComplete(Time aNow) const;

  // Known versions of a service that are registered or were within the window.
  std::set<std::string> RecentVersions(const std::string& aService,
                                       Time aNow) const;

  // The same for all services.
  VersionsByService AllRecentVersions(Time aNow) const;

  // Whether this host itself has seen a version registered within the window.
  bool WasObserved(const std::string& aService,
                   const std::string& aVersion,
                   Time aNow) const;

  // Services with more than one version within the window.
  std::set<std::string> MixedServices(Time aNow) const;

private:
  struct Sighting
  {
    bool mRegistered = false;
    // When the version was last seen registered by this host, and when that was
    // last recorded.
    Time mObservedAt;
    Time mRecordedAt;
  };

  bool IsRecent(const Sighting& aSighting, Time aNow) const
  {
    const auto within = [&](Time aAt) {
      return aAt != Time() && aNow - aAt < mWindow;
    };
    return aSighting.mRegistered || within(aSighting.mObservedAt) ||
           within(aSighting.mRecordedAt);
  }

  Duration mWindow;
  std::map<std::string, std::map<std::string, Sighting>> mSightings;
  Time mKnownAsOf;
  // Start of the time that has been watched without a gap.
  Time mObservedSince;
  // When the record was last read.
  Time mRecordReadAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_VERSIONHISTORY_H_INCLUDED
