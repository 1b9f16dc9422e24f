// An entry on the users' platform, composed: one thread, one context.
#pragma once

#include "global/result.h"
#include "platform/entrysettings.h"

#include <memory>
#include <string>

namespace cyclamenlatch::control {

class PlatformEntry
{
public:
    // settingsPath is read again on SIGHUP.
    PlatformEntry(platform::EntrySettings settings, std::string settingsPath);
    ~PlatformEntry();
    PlatformEntry(const PlatformEntry &) = delete;
    PlatformEntry &operator=(const PlatformEntry &) = delete;

    // Returns when the process was told to stop and has finished what it had, or with what keeps it
    // from serving.
    Result<void> run();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::control
