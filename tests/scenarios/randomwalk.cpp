// Chooses verbs at random and, at the end, heals everything and expects progress.
#include "tests/scenarios/randomwalk.h"

#include "tests/scenarios/world.h"

#include <fmt/format.h>

#include <array>

namespace cyclamenlatch::scenarios {

namespace {

constexpr const char *workspace = "drivers";
constexpr unsigned firstLimit = 12;
constexpr std::array dataCentres{"dc-a", "dc-b", "dc-c"};

// An action with the text that a scenario file would have.
struct Chosen
{
    Action action;
    std::string text;
};

class Walker
{
public:
    Walker(std::uint64_t seed, const World &world)
        : m_random(seed)
        , m_entries(world.entries())
    {}

    Chosen choose()
    {
        switch (uniformBelow(m_random, 15)) {
        case 0:
            return chooseCut();
        case 1:
            return chooseIsolation();
        case 2:
            return {HealStep{}, "heal: {}"};
        case 3:
            return chooseNetwork();
        case 4:
            return chooseStore();
        case 5:
        case 6:
            return chooseProcess();
        case 7:
            return chooseLimit();
        case 8:
        case 9:
            return chooseDemand();
        case 10:
            return {ApplyStep{}, "apply: {}"};
        case 11:
            return chooseWithdrawal();
        case 12:
        case 13:
            return chooseSubmission();
        default:
            return chooseRun();
        }
    }

private:
    std::uint32_t below(std::uint32_t bound) { return uniformBelow(m_random, bound); }
    std::string someDataCentre() { return dataCentres[below(dataCentres.size())]; }
    EntryId someEntry() { return m_entries[below(static_cast<std::uint32_t>(m_entries.size()))]; }

    Chosen chooseCut()
    {
        const auto from = someDataCentre();
        const auto to = below(4) == 0 ? VirtualNetwork::platformPlace : someDataCentre();
        const bool oneWay = below(2) == 0;
        return {CutStep{from, to, oneWay},
                fmt::format("cut: {{from: {}, to: {}, oneWay: {}}}", from, to, oneWay)};
    }

    Chosen chooseIsolation()
    {
        const auto dataCentre = someDataCentre();
        return {IsolateStep{dataCentre}, fmt::format("isolate: {{dataCentre: {}}}", dataCentre)};
    }

    Chosen chooseNetwork()
    {
        const NetworkStep step{below(40), below(30), std::chrono::milliseconds(below(400))};
        return {step, fmt::format("network: {{lossPercent: {}, repeatPercent: {}, maxDelayMs: {}}}",
                                  step.lossPercent, step.repeatPercent,
                                  toMilliseconds(step.maxDelay).count())};
    }

    Chosen chooseStore()
    {
        StoreStep step;
        step.down = below(3) == 0;
        step.stale = below(4) == 0;
        step.loseAnswersPercent = below(50);
        step.delay = std::chrono::milliseconds(below(1000));
        return {step, fmt::format("store: {{down: {}, stale: {}, loseAnswersPercent: {}, "
                                  "delayMs: {}}}",
                                  step.down, step.stale, step.loseAnswersPercent,
                                  toMilliseconds(step.delay).count())};
    }

    Chosen chooseProcess()
    {
        constexpr std::array<std::pair<ProcessVerb, const char *>, 5> verbs{{
                {ProcessVerb::Pause, "pause"},
                {ProcessVerb::Resume, "resume"},
                {ProcessVerb::Kill, "kill"},
                {ProcessVerb::Start, "start"},
                {ProcessVerb::Leave, "leave"},
        }};
        const auto &[verb, name] = verbs[below(verbs.size())];
        const auto target = below(6) == 0 ? someDataCentre() : someEntry().value();
        return {ProcessStep{verb, target}, fmt::format("{}: {{at: {}}}", name, target)};
    }

    Chosen chooseLimit()
    {
        const auto units = below(2 * firstLimit);
        return {LimitStep{workspace, units},
                fmt::format("limit: {{workspace: {}, units: {}}}", workspace, units)};
    }

    Chosen chooseDemand()
    {
        const auto entry = someEntry().value();
        const auto units = below(2 * firstLimit);
        return {DemandStep{entry, workspace, units},
                fmt::format("demand: {{at: {}, workspace: {}, units: {}}}", entry, workspace,
                            units)};
    }

    Chosen chooseWithdrawal()
    {
        // A withdrawal at an entry that does not run is no step.
        const auto key = fmt::format("k-{}", below(1000));
        const auto entry = someEntry();
        return {WithdrawStep{key, entry},
                fmt::format("withdraw: {{key: {}, at: {}}}", key, entry.value())};
    }

    Chosen chooseSubmission()
    {
        SubmitStep step;
        // Few names, so that callers often try again.
        step.key = fmt::format("r-{}", below(8));
        step.home = DataCentreId(someDataCentre());
        step.at = someEntry();
        step.work = std::chrono::milliseconds(below(3000));
        return {step,
                fmt::format("submit: {{key: {}, home: {}, at: {}, workMs: {}}}", step.key,
                            step.home.value(), step.at.value(), toMilliseconds(step.work).count())};
    }

    Chosen chooseRun()
    {
        const auto time = std::chrono::milliseconds(200 + below(6000));
        return {RunStep{time}, fmt::format("run: {{seconds: {}}}", toSeconds(time))};
    }

    Random m_random;
    std::vector<EntryId> m_entries;
};

// Puts everything back in order; then all units are usable again and one revision is in force.
std::vector<Action> recovery()
{
    return {
            HealStep{},
            NetworkStep{},
            StoreStep{},
            ProcessStep{ProcessVerb::Resume, ""},
            RunStep{std::chrono::seconds(15)},
            ProcessStep{ProcessVerb::Start, ""},
            ApplyStep{},
            LimitStep{workspace, firstLimit},
            DemandStep{"", workspace, firstLimit},
            RunStep{std::chrono::seconds(40)},
            ExpectInForce{},
            ExpectLimitInForce{workspace},
            // Three quarters of the limit: work that just ended may not be replaced yet.
            ExpectRunning{workspace, firstLimit * 3 / 4, firstLimit},
    };
}

} // namespace

std::optional<std::string> walkAtRandom(std::uint64_t seed, unsigned steps)
{
    Scenario scenario;
    scenario.name = "random walk";
    scenario.seed = seed;
    for (const auto *dataCentre : dataCentres) {
        scenario.dataCentres[dataCentre] = 2;
    }
    scenario.workspaces[workspace] = firstLimit;

    World world(scenario);
    Walker walker(seed, world);
    std::string history;
    const auto explain = [&](const std::string &failure) {
        return fmt::format("seed {}: {}\nsteps:\n{}", seed, failure, history);
    };
    for (unsigned step = 0; step < steps; ++step) {
        const auto chosen = walker.choose();
        history += "  - " + chosen.text + "\n";
        const auto failure = world.perform(chosen.action);
        // Only a run checks invariants; other verbs fail when their target does not run.
        if (failure && std::holds_alternative<RunStep>(chosen.action)) {
            return explain(*failure);
        }
    }
    for (const auto &action : recovery()) {
        if (const auto failure = world.perform(action)) {
            return explain("after recovery: " + *failure);
        }
    }
    return std::nullopt;
}

} // namespace cyclamenlatch::scenarios
