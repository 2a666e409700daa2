#include "gateway/StreamOriginRows.h"

#include "core/Hash.h"
#include "http/JsonText.h"

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

// Elements of a value: service, software version, time.
constexpr rapidjson::SizeType kValueSize = 3;

std::string
FormatValue(const std::string& aService,
            const std::string& aSoftwareVersion,
            std::int64_t aUnixMs)
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
    row.mValue = FormatValue(origin.mService, origin.mSoftwareVersion, aUnixMs);
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
  row.mValue = FormatValue(aService, aSoftwareVersion, aUnixMs);
  return row;
}

std::optional<StreamOriginRow>
ParseOriginRow(const platform::StoreRow& aRow)
{
  rapidjson::Document json;
  ParseJson(json, aRow.mValue);
  if (json.HasParseError() || !json.IsArray() || json.Size() < kValueSize ||
      !json[0].IsString() || !json[1].IsString() || !json[2].IsInt64()) {
    return std::nullopt;
  }
  StreamOriginRow row;
  row.mService.assign(json[0].GetString(), json[0].GetStringLength());
  row.mSoftwareVersion.assign(json[1].GetString(), json[1].GetStringLength());
  row.mWrittenAtMs = json[2].GetInt64();
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
  row.mOrigin = std::move(origin);
  return row;
}

} // namespace quetzalquay
