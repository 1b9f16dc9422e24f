// Looks at the platform's list of hosts while an entry is silent, for proof that its host was
// replaced. One entry of the fleet asks at a time, and none while every entry is heard of.
// Lock order: m_mutex guards the timer; the table's lock is never taken under it.
#pragma once

#include "quota/quotatable.h"
#include "store/hostclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>

namespace cyclamenlatch::quota {

class HostWatch
{
public:
    HostWatch(asio::io_context &context, store::HostClient &hosts, QuotaTable &table);

    void start();
    void stop();

private:
    void look();

    store::HostClient &m_hosts;
    QuotaTable &m_table;
    std::mutex m_mutex;
    // Both guarded by m_mutex.
    asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace cyclamenlatch::quota
