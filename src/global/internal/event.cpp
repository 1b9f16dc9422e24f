// Writes numbered events through glog.
#include "global/event.h"

#include <glog/logging.h>

namespace cyclamenlatch {

void writeEvent(const Event &event, const std::string &details)
{
    switch (event.severity) {
    case Severity::Info:
        LOG(INFO) << 'E' << event.number << ' ' << event.name << ": " << details;
        return;
    case Severity::Warning:
        LOG(WARNING) << 'E' << event.number << ' ' << event.name << ": " << details;
        return;
    case Severity::Error:
        LOG(ERROR) << 'E' << event.number << ' ' << event.name << ": " << details;
        return;
    }
}

} // namespace cyclamenlatch
