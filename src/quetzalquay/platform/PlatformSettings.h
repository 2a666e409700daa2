#ifndef QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED
#define QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED

#include <string>

namespace quetzalquay::platform {

// Path of the settings file that the platform has laid out for this process;
// empty when the process was not started by it.
std::string
SettingsFile();

} // namespace quetzalquay::platform

#endif // QUETZALQUAY_PLATFORM_PLATFORMSETTINGS_H_INCLUDED
