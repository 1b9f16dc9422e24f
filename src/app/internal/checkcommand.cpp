// "check": validates settings or a fleet document and reports every mistake.
#include "app/commands.h"
#include "app/entrysettings.h"
#include "app/internal/readfile.h"
#include "fleet/fleetyaml.h"

#include <iostream>

namespace cyclamenlatch::app {

namespace {

// Entry settings have a top-level "entry"; a fleet document has none.
bool looksLikeSettings(const std::string &text)
{
    return text.starts_with("entry:") || text.find("\nentry:") != std::string::npos;
}

std::vector<fleet::Mistake> mistakesInSettings(const std::string &text)
{
    auto reading = readEntrySettings(text);
    const auto &operators = reading.settings.operators;
    if (!reading.mistakes.empty() || !operators || !operators->tls) {
        return reading.mistakes;
    }
    const auto files = net::checkTlsFiles(*operators->tls);
    if (!files) {
        reading.mistakes.push_back({0, files.error().message, files.error().remedy});
    }
    return reading.mistakes;
}

std::vector<fleet::Mistake> mistakesIn(const std::string &text)
{
    return looksLikeSettings(text) ? mistakesInSettings(text) : fleet::readFleet(text).mistakes;
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
        const auto mistakes = mistakesIn(text.value());
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
