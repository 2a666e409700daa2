#include "config/SettingsFile.h"

#include "wire/Json.h"

#include <filesystem>
#include <fstream>
#include <google/protobuf/message.h>
#include <sstream>

namespace quetzalquay {

std::optional<std::string>
ReadSettingsFile(const std::string& aPath, google::protobuf::Message& aSettings)
{
  std::ifstream file(aPath);
  if (!file) {
    return aPath + ": cannot be read";
  }
  std::ostringstream text;
  text << file.rdbuf();
  if (const auto reason =
        ParseJson(text.str(), UnknownFields::Refuse, aSettings)) {
    return aPath + ": " + *reason;
  }
  return std::nullopt;
}

std::string
ResolveRelativePath(const std::string& aFile, const std::string& aPath)
{
  const auto directory = std::filesystem::path(aFile).parent_path();
  return (directory / aPath).string();
}

} // namespace quetzalquay
