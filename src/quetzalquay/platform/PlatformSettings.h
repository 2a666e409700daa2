#ifndef QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED

#include <string>

namespace quetzalquay::platform {

// Path of the settings file that the platform provides for this process; empty
// when the platform did not start it.
std::string
SettingsFilePath();

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED
