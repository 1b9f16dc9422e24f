// The operators' commands: get, apply, diff, key, worker, workspace, limit, entry and status.
#include "app/commands.h"
#include "app/internal/operatorclient.h"
#include "app/internal/readfile.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

DEFINE_int64(from, -1, "apply: revision that the document was made from; default: its first line");

namespace cyclamenlatch::app {

namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;

constexpr std::string_view revisionLine = "# revision: ";

struct OperatorCommand
{
    // The words that choose the command, such as "key give".
    std::string_view words;
    std::string_view arguments;
    std::size_t minArguments;
    int (*run)(const Arguments &);
};

int fail(const Error &error)
{
    std::cerr << error.toString() << "\n";
    return exitFailure;
}

int runGet(const Arguments &)
{
    const auto answer = detail::askEntry("GET", "/v1/fleet");
    return detail::showAnswer(answer, [](const json &body) {
        std::cout << revisionLine << body.value("revision", 0) << "\n"
                  << body.value("document", "");
    });
}

std::optional<std::int64_t> revisionOf(const std::string &document)
{
    if (FLAGS_from >= 0) {
        return FLAGS_from;
    }
    if (!document.starts_with(revisionLine)) {
        return std::nullopt;
    }
    return std::strtoll(document.c_str() + revisionLine.size(), nullptr, 10);
}

// What was accepted but can't be met.
void showNotices(const json &body)
{
    for (const auto &notice : body.value("notices", json::array())) {
        std::cout << fmt::format("note: line {}: {}; {}\n", notice.value("line", 0),
                                 notice.value("message", ""), notice.value("remedy", ""));
    }
}

void showAccepted(const json &body)
{
    showNotices(body);
    std::cout << fmt::format("accepted as revision {}; in force at {}\n", body.value("revision", 0),
                             detail::spreadText(body["spread"]));
}

int runApply(const Arguments &arguments)
{
    const auto document = detail::readFile(arguments[0]);
    if (!document) {
        return fail(document.error());
    }
    const auto from = revisionOf(document.value());
    if (!from) {
        return fail({ErrorKind::InvalidInput, "the document doesn't say which revision it changes",
                     "start from \"cyclamenlatch get\", or name it with --from (0: the first)"});
    }
    const auto answer =
            detail::askEntry("PUT", fmt::format("/v1/fleet?from={}", *from), document.value());
    return detail::showAnswer(answer, [](const json &body) { showAccepted(body); });
}

int runDiff(const Arguments &arguments)
{
    const auto document = detail::readFile(arguments[0]);
    if (!document) {
        return fail(document.error());
    }
    const auto answer = detail::askEntry("POST", "/v1/fleet/diff", document.value());
    return detail::showAnswer(answer, [](const json &body) {
        for (const auto &change : body["changes"]) {
            std::cout << fmt::format("{} {} {}\n", change.value("kind", ""),
                                     change.value("section", ""), change.value("name", ""));
            if (!change.value("before", "").empty()) {
                std::cout << "  - " << change.value("before", "") << "\n";
            }
            if (!change.value("after", "").empty()) {
                std::cout << "  + " << change.value("after", "") << "\n";
            }
        }
        showNotices(body);
    });
}

int runKeyGive(const Arguments &arguments)
{
    const json request{{"workspace", arguments[0]}, {"name", arguments[1]}};
    const auto answer = detail::askEntry("POST", "/v1/keys", request.dump());
    return detail::showAnswer(answer, [](const json &body) {
        std::cout << body.value("key", "") << "\n";
        showAccepted(body);
    });
}

int runKeyWithdraw(const Arguments &arguments)
{
    const auto answer = detail::askEntry("DELETE", "/v1/keys/" + arguments[0]);
    return detail::showAnswer(answer, [](const json &body) {
        std::cout << fmt::format("withdrawn: {} ({})\n", body.value("message", ""),
                                 detail::spreadText(body["spread"]));
    });
}

int changeWorker(const std::string &worker, const json &change)
{
    const auto answer = detail::askEntry("POST", "/v1/workers/" + worker, change.dump());
    return detail::showAnswer(answer, [](const json &body) { showAccepted(body); });
}

int runWorkerLabel(const Arguments &arguments)
{
    json labels = json::object();
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const auto &text = arguments[index];
        const auto equals = text.find('=');
        if (equals != std::string::npos) {
            labels[text.substr(0, equals)] = text.substr(equals + 1);
        } else if (text.ends_with('-')) {
            labels[text.substr(0, text.size() - 1)] = nullptr;
        } else {
            return fail({ErrorKind::InvalidInput, fmt::format("\"{}\" is no label change", text),
                         "write label=value to set a label or label- to remove it"});
        }
    }
    return changeWorker(arguments[0], {{"labels", labels}});
}

int runWorkspaceList(const Arguments &)
{
    const auto answer = detail::askEntry("GET", "/v1/workspaces");
    return detail::showAnswer(answer, [](const json &body) {
        for (const auto &workspace : body["workspaces"]) {
            std::cout << fmt::format("{:<20} weight {:<6} limit {:<6} keys {}\n",
                                     workspace.value("name", ""), workspace.value("weight", 0.0),
                                     workspace.value("limit", 0), workspace["keys"].dump());
        }
    });
}

std::string inForceText(const json &limit)
{
    if (limit.value("inForce", false)) {
        return "in force";
    }
    return fmt::format("pending, {} out", limit.value("out", 0U));
}

int runLimitList(const Arguments &)
{
    const auto answer = detail::askEntry("GET", "/v1/limits");
    return detail::showAnswer(answer, [](const json &body) {
        for (const auto &limit : body.at("limits")) {
            std::cout << fmt::format("{:<20} limit {:<6} {}, locked {}\n",
                                     limit.value("workspace", ""), limit.value("limit", 0U),
                                     inForceText(limit), limit.value("locked", 0U));
            for (const auto &dataCentre : limit.at("dataCentres")) {
                std::cout << fmt::format(
                        "  {:<18} held {:<7} used {}\n", dataCentre.value("dataCentre", ""),
                        dataCentre.value("held", 0U), dataCentre.value("used", 0U));
            }
        }
        const auto silent = body.value("silent", std::vector<std::string>());
        if (!silent.empty()) {
            std::cout << fmt::format("not counted, no answer: {}\n", fmt::join(silent, ", "));
        }
    });
}

int runEntryList(const Arguments &)
{
    const auto answer = detail::askEntry("GET", "/v1/entries");
    return detail::showAnswer(answer, [](const json &body) {
        for (const auto &entry : body.at("entries")) {
            std::cout << fmt::format("{:<16} {:<10} {:<22} {}\n", entry.value("entry", ""),
                                     entry.value("dataCentre", ""), entry.value("address", ""),
                                     entry.value("state", ""));
        }
    });
}

// Says it again until the store holds it: the entry that was told may end before.
int sayGone(const json &subject)
{
    constexpr unsigned attempts = 20;
    constexpr std::chrono::milliseconds pause{250};
    for (unsigned attempt = 1; attempt <= attempts; ++attempt) {
        const auto answer = detail::askEntry("POST", "/v1/entries/gone", subject.dump());
        const bool recorded = answer && answer.value().body.value("recorded", false);
        const bool again = answer && answer.value().isSuccess() && !recorded;
        if (again && attempt < attempts) {
            std::this_thread::sleep_for(pause);
            continue;
        }
        bool unrecorded = false;
        const int status = detail::showAnswer(answer, [&](const json &body) {
            unrecorded = !recorded;
            if (unrecorded) {
                std::cerr << "noted, but not in the store yet; repeat the command until it is\n";
                return;
            }
            std::cout << fmt::format("recorded for {} registered lives; their units are free after "
                                     "the longest work\n",
                                     body.value("holders", 0U));
        });
        return unrecorded ? exitFailure : status;
    }
    return exitFailure;
}

int runEntryGone(const Arguments &arguments)
{
    return sayGone({{"entry", arguments[0]}});
}

int runDataCentreGone(const Arguments &arguments)
{
    return sayGone({{"dataCentre", arguments[0]}});
}

int runStatus(const Arguments &)
{
    const auto answer = detail::askEntry("GET", "/v1/status");
    return detail::showAnswer(answer, [](const json &body) {
        std::cout << fmt::format("revision {} in force at {}\n", body.value("revision", 0),
                                 detail::spreadText(body["spread"]));
        std::cout << "withdrawn keys known at " << detail::spreadText(body["withdrawnKeys"])
                  << "\n";
        if (!body.value("keyedWorkAdmitted", false)) {
            std::cout << "keyed work is refused here: the data centre is cut off\n";
        }
        if (body.contains("unready")) {
            std::cout << "not ready: " << body.value("unready", "") << "\n";
        }
    });
}

constexpr OperatorCommand commands[] = {
        {"get", "", 0, runGet},
        {"apply", "FILE", 1, runApply},
        {"diff", "FILE", 1, runDiff},
        {"key give", "WORKSPACE NAME", 2, runKeyGive},
        {"key withdraw", "NAME", 1, runKeyWithdraw},
        {"worker label", "NAME label=value label- ...", 2, runWorkerLabel},
        {"workspace list", "", 0, runWorkspaceList},
        {"limit list", "", 0, runLimitList},
        {"entry list", "", 0, runEntryList},
        {"entry gone", "NAME", 1, runEntryGone},
        {"datacentre gone", "NAME", 1, runDataCentreGone},
        {"status", "", 0, runStatus},
};

} // namespace

bool isOperatorCommand(std::string_view command)
{
    return std::any_of(std::begin(commands), std::end(commands), [command](const auto &known) {
        return known.words.substr(0, known.words.find(' ')) == command;
    });
}

int runOperator(int argc, char **argv)
{
    const Arguments words(argv + 1, argv + argc);
    for (const auto &command : commands) {
        const std::size_t count = command.words.find(' ') == std::string_view::npos ? 1 : 2;
        if (words.size() < count
            || command.words != (count == 1 ? words[0] : words[0] + " " + words[1])) {
            continue;
        }
        const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(count), words.end());
        if (arguments.size() < command.minArguments) {
            std::cerr << fmt::format("usage: cyclamenlatch {} {}\n", command.words,
                                     command.arguments);
            return exitUsage;
        }
        return command.run(arguments);
    }
    for (const auto &command : commands) {
        if (command.words.starts_with(words[0])) {
            std::cerr << fmt::format("usage: cyclamenlatch {} {}\n", command.words,
                                     command.arguments);
        }
    }
    return exitUsage;
}

} // namespace cyclamenlatch::app
