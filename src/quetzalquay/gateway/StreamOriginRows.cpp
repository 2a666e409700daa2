#include "gateway/StreamOriginRows.h"

#include "core/Hash.h"
#include "http/JsonText.h"
#include "http/ListReader.h"

#include <charconv>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace quetzalquay {

namespace {

// Key of a version's row: this prefix and a hash of service and version. Keys
// of streams are 16 hexadecimal digits.
constexpr std::string_view kVersionPrefix = "version-";
constexpr std::size_t kStreamKeySize = 16;

// Age from which on the row of a stream is removed.
constexpr std::int64_t kRowLifetimeMs = 600000;

// Attempt in the rows of versions.
constexpr int kNoAttempt = 0;

// Latest time of a row, far from where sums with times overflow.
constexpr std::int64_t kMaxUnixMs = 100000000000000;

// Elements: service, software version, time and attempt. Builds from 551d6f0 on
// left the attempt out; earlier ones don't read a row without it.
std::string
FormatValue(const std::string& aService,
            const std::string& aSoftwareVersion,
            std::int64_t aUnixMs,
            int aAttempt)
{
  rapidjson::StringBuffer buf;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
  const auto write = [&writer](const std::string& aText) {
    writer.String(aText.data(), static_cast<rapidjson::SizeType>(aText.size()));
  };
  writer.StartArray();
  write(aService);
  write(aSoftwareVersion);
  writer.Int64(aUnixMs);
  writer.Int(aAttempt);
  writer.EndArray();
  return std::string(buf.GetString(), buf.GetSize());
}

} // namespace

platform::RowChange
FormatOriginRow(const StreamOrigins::StoreChange& aChange, std::int64_t aUnixMs)
{
  const StreamOrigin& origin = aChange.mOrigin;
  platform::RowChange row;
  row.mKey = ToHex(origin.mKey);
  if (!aChange.mRemoved) {
    row.mValue = FormatValue(
      origin.mService, origin.mSoftwareVersion, aUnixMs, origin.mAttempt);
  }
  return row;
}

platform::RowChange
FormatVersionRow(const std::string& aService,
                 const std::string& aSoftwareVersion,
                 std::int64_t aUnixMs)
{
  platform::RowChange row;
  row.mKey = std::string(kVersionPrefix) +
             ToHex(StableHash(aSoftwareVersion, StableHash(aService)));
  row.mValue = FormatValue(aService, aSoftwareVersion, aUnixMs, kNoAttempt);
  return row;
}

std::optional<StreamOriginRow>
ParseOriginRow(const platform::StoreRow& aRow)
{
  rapidjson::Document json;
  ParseJson(json, aRow.mValue);
  if (json.HasParseError()) {
    return std::nullopt;
  }
  ListReader reader(json);
  StreamOriginRow row;
  row.mService = reader.Text();
  row.mSoftwareVersion = reader.Text();
  row.mWrittenAtMs = reader.Integer(0, kMaxUnixMs);
  const auto attempt =
    reader.Integer(0, StreamOrigin::kBegun, StreamOrigin::kBegun);
  if (!reader.IsValid()) {
    return std::nullopt;
  }
  if (std::string_view(aRow.mKey).substr(0, kVersionPrefix.size()) ==
      kVersionPrefix) {
    return row;
  }
  StreamOrigin origin;
  const char* end = aRow.mKey.data() + aRow.mKey.size();
  const auto parsed = std::from_chars(aRow.mKey.data(), end, origin.mKey, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      aRow.mKey.size() != kStreamKeySize) {
    return std::nullopt;
  }
  origin.mService = row.mService;
  origin.mSoftwareVersion = row.mSoftwareVersion;
  origin.mAttempt = static_cast<int>(attempt);
  row.mOrigin = std::move(origin);
  return row;
}

bool
IsOriginRowOutdated(const std::optional<StreamOriginRow>& aRow,
                    std::int64_t aUnixMs)
{
  return aRow && aRow->mOrigin &&
         aUnixMs - aRow->mWrittenAtMs >= kRowLifetimeMs;
}

} // namespace quetzalquay
