// An entry on the users' platform with all its parts. It runs on one thread and one event loop.
#pragma once

#include "global/result.h"
#include "platform/entrysettings.h"

#include <memory>
#include <string>

namespace cyclamenlatch::control {

class PlatformEntry
{
public:
    // The file at settingsPath is read again on SIGHUP.
    PlatformEntry(platform::EntrySettings settings, std::string settingsPath);
    ~PlatformEntry();
    PlatformEntry(const PlatformEntry &) = delete;
    PlatformEntry &operator=(const PlatformEntry &) = delete;

    // Serves until SIGTERM or SIGINT; returns after the open requests are answered or the grace
    // period is over. Returns an error when a port can't be opened.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::control
