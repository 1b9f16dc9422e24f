// "check": validates settings or a fleet document and reports every mistake.
#include "app/commands.h"
#include "app/entrysettings.h"
#include "app/internal/readfile.h"
#include "fleet/fleetyaml.h"

#include <iostream>
#include <utility>

namespace cyclamenlatch::app {

namespace {

// Entry settings have a top-level "entry"; a fleet document has none.
bool looksLikeSettings(const std::string &text)
{
    return text.starts_with("entry:") || text.find("\nentry:") != std::string::npos;
}

struct Findings
{
    std::vector<fleet::Mistake> mistakes;
    std::vector<fleet::Mistake> notices;
};

Findings checkSettings(const std::string &text)
{
    auto reading = readEntrySettings(text);
    const auto &operators = reading.settings.operators;
    if (reading.mistakes.empty() && operators && operators->tls) {
        const auto files = net::checkTlsFiles(*operators->tls);
        if (!files) {
            reading.mistakes.push_back({0, files.error().message, files.error().remedy});
        }
    }
    return {std::move(reading.mistakes), {}};
}

Findings check(const std::string &text)
{
    if (looksLikeSettings(text)) {
        return checkSettings(text);
    }
    auto reading = fleet::readFleet(text);
    return {std::move(reading.mistakes), std::move(reading.notices)};
}

} // namespace

int runCheck(int argc, char **argv)
{
    if (argc < 3) {
        std::cerr << "usage: cyclamenlatch check FILE...\n";
        return exitUsage;
    }
    int status = exitSuccess;
    for (int index = 2; index < argc; ++index) {
        const auto text = detail::readFile(argv[index]);
        if (!text) {
            std::cerr << text.error().toString() << "\n";
            status = exitFailure;
            continue;
        }
        const auto [mistakes, notices] = check(text.value());
        for (const auto &notice : notices) {
            std::cerr << argv[index] << ": note: " << notice.toString() << "\n";
        }
        for (const auto &mistake : mistakes) {
            std::cerr << argv[index] << ": " << mistake.toString() << "\n";
        }
        if (!mistakes.empty()) {
            status = exitFailure;
            continue;
        }
        std::cout << argv[index] << ": no mistakes\n";
    }
    return status;
}

} // namespace cyclamenlatch::app
