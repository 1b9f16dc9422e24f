// Buffers log lines and writes them to standard output.
#include "control/eventlog.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "global/controlbyte.h"
#include "global/time.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamenlatch::control {

namespace {

// Holds the lines of about one second at full load.
constexpr std::size_t maxBufferedBytes = std::size_t{128} * 1024;
// Lines logged within this time are written together.
constexpr std::chrono::milliseconds flushInterval{200};

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "info";
}

} // namespace

EventLog::EventLog(asio::io_context &context, std::string entry)
    : m_entry(std::move(entry))
    , m_timer(context)
{
    setEventSink(
            [this](const Event &event, const std::string &details) { append(event, details); });
}

EventLog::~EventLog()
{
    setEventSink({});
    flush();
}

void EventLog::append(const Event &event, const std::string &details)
{
    if (m_buffer.size() + details.size() > maxBufferedBytes) {
        ++m_dropped;
        ++m_droppedTotal;
        return;
    }
    if (m_dropped > 0) {
        const auto dropped = std::exchange(m_dropped, 0);
        append(linesDropped, fmt::format("count={}", dropped));
    }
    const auto begin = m_buffer.size();
    fmt::format_to(std::back_inserter(m_buffer), "{} E{} {} {} entry={} {}",
                   wallNow().time_since_epoch().count(), event.number, event.name,
                   severityName(event.severity), m_entry, details);
    // Names from other processes must not end the line.
    std::replace_if(m_buffer.begin() + static_cast<std::ptrdiff_t>(begin), m_buffer.end(),
                    isControlByte, '?');
    m_buffer.push_back('\n');
    flushLater();
}

void EventLog::flushLater()
{
    if (std::exchange(m_isFlushScheduled, true)) {
        return;
    }
    m_timer.expires_after(flushInterval);
    m_timer.async_wait([this](const auto &error) {
        if (!error) {
            m_isFlushScheduled = false;
            flush();
        }
    });
}

void EventLog::flush()
{
    if (m_buffer.empty()) {
        return;
    }
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1) {
        return flushLater();
    }
    // A pipe that polls as writable takes at least one page without blocking.
    constexpr std::size_t pageBytes = 4096;
    while (!m_buffer.empty() && ::poll(&ready, 1, 0) == 1) {
        const auto size = std::min(m_buffer.size(), pageBytes);
        const auto written = ::write(STDOUT_FILENO, m_buffer.data(), size);
        if (written <= 0) {
            break;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
    if (!m_buffer.empty()) {
        flushLater();
    }
}

} // namespace cyclamenlatch::control
