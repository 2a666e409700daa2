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

// Fills a message from a JSON file. Returns nothing on success, else the reason
// with file and field. Unknown fields are refused.
std::optional<std::string>
ReadSettingsFile(const std::string& aPath,
                 google::protobuf::Message& aSettings);

// Path as seen from the folder of another file.
std::string
RelativeTo(const std::string& aFile, const std::string& aPath);

// The checks return nothing when the settings can be used, else the first
// field that is out of range, missing, repeated or refers to something that is
// not declared, with the reason.
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

// Reads and checks a settings file. Nothing on failure, with aReason set.
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
