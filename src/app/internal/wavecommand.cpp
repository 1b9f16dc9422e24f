// "wave": plans, starts, pauses, resumes and shows maintenance waves.
#include "app/commands.h"
#include "app/internal/operatorclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <string>

DEFINE_string(selector, "", "wave plan, wave start: workers to take; empty: all");
DEFINE_string(output, "text", "text or json; report: also html");
DEFINE_int32(per_rack, 0, "wave: workers of one rack that may be out at once; 0: no bound");
DEFINE_int32(reserve, 0, "wave: places of each budget that are left free for failures");
DEFINE_int32(reboot_deadline_ms, 900000, "wave: a host not back by then is set aside");
DEFINE_int32(slow_start_ms, 10000, "wave: time in which load returns to a host");
DEFINE_int32(failures_to_pause, 3, "wave: failures close together that pause it");
DEFINE_double(roll_out_weight, 1, "wave: weight of a short roll-out");
DEFINE_double(moves_weight, 1, "wave: weight of disturbing few racks");

namespace cyclamenlatch::app {

namespace {

using nlohmann::json;

constexpr const char *waveUsage =
        "cyclamenlatch wave plan|start|pause|resume NAME [--selector S] [--flags]\n"
        "cyclamenlatch wave status [NAME]\n";

json commandBody(const std::string &wave)
{
    return {{"wave", wave},
            {"selector", FLAGS_selector},
            {"perRack", FLAGS_per_rack},
            {"reserve", FLAGS_reserve},
            {"rebootDeadlineMs", FLAGS_reboot_deadline_ms},
            {"slowStartMs", FLAGS_slow_start_ms},
            {"failuresToPause", FLAGS_failures_to_pause},
            {"rollOutWeight", FLAGS_roll_out_weight},
            {"movesWeight", FLAGS_moves_weight}};
}

void printProgress(const json &wave)
{
    const auto count = [&](const char *field) { return wave.value(field, 0U); };
    std::cout << fmt::format("{}: {}{}{}\n", wave.value("wave", ""), wave.value("state", ""),
                             wave.value("reason", "").empty() ? "" : ", ",
                             wave.value("reason", ""));
    if (!wave.contains("hosts")) {
        return;
    }
    std::cout << fmt::format("  {} of {} done, {} under way, {} set aside, about {} s left\n",
                             count("done"), count("hosts"), count("underWay"), count("setAside"),
                             wave.value("remainingMs", 0L) / 1000);
    for (const auto &host : wave.value("now", json::array())) {
        std::cout << fmt::format("  {} {} {}\n", host.value("worker", ""), host.value("step", ""),
                                 host.value("note", ""));
    }
    for (const auto &wait : wave.value("waitsFor", json::array())) {
        const auto entry = wait.value("entry", "");
        std::cout << fmt::format(
                "  hosts of {} wait for the entry {}, which does not answer: start "
                "it, or, if its process has ended for good, say: entry gone {}\n",
                wait.value("dataCentre", ""), entry, entry);
    }
    for (const auto &host : wave.value("order", json::array())) {
        std::cout << "  " << host.get<std::string>() << "\n";
    }
}

int printAnswer(const Result<detail::OperatorAnswer> &answer)
{
    return detail::showItems(answer, "waves", printProgress);
}

} // namespace

int runWave(int argc, char **argv)
{
    const std::string verb = argc > 2 ? argv[2] : "";
    const std::string wave = argc > 3 ? argv[3] : "";
    if (verb == "status") {
        const auto path = wave.empty() ? "/v1/waves" : "/v1/waves/" + wave;
        return printAnswer(detail::askEntry("GET", path));
    }
    const bool known = verb == "plan" || verb == "start" || verb == "pause" || verb == "resume";
    if (!known || wave.empty()) {
        std::cerr << waveUsage;
        return exitUsage;
    }
    return printAnswer(detail::askEntry("POST", "/v1/waves/" + verb, commandBody(wave).dump()));
}

} // namespace cyclamenlatch::app
