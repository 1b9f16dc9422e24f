// The YAML form of scenarios: each step is a mapping with one verb.
#include "tests/scenarios/scenarioreader.h"

#include "fleet/yamlreader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>

namespace cyclamenlatch::scenarios {

namespace {

using fleet::Mistake;
using fleet::YamlReader;

constexpr unsigned maxUnits = 1000000;
constexpr unsigned maxEntries = 96;
constexpr unsigned maxWorkers = 200;

Duration milliseconds(unsigned count)
{
    return std::chrono::milliseconds(count);
}

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

Action readRun(YamlReader &reader)
{
    return RunStep{seconds(reader.number("seconds", 0, 0.05, 1e6))};
}

Action readCut(YamlReader &reader)
{
    CutStep step;
    step.from = reader.requiredText("from");
    step.to = reader.requiredText("to");
    step.oneWay = reader.flag("oneWay", false);
    return step;
}

Action readIsolate(YamlReader &reader)
{
    return IsolateStep{reader.requiredText("dataCentre")};
}

Action readHeal(YamlReader &)
{
    return HealStep{};
}

Action readNetwork(YamlReader &reader)
{
    NetworkStep step;
    step.lossPercent = reader.count("lossPercent", 0, 0, 100);
    step.repeatPercent = reader.count("repeatPercent", 0, 0, 100);
    step.maxDelay = milliseconds(reader.count("maxDelayMs", 0, 0, 60000));
    return step;
}

Action readStore(YamlReader &reader)
{
    StoreStep step;
    step.down = reader.flag("down", false);
    step.stale = reader.flag("stale", false);
    step.loseAnswersPercent = reader.count("loseAnswersPercent", 0, 0, 100);
    step.delay = milliseconds(reader.count("delayMs", 0, 0, 60000));
    return step;
}

template<ProcessVerb verb>
Action readProcess(YamlReader &reader)
{
    return ProcessStep{verb, reader.requiredText("at")};
}

Action readLimit(YamlReader &reader)
{
    LimitStep step;
    step.workspace = reader.requiredText("workspace");
    step.units = reader.count("units", 0, 0, maxUnits);
    return step;
}

Action readDemand(YamlReader &reader)
{
    DemandStep step;
    step.place = reader.text("at", "");
    step.workspace = reader.requiredText("workspace");
    step.units = reader.count("units", 0, 0, maxUnits);
    return step;
}

Action readApply(YamlReader &reader)
{
    return ApplyStep{EntryId(reader.text("at", ""))};
}

Action readWithdraw(YamlReader &reader)
{
    WithdrawStep step;
    step.key = reader.requiredText("key");
    step.at = EntryId(reader.requiredText("at"));
    return step;
}

Action readSubmit(YamlReader &reader)
{
    SubmitStep step;
    step.key = reader.requiredText("key");
    step.home = DataCentreId(reader.requiredText("home"));
    step.at = EntryId(reader.requiredText("at"));
    step.work = milliseconds(reader.count("workMs", 100, 0, 600000));
    return step;
}

template<bool admitted>
Action readExpectAdmission(YamlReader &reader)
{
    ExpectAdmission step;
    step.key = reader.requiredText("key");
    step.at = EntryId(reader.requiredText("at"));
    step.admitted = admitted;
    return step;
}

Action readExpectRunning(YamlReader &reader)
{
    ExpectRunning step;
    step.workspace = reader.requiredText("workspace");
    step.least = reader.count("least", 0, 0, maxUnits);
    step.most = reader.count("most", maxUnits, 0, maxUnits);
    return step;
}

Action readExpectInForce(YamlReader &reader)
{
    return ExpectInForce{reader.text("at", "")};
}

Action readExpectLimitInForce(YamlReader &reader)
{
    return ExpectLimitInForce{reader.requiredText("workspace")};
}

Action readExpectRuns(YamlReader &reader)
{
    ExpectRuns step;
    step.key = reader.requiredText("key");
    step.least = reader.count("least", 0, 0, maxUnits);
    step.most = reader.count("most", 1, 0, maxUnits);
    return step;
}

Action readWave(YamlReader &reader)
{
    WaveStep step;
    step.name = reader.requiredText("name");
    step.pool = reader.text("pool", "");
    step.perRack = reader.count("perRack", 0, 0, maxUnits);
    step.reserve = reader.count("reserve", 0, 0, maxUnits);
    step.failuresToPause = reader.count("failuresToPause", 3, 1, maxUnits);
    step.rebootDeadline = milliseconds(reader.count("rebootDeadlineMs", 30000, 0, 3600000));
    step.slowStart = milliseconds(reader.count("slowStartMs", 1000, 0, 600000));
    return step;
}

template<WaveVerb verb>
Action readWaveChange(YamlReader &reader)
{
    return WaveChangeStep{verb, reader.requiredText("name")};
}

Action readHostFailure(YamlReader &reader)
{
    HostFailureStep step;
    step.worker = WorkerId(reader.requiredText("worker"));
    step.time = seconds(reader.number("seconds", 5, 0.05, 1e6));
    return step;
}

template<bool returns>
Action readHostReturn(YamlReader &reader)
{
    return HostReturnStep{WorkerId(reader.requiredText("worker")), returns};
}

Action readMove(YamlReader &reader)
{
    MoveStep step;
    step.worker = WorkerId(reader.requiredText("worker"));
    step.pool = PoolId(reader.requiredText("pool"));
    step.at = EntryId(reader.requiredText("at"));
    return step;
}

Action readExpectWave(YamlReader &reader)
{
    return ExpectWave{reader.requiredText("name"), reader.requiredText("state")};
}

Action readExpectHost(YamlReader &reader)
{
    ExpectHost step;
    step.wave = reader.requiredText("wave");
    step.worker = WorkerId(reader.requiredText("worker"));
    step.step = reader.requiredText("step");
    return step;
}

Action readExpectReboots(YamlReader &reader)
{
    ExpectReboots step;
    step.wave = reader.requiredText("wave");
    step.least = reader.count("least", 0, 0, maxUnits);
    step.most = reader.count("most", maxUnits, 0, maxUnits);
    return step;
}

Action readExpectPool(YamlReader &reader)
{
    ExpectPool step;
    step.worker = WorkerId(reader.requiredText("worker"));
    step.pool = PoolId(reader.requiredText("pool"));
    return step;
}

struct Verb
{
    const char *name;
    Action (*read)(YamlReader &);
};

constexpr std::array verbs{
        Verb{"run", &readRun},
        Verb{"cut", &readCut},
        Verb{"isolate", &readIsolate},
        Verb{"heal", &readHeal},
        Verb{"network", &readNetwork},
        Verb{"store", &readStore},
        Verb{"pause", &readProcess<ProcessVerb::Pause>},
        Verb{"resume", &readProcess<ProcessVerb::Resume>},
        Verb{"kill", &readProcess<ProcessVerb::Kill>},
        Verb{"start", &readProcess<ProcessVerb::Start>},
        Verb{"leave", &readProcess<ProcessVerb::Leave>},
        Verb{"limit", &readLimit},
        Verb{"demand", &readDemand},
        Verb{"apply", &readApply},
        Verb{"withdraw", &readWithdraw},
        Verb{"submit", &readSubmit},
        Verb{"wave", &readWave},
        Verb{"pauseWave", &readWaveChange<WaveVerb::Pause>},
        Verb{"resumeWave", &readWaveChange<WaveVerb::Resume>},
        Verb{"failHost", &readHostFailure},
        Verb{"holdHost", &readHostReturn<false>},
        Verb{"returnHost", &readHostReturn<true>},
        Verb{"move", &readMove},
        Verb{"expectAdmitted", &readExpectAdmission<true>},
        Verb{"expectRefused", &readExpectAdmission<false>},
        Verb{"expectRunning", &readExpectRunning},
        Verb{"expectInForce", &readExpectInForce},
        Verb{"expectLimitInForce", &readExpectLimitInForce},
        Verb{"expectRuns", &readExpectRuns},
        Verb{"expectWave", &readExpectWave},
        Verb{"expectHost", &readExpectHost},
        Verb{"expectReboots", &readExpectReboots},
        Verb{"expectPool", &readExpectPool},
};

std::string verbNames()
{
    std::vector<std::string> names;
    names.reserve(verbs.size());
    for (const auto &verb : verbs) {
        names.emplace_back(verb.name);
    }
    return fmt::format("{}", fmt::join(names, ", "));
}

void readStep(const YAML::Node &node, std::vector<Mistake> &mistakes, std::vector<Step> &steps)
{
    const int line = node.Mark().line + 1;
    if (!node.IsMap() || node.size() != 1) {
        mistakes.push_back({line, "a step is not one verb with its fields",
                            "write it as \"- verb: {field: value}\""});
        return;
    }
    const auto name = node.begin()->first.Scalar();
    for (const auto &verb : verbs) {
        if (name == verb.name) {
            YamlReader reader(node.begin()->second, name, mistakes);
            auto action = verb.read(reader);
            reader.refuseUnknownFields();
            steps.push_back({line, std::move(action)});
            return;
        }
    }
    mistakes.push_back({line, fmt::format("\"{}\" is no verb", name),
                        fmt::format("use one of: {}", verbNames())});
}

std::map<std::string, unsigned> readCounts(YamlReader &root, const std::string &field,
                                           unsigned most, std::vector<Mistake> &mistakes)
{
    std::map<std::string, unsigned> counts;
    const auto node = root.child(field);
    if (!node.IsDefined()) {
        return counts;
    }
    YamlReader reader(node, field, mistakes);
    for (const auto &pair : node) {
        const auto name = pair.first.Scalar();
        counts[name] = reader.count(name, 1, 0, most);
    }
    return counts;
}

} // namespace

ScenarioReading readScenario(std::string_view yaml)
{
    ScenarioReading reading;
    auto &mistakes = reading.mistakes;
    try {
        const auto root = YAML::Load(std::string(yaml));
        YamlReader reader(root, "the scenario", mistakes);
        reading.scenario.name = reader.requiredText("name");
        reading.scenario.seed = reader.count("seed", 1, 0, 4000000000U);
        reading.scenario.knownRed = reader.text("knownRed", "");
        reading.scenario.dataCentres = readCounts(reader, "dataCentres", maxEntries, mistakes);
        reading.scenario.workspaces = readCounts(reader, "workspaces", maxUnits, mistakes);
        reading.scenario.pools = readCounts(reader, "pools", maxWorkers, mistakes);
        reading.scenario.maxUnavailable = reader.count("maxUnavailable", 1, 1, maxWorkers);
        const auto steps = reader.child("steps");
        if (!steps.IsDefined() || !steps.IsSequence()) {
            reader.addMistake(reader.line(), "the scenario has no list of steps",
                              "add \"steps:\" with one \"- verb: {...}\" per line");
        } else {
            for (const auto &node : steps) {
                readStep(node, mistakes, reading.scenario.steps);
            }
        }
        reader.refuseUnknownFields();
    } catch (const YAML::Exception &error) {
        mistakes.push_back({error.mark.line + 1, error.msg, "correct the YAML there"});
    }
    return reading;
}

} // namespace cyclamenlatch::scenarios
