// The faults of faults.h.
#include "faults.h"

#include "review/standin/cases.h"

#include <csignal>

namespace soak {

using review::Clock;
using review::Milliseconds;

namespace {

// A path holds back what arrives within at most this long of the fault's begin.
constexpr std::int64_t mostHoldingMs = 3000;
// Owners change at most this often, so that some of them get to work.
constexpr std::int64_t entryFaultIntervalMs = 6000;
constexpr Milliseconds graceTime{6000};

} // namespace

Faults::Task Faults::pause(std::int64_t from, std::int64_t to)
{
    co_await m_world.sleep(Milliseconds(m_world.draw(from, to)));
}

void Faults::spawn(Task task)
{
    ++m_active;
    asio::co_spawn(m_world.context, std::move(task), [this](const std::exception_ptr &error) {
        --m_active;
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

Faults::Task Faults::run(Milliseconds time)
{
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
        beginOne();
        co_await pause(150, 900);
    }
    while (m_active > 0) {
        co_await m_world.sleep(Milliseconds(20));
    }
}

int Faults::drawOwner()
{
    const int owner = review::ownerNumber(m_world);
    const int any = static_cast<int>(m_world.draw(0, std::ssize(m_world.entries) - 1));
    return owner < 0 || isDrawn(20) ? any : owner;
}

void Faults::beginOne()
{
    const int number = static_cast<int>(m_world.draw(0, std::ssize(m_world.minions) - 1));
    const auto kind = m_world.draw(1, 100);
    if (kind > 84) {
        const int entry = drawOwner();
        if (m_busyEntries.contains(entry)
            || m_world.now() - m_lastEntryFault < entryFaultIntervalMs) {
            return;
        }
        m_lastEntryFault = m_world.now();
        m_busyEntries.insert(entry);
        return spawn(kind > 90 ? killEntry(entry, isDrawn(60) ? SIGKILL : SIGTERM)
                               : freezeEntry(entry));
    }
    if (m_busyTargets.contains(number)) {
        return;
    }
    if (kind > 72) {
        return disturbAnswers(number);
    }
    m_busyTargets.insert(number);
    spawn(kind > 58 ? cutTarget(number) : restartSeries(number));
}

void Faults::disturbAnswers(int number)
{
    for (int entry = 0; entry < std::ssize(m_world.entries); ++entry) {
        if (isDrawn(50)) {
            ++m_counts.resets;
            target(number).resetFrom(entry);
        } else {
            ++m_counts.lostAnswers;
            target(number).loseAnswersTo(entry,
                                         Clock::now() + Milliseconds(m_world.draw(100, 2500)));
        }
    }
}

Faults::Task Faults::restart(int number)
{
    const auto until = Clock::now() + Milliseconds(m_world.draw(300, mostHoldingMs));
    for (int entry = 0; entry < std::ssize(m_world.entries); ++entry) {
        if (isDrawn(75)) {
            target(number).holdFrom(entry, until,
                                    Milliseconds(m_world.draw(0, m_world.mostHeld.count())));
        }
    }
    co_await pause(0, 600);
    target(number).crash(isDrawn(75));
    co_await pause(150, 1500);
    target(number).start(Milliseconds(m_world.draw(0, 500)));
    ++m_counts.restarts;
}

Faults::Task Faults::restartSeries(int number)
{
    co_await restart(number);
    while (isDrawn(30)) {
        co_await pause(100, 1500);
        co_await restart(number);
    }
    if (isDrawn(65)) {
        co_await pause(0, 3000);
        co_await cutTarget(number);
    }
    m_busyTargets.erase(number);
}

Faults::Task Faults::cutTarget(int number)
{
    ++m_counts.cuts;
    const bool isFromAll = isDrawn(70);
    std::vector<int> cut;
    for (int entry = 0; entry < std::ssize(m_world.entries); ++entry) {
        if (isFromAll || entry == review::ownerNumber(m_world) || isDrawn(30)) {
            cut.push_back(entry);
            target(number).cutFrom(entry, true);
        }
    }
    m_world.note("minion " + target(number).spec().id + " is cut off from "
                 + std::to_string(cut.size()) + " entries");
    co_await pause(1000, 10000);
    if (isDrawn(15)) {
        co_await restart(number);
    }
    for (const int entry : cut) {
        target(number).cutFrom(entry, false);
    }
    m_world.note("minion " + target(number).spec().id + " is reached again");
    m_busyTargets.erase(number);
}

Faults::Task Faults::killEntry(int number, int signal)
{
    auto &entry = m_world.entry(number);
    ++m_counts.killedOwners;
    entry.signal(signal);
    if (!co_await m_world.until([&] { return entry.hasEnded(); }, graceTime)) {
        entry.signal(SIGKILL);
        co_await m_world.until([&] { return entry.hasEnded(); }, graceTime);
    }
    co_await pause(300, 2500);
    entry.start();
    co_await pause(500, 1000);
    m_busyEntries.erase(number);
}

Faults::Task Faults::freezeEntry(int number)
{
    auto &entry = m_world.entry(number);
    ++m_counts.freezes;
    entry.signal(SIGSTOP);
    co_await pause(500, 7000);
    entry.signal(SIGCONT);
    m_busyEntries.erase(number);
}

} // namespace soak
