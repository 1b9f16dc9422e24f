// Writes numbered events through glog.
#include "global/event.h"

#include <glog/logging.h>

#include <utility>

namespace cyclamenlatch {

namespace {

EventSink &sink()
{
    static EventSink installed;
    return installed;
}

} // namespace

void setEventSink(EventSink installed)
{
    sink() = std::move(installed);
}

void writeEvent(const Event &event, const std::string &details)
{
    if (sink()) {
        return sink()(event, details);
    }
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
