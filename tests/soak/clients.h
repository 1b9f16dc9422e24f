// The clients of a soak: they submit jobs with short, long and lasting tasks and ask for states.
#pragma once

#include "faults.h"
#include "verdict.h"

#include <string>
#include <vector>

namespace soak {

class Clients
{
public:
    Clients(review::World &world, Verdict &verdict, const Faults &faults)
        : m_world(world)
        , m_verdict(verdict)
        , m_faults(faults)
    {}
    // Submits jobs until the time is over.
    asio::awaitable<void> run(review::Milliseconds time);
    std::size_t accepted() const { return m_accepted.size(); }
    // Whether run() has ended.
    bool isDone() const { return m_isDone; }
    std::size_t completed() const { return m_completed; }
    // Asks for the states of all accepted jobs.
    asio::awaitable<void> countCompleted();

private:
    struct Step
    {
        int count = 0;
        std::int64_t milliseconds = 0;
        bool lasts = false;
    };
    std::vector<Step> drawSteps();
    asio::awaitable<void> submit(std::vector<Step> steps);
    review::Json jobOf(const std::vector<Step> &steps) const;
    int drawEntry();

    review::World &m_world;
    Verdict &m_verdict;
    const Faults &m_faults;
    std::vector<std::string> m_accepted;
    std::size_t m_completed = 0;
    int m_pending = 0;
    bool m_isDone = false;
};

// What a task of a job of these clients does.
review::Work workOf(const std::string &spec, const std::string &task);

} // namespace soak
