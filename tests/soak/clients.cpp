// The clients of clients.h.
#include "clients.h"

#include <cstdio>
#include <functional>

namespace soak {

using review::Json;
using review::Milliseconds;

namespace {

constexpr int submitTries = 6;

std::string hexadecimal(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
    return text;
}

} // namespace

review::Work workOf(const std::string &spec, const std::string &task)
{
    const auto steps = Json::parse(spec).at("steps");
    const auto first = task.find('.');
    const auto second = task.find('.', first + 1);
    const auto step = std::stoul(task.substr(second + 1));
    const auto mean = steps.at(step).get<std::int64_t>();
    // From 0.75 to 1.25 of the mean, by the task's name.
    const auto share = 75 + static_cast<std::int64_t>(std::hash<std::string>{}(task) % 51);
    return {Milliseconds(mean * share / 100), false, mean == 0};
}

std::vector<Clients::Step> Clients::drawSteps()
{
    const auto kind = m_world.draw(1, 100);
    const Step brief{static_cast<int>(m_world.draw(3, 8)), m_world.draw(100, 600), false};
    const Step tedious{static_cast<int>(m_world.draw(4, 10)), m_world.draw(5000, 18000), false};
    if (kind <= 30) {
        return {brief, brief};
    }
    return kind <= 80 ? std::vector<Step>{tedious} : std::vector<Step>{brief, tedious};
}

Json Clients::jobOf(const std::vector<Step> &steps) const
{
    Json spec{{"steps", Json::array()}};
    Json phases = Json::array();
    for (const auto &step : steps) {
        spec["steps"].push_back(step.milliseconds);
        Json phase{{"count", step.count}, {"cpu", 1000}, {"mem_mb", 256}};
        if (step.lasts) {
            phase["long_running"] = true;
        } else {
            phase["estimated_ms"] = step.milliseconds;
        }
        if (!phases.empty()) {
            phase["after"] = {phases.size() - 1};
        }
        phases.push_back(std::move(phase));
    }
    return {{"spec", spec.dump()}, {"phases", phases}};
}

int Clients::drawEntry()
{
    const auto last = std::ssize(m_world.entries) - 1;
    for (int tries = 0; tries < 10; ++tries) {
        const int entry = static_cast<int>(m_world.draw(0, last));
        if (m_faults.isServing(entry)) {
            return entry;
        }
    }
    return 0;
}

asio::awaitable<void> Clients::submit(std::vector<Step> steps)
{
    const auto job = hexadecimal(m_world.random());
    std::vector<int> counts;
    counts.reserve(steps.size());
    for (const auto &step : steps) {
        counts.push_back(step.count);
    }
    m_verdict.expectSteps(job, counts);
    const auto body = jobOf(steps).dump();
    for (int tries = 0; tries < submitTries; ++tries) {
        const auto result =
                co_await m_world.ask(m_world.entry(drawEntry()), "POST", "/s1/" + job, body);
        if (result.answer && result.answer->status / 100 == 2) {
            m_accepted.push_back(job);
            break;
        }
        co_await m_world.sleep(Milliseconds(200));
    }
    --m_pending;
}

asio::awaitable<void> Clients::run(Milliseconds time)
{
    const auto end = review::Clock::now() + time;
    ++m_pending;
    const std::vector<Step> lasting(1, Step{12, 0, true});
    co_await submit(lasting);
    while (review::Clock::now() < end) {
        ++m_pending;
        asio::co_spawn(m_world.context, submit(drawSteps()), asio::detached);
        if (!m_accepted.empty() && m_world.draw(1, 3) == 1) {
            const auto &job = m_accepted.at(m_world.draw(0, std::ssize(m_accepted) - 1));
            co_await m_world.ask(m_world.entry(drawEntry()), "GET", "/s1/" + job);
        }
        co_await m_world.sleep(Milliseconds(m_world.draw(200, 700)));
    }
    while (m_pending > 0) {
        co_await m_world.sleep(Milliseconds(20));
    }
    m_isDone = true;
}

asio::awaitable<void> Clients::countCompleted()
{
    m_completed = 0;
    for (const auto &job : m_accepted) {
        const auto result = co_await m_world.ask(m_world.entry(drawEntry()), "GET", "/s1/" + job);
        if (result.answer && result.answer->body.find("\"completed\"") != std::string::npos) {
            ++m_completed;
        }
    }
}

} // namespace soak
