// Asks for the list of hosts at intervals and hands it to the agent.
#include "quota/hostwatch.h"

namespace cyclamenlatch::quota {

namespace {

constexpr std::chrono::seconds lookInterval{5};

} // namespace

HostWatch::HostWatch(asio::io_context &context, store::HostClient &hosts, QuotaTable &table)
    : m_hosts(hosts)
    , m_table(table)
    , m_timer(context)
{}

void HostWatch::start()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(lookInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            look();
            start();
        }
    });
}

void HostWatch::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
}

void HostWatch::look()
{
    if (!m_table.inspect([](const QuotaAgent &agent) { return agent.wantsHostList(); })) {
        return;
    }
    m_hosts.list([this](const Result<std::vector<store::HostStatus>> &hosts) {
        if (hosts) {
            m_table.update([&](QuotaAgent &agent) { agent.takeHostList(hosts.value()); });
        }
    });
}

} // namespace cyclamenlatch::quota
