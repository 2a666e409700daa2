#include "platform/PlatformSettings.h"

#include <cstdlib>

namespace quetzalquay::platform {

namespace {

constexpr char kSettingsVariable[] = "QUETZALQUAY_CONFIG";

} // namespace

std::string
SettingsFilePath()
{
  const char* path = std::getenv(kSettingsVariable);
  return path == nullptr ? std::string() : path;
}

} // namespace quetzalquay::platform
