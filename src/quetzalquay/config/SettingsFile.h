#ifndef QUETZALQUAY_CONFIG_SETTINGSFILE_H_INCLUDED
#define QUETZALQUAY_CONFIG_SETTINGSFILE_H_INCLUDED

#include <optional>
#include <string>

namespace google::protobuf {
class Message;
}

namespace quetzalquay {

namespace schema {
class ApiSettings;
class Configuration;
class ControllerSettings;
class LoadSettings;
class RouterSettings;
class StandinEngineSettings;
class StandinPlatformSettings;
class StandinServiceSettings;
}

// Parses a JSON file into a message. Returns nothing on success, else an error
// with the file and the field. Unknown fields are an error.
std::optional<std::string>
ReadSettingsFile(const std::string& aPath,
                 google::protobuf::Message& aSettings);

// Resolves aPath against the directory of aFile.
std::string
ResolveRelativePath(const std::string& aFile, const std::string& aPath);

// Validates settings. Returns nothing when they are valid, else an error for
// the first field that is out of range, missing, duplicated or refers to
// something that is not declared.
std::optional<std::string>
CheckSettings(const schema::Configuration& aSettings);
std::optional<std::string>
CheckSettings(const schema::RouterSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::ApiSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::ControllerSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::StandinEngineSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::StandinPlatformSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::StandinServiceSettings& aSettings);
std::optional<std::string>
CheckSettings(const schema::LoadSettings& aSettings);

// Reads and validates a settings file. Returns nothing and sets aReason on
// failure.
template<typename Settings>
std::optional<Settings>
LoadSettingsFile(const std::string& aPath, std::string& aReason)
{
  Settings settings;
  if (const auto problem = ReadSettingsFile(aPath, settings)) {
    aReason = *problem;
    return std::nullopt;
  }
  if (const auto problem = CheckSettings(settings)) {
    aReason = aPath + ": " + *problem;
    return std::nullopt;
  }
  return settings;
}

} // namespace quetzalquay

#endif // QUETZALQUAY_CONFIG_SETTINGSFILE_H_INCLUDED
