// Stranded capacity when declared sizes are off by up to a factor of four: best fit by learned
// sizes against first fit by declared sizes. Work comes in classes, whose true use the reports
// show after a lag.
#include "capacity/placement.h"
#include "bench/figure.h"
#include "capacity/runtimeestimate.h"
#include "global/random.h"
#include "global/time.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <deque>

DEFINE_uint64(seed, 1, "seed of the run");

namespace cyclamenlatch::bench {

namespace {

using namespace capacity;
using fleet::Resources;

constexpr unsigned classes = 20;
constexpr unsigned steps = 1000;
// For each worker.
constexpr double arrivalsPerStep = 0.16;
// Steps after which the use of work is reported.
constexpr unsigned reportLag = 20;
constexpr std::uint32_t longestWork = 200;
// Work of one class that waits, for each worker; more is turned away.
constexpr double longestQueue = 0.2;

struct Users
{
    std::string name;
    unsigned workers = 50;
    Resources size;
    unsigned withAccelerators = 5;
};

struct WorkClass
{
    Resources real;
    Resources declared;
    RunTimeEstimate processors{0};
    RunTimeEstimate memory{0};
};

struct Running
{
    std::size_t worker = 0;
    std::size_t workClass = 0;
    unsigned started = 0;
    unsigned ends = 0;
    Resources booked;
    bool reported = false;
};

struct Outcome
{
    // Share of the processors that does nothing while work waits.
    double stranded = 0;
    // Share of workers on which real use exceeds the machine.
    double overfull = 0;
    double passMs = 0;
};

Resources scaled(const Resources &resources, double factor)
{
    return {resources.processors * factor, resources.memoryMib * factor, resources.accelerators};
}

class PlacementRun
{
public:
    PlacementRun(const Users &users, bool learned, std::uint64_t seed)
        : m_learned(learned)
        , m_random(seed)
    {
        for (unsigned index = 0; index < users.workers; ++index) {
            auto size = users.size;
            size.accelerators = index < users.withAccelerators ? 4 : 0;
            m_rooms.push_back({WorkerId("w-" + std::to_string(index)), size, size});
        }
        m_real.resize(users.workers);
        for (unsigned index = 0; index < classes; ++index) {
            const auto share = 0.03 + 0.3 * uniformReal(m_random) * uniformReal(m_random);
            WorkClass work;
            work.real = {users.size.processors * share,
                         users.size.memoryMib * share * (0.4 + 1.2 * uniformReal(m_random)),
                         index == 0 ? 1U : 0U};
            work.declared = scaled(work.real, std::pow(4, 2 * uniformReal(m_random) - 1));
            m_classes.push_back(std::move(work));
        }
    }

    Outcome run()
    {
        Outcome outcome;
        for (m_step = 0; m_step < steps; ++m_step) {
            finish();
            report();
            arrive();
            const auto before = steadyNow();
            place();
            outcome.passMs = std::max(outcome.passMs, toSeconds(steadyNow() - before) * 1000);
            account(outcome);
        }
        outcome.stranded /= steps;
        outcome.overfull /= steps;
        return outcome;
    }

private:
    Resources bookingOf(const WorkClass &work) const
    {
        if (!m_learned || work.processors.count() < 8) {
            return work.declared;
        }
        return {work.processors.highQuantile(), work.memory.highQuantile(),
                work.declared.accelerators};
    }

    void arrive()
    {
        const auto workers = static_cast<double>(m_rooms.size());
        for (double index = 0; index < arrivalsPerStep * workers; ++index) {
            const auto workClass = uniformBelow(m_random, classes);
            const auto waiting = std::count(m_queue.begin(), m_queue.end(), workClass);
            if (static_cast<double>(waiting) < longestQueue * workers) {
                m_queue.push_back(workClass);
            }
        }
    }

    void finish()
    {
        std::erase_if(m_running, [this](const Running &running) {
            if (running.ends > m_step) {
                return false;
            }
            add(m_rooms[running.worker].free, running.booked, 1);
            add(m_real[running.worker], m_classes[running.workClass].real, -1);
            return true;
        });
    }

    void report()
    {
        for (auto &running : m_running) {
            if (!running.reported && m_step - running.started >= reportLag) {
                running.reported = true;
                auto &work = m_classes[running.workClass];
                const auto noise = 0.9 + 0.2 * uniformReal(m_random);
                work.processors.add(work.real.processors * noise);
                work.memory.add(work.real.memoryMib * noise);
            }
        }
    }

    std::optional<std::size_t> choose(const Resources &booking) const
    {
        if (m_learned) {
            return bestFit(booking, m_rooms);
        }
        const auto found = std::find_if(m_rooms.begin(), m_rooms.end(),
                                        [&](const auto &room) { return fits(booking, room.free); });
        return found == m_rooms.end() ? std::nullopt
                                      : std::optional<std::size_t>(found - m_rooms.begin());
    }

    void place()
    {
        std::deque<std::uint32_t> waiting;
        // Work of a class that found no place in this pass finds none later in it either.
        std::vector<bool> full(classes, false);
        for (const auto workClass : m_queue) {
            if (full[workClass]) {
                waiting.push_back(workClass);
                continue;
            }
            const auto booking = bookingOf(m_classes[workClass]);
            const auto worker = choose(booking);
            if (!worker) {
                full[workClass] = true;
                waiting.push_back(workClass);
                continue;
            }
            add(m_rooms[*worker].free, booking, -1);
            add(m_real[*worker], m_classes[workClass].real, 1);
            m_running.push_back({*worker, workClass, m_step,
                                 m_step + 20 + uniformBelow(m_random, longestWork), booking});
        }
        m_queue = std::move(waiting);
    }

    void account(Outcome &outcome) const
    {
        double total = 0;
        double used = 0;
        double overfull = 0;
        for (std::size_t index = 0; index < m_rooms.size(); ++index) {
            const auto &size = m_rooms[index].total;
            total += size.processors;
            used += std::min(m_real[index].processors, size.processors);
            overfull += m_real[index].processors > size.processors * 1.01
                                        || m_real[index].memoryMib > size.memoryMib * 1.01
                                ? 1
                                : 0;
        }
        outcome.stranded += m_queue.empty() ? 0 : 1 - used / total;
        outcome.overfull += overfull / static_cast<double>(m_rooms.size());
    }

    static void add(Resources &to, const Resources &amount, int sign)
    {
        to.processors += sign * amount.processors;
        to.memoryMib += sign * amount.memoryMib;
        to.accelerators += static_cast<unsigned>(sign) * amount.accelerators;
    }

    const bool m_learned;
    Random m_random;
    unsigned m_step = 0;
    std::vector<WorkerRoom> m_rooms;
    // Real use by worker.
    std::vector<Resources> m_real;
    std::vector<WorkClass> m_classes;
    std::vector<Running> m_running;
    std::deque<std::uint32_t> m_queue;
};

void measure(const Users &users)
{
    const auto declared = PlacementRun(users, false, FLAGS_seed).run();
    const auto learned = PlacementRun(users, true, FLAGS_seed).run();
    print({"placement", users.name + ".stranded", learned.stranded, "share", declared.stranded, "",
           FLAGS_seed});
    print({"placement", users.name + ".overfull-workers", learned.overfull, "share",
           declared.overfull, "", FLAGS_seed});
    print({"placement", users.name + ".longest-pass", learned.passMs, "ms", declared.passMs, "< 50",
           FLAGS_seed});
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using cyclamenlatch::bench::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure({"fremantle", 50, {16, 65536, 0}, 5});
    measure({"bep-chung", 50, {32, 131072, 0}, 5});
    measure({"letter-1", 1300, {32, 131072, 0}, 475});
    return 0;
}
