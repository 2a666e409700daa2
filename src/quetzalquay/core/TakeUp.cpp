#include "core/TakeUp.h"

#include <algorithm>

namespace quetzalquay {

TakeUp
DecideTakeUp(const TakeUpRequest& aRequest,
             StreamOrigins& aOrigins,
             const VersionHistory& aVersions,
             Time aNow)
{
  TakeUp takeUp;
  const auto& services = aRequest.mServices;
  const auto origin =
    aRequest.mKey ? aOrigins.Find(*aRequest.mKey, aNow) : std::nullopt;
  if (origin) {
    takeUp.mService = origin->mOrigin.mService;
    takeUp.mSoftwareVersion = origin->mOrigin.mSoftwareVersion;
    takeUp.mSource = origin->mSource;
    takeUp.mLearnedAt = origin->mLearnedAt;
    const bool allowed =
      std::find(services.begin(), services.end(), takeUp.mService) !=
      services.end();
    takeUp.mStatus = allowed ? TakeUpStatus::Known : TakeUpStatus::ServiceGone;
    return takeUp;
  }
  if (!aVersions.IsComplete(aNow)) {
    return takeUp;
  }
  for (const std::string& it : services) {
    const auto versions = aVersions.RecentVersions(it, aNow);
    if (versions.size() > 1) {
      takeUp = TakeUp();
      return takeUp;
    }
    const bool first = takeUp.mStatus == TakeUpStatus::Unknown;
    if (versions.size() == 1 && (first || it == aRequest.mDefaultService)) {
      takeUp.mStatus = TakeUpStatus::Known;
      takeUp.mService = it;
      takeUp.mSoftwareVersion = *versions.begin();
    }
  }
  return takeUp;
}

} // namespace quetzalquay
