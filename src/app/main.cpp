// Chooses the command named on the command line.
#include "app/commands.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>
#include <string_view>

namespace {

constexpr const char *usage =
        "cyclamenlatch COMMAND [--flags]\n"
        "  serve --config FILE    run an entry\n"
        "  check FILE...          validate settings or fleet documents\n"
        "  job submit|show|cancel hand in and follow long-lived work\n"
        "  report                 service-level burn of the fleet\n"
        "  load --queue NAME ...  send requests and check every answer\n"
        "  wave VERB NAME ...     plan, start, pause, resume or show a wave\n"
        "  worker list|move ...   show workers, move one to a pool\n"
        "  worker label NAME label=value label- ...\n"
        "  get | apply FILE | diff FILE       the fleet document\n"
        "  key give WORKSPACE NAME | key withdraw NAME\n"
        "  workspace list | limit list | entry list | status\n"
        "  entry gone NAME | datacentre gone NAME   lost for good\n"
        "Operators' commands ask the entry of --operator_url (--operator_key, --ca_file).\n"
        "See cyclamenlatch --help for the flags.\n";

} // namespace

int main(int argc, char **argv)
{
    using namespace cyclamenlatch::app;
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);

    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "serve") {
        return runServe();
    }
    if (command == "check") {
        return runCheck(argc, argv);
    }
    if (command == "job") {
        return runJob(argc, argv);
    }
    if (command == "report") {
        return runReport();
    }
    if (command == "load") {
        return runLoad();
    }
    if (command == "wave") {
        return runWave(argc, argv);
    }
    if (command == "worker" && (argc < 3 || std::string_view(argv[2]) != "label")) {
        return runWorker(argc, argv);
    }
    if (isOperatorCommand(command)) {
        return runOperator(argc, argv);
    }
    std::cerr << usage;
    return exitUsage;
}
