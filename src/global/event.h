// Numbered log events. Each module lists its events in its own <module>events.h; docs/events.md
// is the catalogue, and a test compares the two.
#pragma once

#include <fmt/format.h>

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

template<typename... Args>
void logEvent(const Event &event, fmt::format_string<Args...> format, Args &&...args)
{
    writeEvent(event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace cyclamenlatch
