// Numbered log events. Each module lists its events in its own <module>events.h; docs/events.md
// is the catalogue, and a test compares the two.
#pragma once

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenlatch {

enum class Severity { Info, Warning, Error };

struct Event
{
    // Unique over all modules.
    unsigned number;
    Severity severity;
    std::string_view name;
    // What the event means and what an operator may do.
    std::string_view meaning;
};

void writeEvent(const Event &event, const std::string &details);

// Takes every event from now on in place of the usual log; an empty one gives it back. Set it
// before threads log.
using EventSink = std::function<void(const Event &, const std::string &details)>;
void setEventSink(EventSink sink);

template<typename... Args>
void logEvent(const Event &event, fmt::format_string<Args...> format, Args &&...args)
{
    writeEvent(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cyclamenlatch
