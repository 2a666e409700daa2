#ifndef QUETZALQUAY_GATEWAY_STREAMORIGINROWS_H_INCLUDED
#define QUETZALQUAY_GATEWAY_STREAMORIGINROWS_H_INCLUDED

#include "core/StreamOrigins.h"
#include "platform/PlatformStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace quetzalquay {

// Content of a row of the table of stream origins: the origin of a stream, or a
// software version that targets of a service have registered. Rows have Unix
// times in milliseconds, since they outlast the hosts.
struct StreamOriginRow
{
  // Nothing for a row of a version.
  std::optional<StreamOrigin> mOrigin;
  std::string mService;
  std::string mSoftwareVersion;
  std::int64_t mWrittenAtMs = 0;
};

// The row change that stores or removes the origin of a stream.
platform::RowChange
FormatOriginRow(const StreamOrigins::StoreChange& aChange,
                std::int64_t aUnixMs);

// The row change that stores a software version of a service.
platform::RowChange
FormatVersionRow(const std::string& aService,
                 const std::string& aSoftwareVersion,
                 std::int64_t aUnixMs);

// Parses a row; nothing if it is malformed.
std::optional<StreamOriginRow>
ParseOriginRow(const platform::StoreRow& aRow);

// Whether a row is that of a stream that ended so long ago that nobody takes it
// up any more. One that cannot be read may be a later build's, and is not.
bool
IsOriginRowOutdated(const std::optional<StreamOriginRow>& aRow,
                    std::int64_t aUnixMs);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_STREAMORIGINROWS_H_INCLUDED
