#ifndef QUETZALQUAY_CORE_TAKEUP_H_INCLUDED
#define QUETZALQUAY_CORE_TAKEUP_H_INCLUDED

#include "core/StreamOrigins.h"
#include "core/VersionHistory.h"

#include <string>
#include <vector>

namespace quetzalquay {

enum class TakeUpStatus
{
  // The service and the software version of the stream are known.
  Known,
  // The stream may have begun at several versions.
  Unknown,
  // The route no longer uses the service at which the stream began.
  ServiceGone,
};

// Where a stream that a caller takes up may go on.
struct TakeUp
{
  TakeUpStatus mStatus = TakeUpStatus::Unknown;
  std::string mService;
  std::string mSoftwareVersion;
  OriginSource mSource = OriginSource::OnlyVersion;
  // When the origin was learned; a default Time if it is not known.
  Time mLearnedAt;
};

// A caller's request to take up a stream.
struct TakeUpRequest
{
  // Key of the stream's origin; nothing if the caller does not name it.
  std::optional<std::uint64_t> mKey;
  // Services of the request's route, and the one chosen for a stream that may
  // go on at any of them.
  std::vector<std::string> mServices;
  std::string mDefaultService;
};

// Decides where a stream may go on.
TakeUp
DecideTakeUp(const TakeUpRequest& aRequest,
             StreamOrigins& aOrigins,
             const VersionHistory& aVersions,
             Time aNow);

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TAKEUP_H_INCLUDED
