// Writes events to standard output as lines of fields. Lines are gathered in a bounded buffer and
// written together without blocking; what does not fit is dropped, and a line says how many.
#pragma once

#include "global/event.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenlatch::control {

class EventLog
{
public:
    // Every line names the entry. Takes all events of the process until it is destroyed.
    EventLog(asio::io_context &context, std::string entry);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    std::uint64_t dropped() const { return m_droppedInAll; }

private:
    void take(const Event &event, const std::string &details);
    void flush();
    void flushLater();

    const std::string m_entry;
    asio::steady_timer m_timer;
    std::string m_buffer;
    bool m_isTimed = false;
    // Since the last line that told.
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInAll = 0;
};

} // namespace cyclamenlatch::control
