// The cases of this review that are scripts. lab CASE ROOT FOLDER plays a case and writes
// FOLDER/record.txt; exit status 1: the rule was broken, 0: it held, 2: the case couldn't run.
// TROUBLE=0 in the environment leaves the disruption out.
#include "fleet.h"

#include <cmath>
#include <iostream>

namespace lab {

enum Result { Held = 0, Broken = 1, NotRun = 2 };

Result report(Fleet &fleet, Result result, const std::string &text)
{
    const auto line = std::string(result == Held     ? "HELD: "
                                  : result == Broken ? "BROKEN: "
                                                     : "NOT RUN: ")
                      + text;
    fleet.journal.line(line);
    std::cout << line << std::endl;
    return result;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// The open connections of the owning machine to the store go silent, and a running job is
// cancelled right then.
awaitable<Result> silentOwner(Fleet &fleet)
{
    fleet.addCloud();
    fleet.configure(configuration(5));
    for (int number = 0; number < 4; ++number) {
        fleet.addMinion("svc", 16000);
    }
    fleet.addEntries(3);
    if (!co_await fleet.isUp()) {
        co_return report(fleet, NotRun, "the fleet did not come up");
    }
    co_await pause(Ms(2000));
    auto *owner = fleet.owner();
    auto &other = owner == &fleet.entries[0] ? fleet.entries[1] : fleet.entries[0];
    // A repeated job: an occurrence of one small task each 400 ms.
    const std::string job = "5c0e7a21d94b36f8";
    const std::string path = "/puxa400/" + job;
    const auto wallNow =
            std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch());
    const json body{
            {"spec", "work_ms=15000"},
            {"phases", {{{"count", 1}, {"cpu", 500}, {"mem_mb", 256}, {"estimated_ms", 15000}}}},
            {"repeat_count", 200},
            {"interval_ms", 400},
            {"start_at_ms", (wallNow + Ms(500)).count()}};
    const auto accepted = co_await fleet.client(other, "POST", path, body.dump());
    if (accepted.status != 200) {
        co_return report(fleet, NotRun, "the job was not accepted");
    }
    co_await pause(Ms(3000));
    // Clients ask for states at the same moment, as they do when a page is opened by many.
    constexpr int burst = 30;
    for (int round = 0; round < 2; ++round) {
        for (int number = 0; number < burst; ++number) {
            asio::co_spawn(fleet.context,
                           fleet.client(*owner, "GET", path, {}, "key-a", Ms(3000), true),
                           asio::detached);
        }
        co_await pause(Ms(500));
    }
    owner = fleet.owner();
    const auto silentAt = fleet.journal.now();
    if (hasTrouble()) {
        const auto count = fleet.store->silenceOpen(owner->storeIp);
        fleet.journal.line(std::to_string(count) + " open connections of " + owner->name
                           + " to the store go silent");
    }
    Response cancelled;
    for (int tries = 0; tries < 10 && cancelled.status != 200; ++tries) {
        cancelled = co_await fleet.client(other, "DELETE", path);
    }
    const auto cancelledAt = fleet.journal.now();
    if (cancelled.status != 200) {
        co_return report(fleet, NotRun, "the job could not be cancelled");
    }
    co_await pause(Ms(10000));
    const double bound = std::max(cancelledAt + Fleet::cancelMs, silentAt + Fleet::contactMs);
    std::size_t late = 0;
    double last = 0;
    for (const auto &minion : fleet.minions) {
        for (const auto &start : minion->starts) {
            last = std::max(last, start.at);
            late += start.at > bound ? 1 : 0;
        }
    }
    fleet.journal.line("last start " + std::to_string(last - cancelledAt)
                       + " ms after the cancel was acknowledged");
    co_return report(fleet, late > 0 ? Broken : Held,
                     std::to_string(late) + " tasks of the cancelled job started later than "
                             + std::to_string(std::lround(bound - cancelledAt))
                             + " ms after its cancelling was acknowledged; last start after "
                             + std::to_string(std::lround(last - cancelledAt)) + " ms");
}

// The operator lowers a tenant's cap; a job of it that fits under the cap comes while a lasting
// task of the same tenant holds less than half of it.
awaitable<Result> loweredCap(Fleet &fleet)
{
    fleet.addCloud();
    auto rules = configuration(5);
    rules["tenants"][0]["cap"]["cpu"] = 20000;
    fleet.configure(rules);
    for (int number = 0; number < 4; ++number) {
        fleet.addMinion("svc", 16000);
    }
    fleet.addEntries(3);
    if (!co_await fleet.isUp()) {
        co_return report(fleet, NotRun, "the fleet did not come up");
    }
    co_await pause(Ms(1000));
    const std::string lasting = "10000000000000a1";
    const json standing{{"spec", "lasts"},
                        {"phases",
                         {{{"count", 1},
                           {"cpu", 1500},
                           {"mem_mb", 8400},
                           {"estimated_ms", 500},
                           {"long_running", true}}}}};
    co_await fleet.client(fleet.entries[0], "POST", "/puxa400/" + lasting, standing.dump());
    co_await pause(Ms(2000));
    if (hasTrouble()) {
        rules["version"] = 9;
        rules["tenants"][0]["cap"]["cpu"] = 4000;
        fleet.configure(rules);
    }
    co_await pause(Ms(2000 + Fleet::configApplyMs));
    const std::string job = "10000000000000b2";
    const json small{
            {"spec", "work_ms=300"},
            {"phases", {{{"count", 1}, {"cpu", 3000}, {"mem_mb", 256}, {"estimated_ms", 300}}}}};
    const auto accepted =
            co_await fleet.client(fleet.entries[1], "POST", "/puxa400/" + job, small.dump());
    if (accepted.status != 200) {
        co_return report(fleet, NotRun, "the job was not accepted");
    }
    // The end of the traffic, and the three seconds of the rule.
    co_await pause(Ms(Fleet::finishMs + 3000));
    const auto state = co_await fleet.client(fleet.entries[2], "GET", "/puxa400/" + job);
    std::size_t starts = 0;
    std::size_t lastingRuns = 0;
    for (const auto &minion : fleet.minions) {
        lastingRuns += minion->runs(lasting) ? 1 : 0;
        for (const auto &start : minion->starts) {
            starts += start.task.starts_with(job) ? 1 : 0;
        }
    }
    if (lastingRuns != 1) {
        co_return report(fleet, NotRun, "the lasting task does not run");
    }
    co_return report(fleet, starts == 0 ? Broken : Held,
                     "the job has started " + std::to_string(starts)
                             + " times 17 s after the end of the traffic and is shown as "
                             + state.body
                             + "; its tenant has 1,500 of a cap of 4,000 in use, the service "
                               "1,500 of 64,000");
}

// A job whose tasks last, one on a minion.
json standingJob(int count)
{
    return {{"spec", "lasts"},
            {"phases",
             {{{"count", count},
               {"cpu", 4500},
               {"mem_mb", 8400},
               {"estimated_ms", 500},
               {"long_running", true},
               {"anti_affinity", 1}}}}};
}

// Large jobs come at once: a job whose queue needs advice, and standing ones that fill the minions
// that the advice service is asked about.
awaitable<Result> filledAdvice(Fleet &fleet)
{
    fleet.addCloud();
    auto rules = configuration(5);
    auto advised = rules["routes"][0];
    advised["name"] = "r-2";
    advised["prefix"] = "/kalo37d/";
    advised["recommendation"] = {{"decision_ms", 400}, {"per_worker_ms", 10}, {"valid_ms", 60000}};
    rules["routes"].push_back(advised);
    fleet.configure(rules);
    fleet.addAdvice([&fleet](Request request) -> awaitable<Response> {
        const auto body = json::parse(request.body);
        fleet.journal.line("advice asked: " + request.body);
        const auto &workers = body.at("workers");
        co_await pause(Ms(400 + 10 * static_cast<int>(workers.size())));
        json approved = json::array();
        for (const auto &worker : workers) {
            approved.push_back({worker, "ticket-" + worker.get<std::string>()});
        }
        const json answer{{"approved", approved}, {"valid_ms", 60000}};
        fleet.journal.line("advice given: " + answer.dump());
        co_return Response{200, answer.dump()};
    });
    for (int number = 0; number < 9; ++number) {
        fleet.addMinion("svc", 32000);
    }
    fleet.addEntries(3);
    if (!co_await fleet.isUp()) {
        co_return report(fleet, NotRun, "the fleet did not come up");
    }
    co_await pause(Ms(1500));
    const std::string job = "10000000000000c3";
    const json large{
            {"spec", "work_ms=500"},
            {"phases", {{{"count", 1}, {"cpu", 15000}, {"mem_mb", 8400}, {"estimated_ms", 500}}}}};
    const auto accepted =
            co_await fleet.client(fleet.entries[1], "POST", "/kalo37d/" + job, large.dump());
    if (accepted.status != 200) {
        co_return report(fleet, NotRun, "the job was not accepted");
    }
    for (int number = 0; hasTrouble() && number < 4; ++number) {
        asio::co_spawn(fleet.context,
                       fleet.client(fleet.entries[2], "POST",
                                    "/puxa400/10000000000000d" + std::to_string(number),
                                    standingJob(3).dump()),
                       asio::detached);
    }
    co_await pause(Ms(Fleet::finishMs + 3000));
    const auto state = co_await fleet.client(fleet.entries[0], "GET", "/kalo37d/" + job);
    std::size_t starts = 0;
    std::size_t idle = 0;
    for (const auto &minion : fleet.minions) {
        idle += minion->running() == 0 ? 1 : 0;
        for (const auto &start : minion->starts) {
            starts += start.task.starts_with(job) ? 1 : 0;
        }
    }
    co_return report(fleet, starts == 0 ? Broken : Held,
                     "the job has started " + std::to_string(starts)
                             + " times 17 s after the end of the traffic and is shown as "
                             + state.body + "; " + std::to_string(idle)
                             + " of 9 minions run nothing, and the advice service approves all");
}

// A client hands in a repeated job whose first time lies a day back.
awaitable<Result> overdueJob(Fleet &fleet)
{
    fleet.addCloud();
    fleet.configure(configuration(5));
    for (int number = 0; number < 4; ++number) {
        fleet.addMinion("svc", 16000);
    }
    fleet.addEntries(3);
    if (!co_await fleet.isUp()) {
        co_return report(fleet, NotRun, "the fleet did not come up");
    }
    asio::co_spawn(fleet.context, fleet.keepUp(), asio::detached);
    co_await pause(Ms(1500));
    constexpr std::int64_t day = 24 * 60 * 60 * 1000;
    const auto wallNow =
            std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
    const json repeated{
            {"spec", "work_ms=300"},
            {"phases", {{{"count", 24}, {"cpu", 500}, {"mem_mb", 256}, {"estimated_ms", 300}}}},
            {"repeat_count", hasTrouble() ? 86400 : 8},
            {"interval_ms", 1000},
            {"start_at_ms", wallNow - day}};
    const auto accepted = co_await fleet.client(fleet.entries[1], "POST",
                                                "/puxa400/10000000000000a7", repeated.dump());
    if (accepted.status != 200) {
        co_return report(fleet, hasTrouble() ? Held : NotRun,
                         "the repeated job was not accepted: " + std::to_string(accepted.status));
    }
    co_await pause(Ms(4000));
    // An ordinary job of another client.
    const std::string job = "10000000000000b8";
    const json small{
            {"spec", "work_ms=300"},
            {"phases", {{{"count", 4}, {"cpu", 500}, {"mem_mb", 256}, {"estimated_ms", 300}}}}};
    Response taken;
    for (std::size_t tries = 0; tries < 12 && taken.status != 200; ++tries) {
        taken = co_await fleet.client(fleet.entries[tries % 3], "POST", "/puxa400/" + job,
                                      small.dump());
        co_await pause(Ms(300));
    }
    if (taken.status != 200) {
        co_return report(fleet, NotRun, "the ordinary job was not accepted");
    }
    co_await pause(Ms(Fleet::finishMs + 3000));
    Response state;
    for (std::size_t tries = 0; tries < 12 && state.status != 200; ++tries) {
        state = co_await fleet.client(fleet.entries[tries % 3], "GET", "/puxa400/" + job);
        co_await pause(Ms(300));
    }
    std::size_t starts = 0;
    std::size_t others = 0;
    for (const auto &minion : fleet.minions) {
        for (const auto &start : minion->starts) {
            (start.task.starts_with(job) ? starts : others) += 1;
        }
    }
    std::string ends;
    for (const auto &entry : fleet.entries) {
        ends += entry.name + " " + std::to_string(entry.ends) + " times ("
                + std::to_string(entry.peakMb) + " MB at most), ";
    }
    co_return report(fleet, starts == 0 ? Broken : Held,
                     "17 s after the end of the traffic the ordinary job has started "
                             + std::to_string(starts) + " tasks and is shown as " + state.body
                             + ", the repeated one has started " + std::to_string(others)
                             + "; processes were ended for their memory: " + ends
                             + "memory_mb is 260");
}

awaitable<Result> play(const std::string &name, Fleet &fleet)
{
    if (name == "silent-owner") {
        co_return co_await silentOwner(fleet);
    }
    if (name == "lowered-cap") {
        co_return co_await loweredCap(fleet);
    }
    if (name == "filled-advice") {
        co_return co_await filledAdvice(fleet);
    }
    if (name == "overdue-job") {
        co_return co_await overdueJob(fleet);
    }
    co_return NotRun;
}

} // namespace lab

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "lab CASE ROOT FOLDER\n";
        return lab::NotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    int result = lab::NotRun;
    try {
        asio::io_context context{1};
        lab::Fleet fleet(context, argv[2], argv[3]);
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const auto &, int) { context.stop(); });
        asio::co_spawn(context, lab::play(argv[1], fleet),
                       [&](const std::exception_ptr &error, lab::Result value) {
                           result = error ? lab::NotRun : value;
                           context.stop();
                       });
        context.run();
        // For a look at what the entries have logged.
        if (const char *folder = std::getenv("LAB_LOGS")) {
            for (const auto &entry : fleet.entries) {
                std::ofstream(std::string(folder) + "/" + entry.name + ".log")
                        << fleet.entryLog(entry);
            }
        }
    } catch (const std::exception &error) {
        std::cerr << "lab: " << error.what() << "\n";
        return lab::NotRun;
    }
    return result;
}
