// Writes events to standard output as lines of fields. Lines are collected in a bounded buffer and
// written together without blocking; lines that do not fit are dropped and counted in a later line.
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
    // Receives all events of the process until it is destroyed. Every line names the entry.
    EventLog(asio::io_context &context, std::string entry);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    std::uint64_t dropped() const { return m_droppedTotal; }

private:
    void append(const Event &event, const std::string &details);
    void flush();
    void flushLater();

    const std::string m_entry;
    asio::steady_timer m_timer;
    std::string m_buffer;
    bool m_isFlushScheduled = false;
    // Lines dropped since the last linesDropped event.
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTotal = 0;
};

} // namespace cyclamenlatch::control
