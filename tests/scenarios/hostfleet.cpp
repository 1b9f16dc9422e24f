// Fails and reboots the hosts of a scenario.
#include "tests/scenarios/hostfleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace cyclamenlatch::scenarios {

namespace {

constexpr Duration rebootTime = std::chrono::seconds(3);
constexpr unsigned workersPerRack = 4;

} // namespace

HostFleet::HostFleet(const Scenario &scenario)
{
    for (const auto &[name, count] : scenario.dataCentres) {
        m_document.dataCentres.push_back({DataCentreId(name), "r"});
    }
    for (const auto &[name, count] : scenario.pools) {
        m_document.pools.push_back({PoolId(name), false});
        m_document.services.push_back(
                {ServiceId(name), PoolId(name), scenario.maxUnavailable, 0.999});
        for (unsigned number = 0; number < count; ++number) {
            const auto index = m_document.workers.size();
            const auto dataCentres = m_document.dataCentres.size();
            fleet::Worker worker;
            worker.id = WorkerId(fmt::format("w-{}", index + 1));
            worker.dataCentre = m_document.dataCentres[index % dataCentres].id;
            worker.rack = RackId(fmt::format("{}-r{}", worker.dataCentre.value(),
                                             index / dataCentres / workersPerRack));
            worker.pool = PoolId(name);
            m_hosts[worker.id] = Host{};
            m_document.workers.push_back(std::move(worker));
        }
    }
}

void HostFleet::fail(const WorkerId &worker, TimePoint now, Duration length)
{
    auto &host = m_hosts.at(worker);
    host.downSince = host.up ? now : host.downSince;
    host.up = false;
    host.downUntil = now + length;
    m_flights.remove_if([&](const Flight &flight) { return flight.worker == worker; });
}

void HostFleet::setReturns(const WorkerId &worker, bool returns, TimePoint now)
{
    auto &host = m_hosts.at(worker);
    host.returns = returns;
    host.downUntil = std::max(host.downUntil, now);
}

std::optional<std::string> HostFleet::reboot(const WorkerId &worker, const std::string &attempt,
                                             TimePoint now)
{
    if (!m_attempts.insert(attempt).second) {
        return std::nullopt;
    }
    const auto cut = std::find_if(m_flights.begin(), m_flights.end(),
                                  [&](const Flight &flight) { return flight.worker == worker; });
    std::optional<std::string> failure;
    if (cut != m_flights.end()) {
        failure = fmt::format("the reboot of {} cut a request of {}", worker.value(),
                              cut->entry.value());
    }
    fail(worker, now, rebootTime);
    m_hosts.at(worker).rebooting = attempt;
    return failure;
}

void HostFleet::tick(TimePoint now)
{
    for (auto &[worker, host] : m_hosts) {
        const bool waits = !host.rebooting.empty() && !host.returns;
        if (host.up || waits || now < host.downUntil) {
            continue;
        }
        host.up = true;
        if (!host.rebooting.empty()) {
            host.finishedReboot = std::exchange(host.rebooting, {});
        }
    }
    m_flights.remove_if([&](const Flight &flight) { return flight.end <= now; });
}

std::vector<store::HostStatus> HostFleet::list() const
{
    std::vector<store::HostStatus> list;
    for (const auto &[worker, host] : m_hosts) {
        list.push_back({worker, host.up, host.finishedReboot, 0});
    }
    return list;
}

std::optional<std::string> HostFleet::send(const Flight &flight)
{
    const auto other = std::find_if(m_flights.begin(), m_flights.end(), [&](const Flight &known) {
        return known.worker == flight.worker && known.pool != flight.pool;
    });
    m_flights.push_back(flight);
    if (other == m_flights.end()) {
        return std::nullopt;
    }
    return fmt::format("{} serves pool {} for {} and pool {} for {}", flight.worker.value(),
                       other->pool.value(), other->entry.value(), flight.pool.value(),
                       flight.entry.value());
}

unsigned HostFleet::inFlight(const EntryId &entry, std::uint64_t incarnation,
                             const WorkerId &worker) const
{
    return static_cast<unsigned>(
            std::count_if(m_flights.begin(), m_flights.end(), [&](const Flight &flight) {
                return flight.entry == entry && flight.incarnation == incarnation
                       && flight.worker == worker;
            }));
}

void HostFleet::drop(const EntryId &entry, std::uint64_t incarnation)
{
    m_flights.remove_if([&](const Flight &flight) {
        return flight.entry == entry && flight.incarnation == incarnation;
    });
}

unsigned HostFleet::reboots(const std::string &wave) const
{
    return static_cast<unsigned>(
            std::count_if(m_attempts.begin(), m_attempts.end(), [&](const std::string &attempt) {
                return attempt.starts_with(wave + ".");
            }));
}

} // namespace cyclamenlatch::scenarios
