// "job submit|show|cancel": long-lived jobs through an entry's callers' interface.
#include "app/commands.h"
#include "app/internal/operatorclient.h"
#include "app/internal/readfile.h"
#include "net/sendandwait.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string_view>

DECLARE_string(queue);
DECLARE_string(key);
DECLARE_string(output);
DEFINE_string(caller_url, "http://127.0.0.1:8101", "job: an entry's address for callers");
DEFINE_string(workspace, "", "job cancel: cancel all jobs of this workspace");
DEFINE_string(body, "", "job submit: the job's body");
DEFINE_string(body_file, "", "job submit: file with the job's body");
DEFINE_string(idempotency_key, "", "job submit: the same key gives the same job");
DEFINE_double(processors, 1, "job submit: cores that the job needs");
DEFINE_double(memory_mib, 0, "job submit: memory that the job needs, in MiB");
DEFINE_int32(accelerators, 0, "job submit: accelerators that the job needs");

namespace cyclamenlatch::app {

namespace {

constexpr std::chrono::milliseconds callTimeout{10000};

int sendAndPrint(net::HttpCall call)
{
    call.headers.add("Authorization", "Bearer " + FLAGS_key);
    call.timeout = callTimeout;
    net::HttpClient http;
    const auto result = net::sendAndWait(http, std::move(call));
    if (!result.reply) {
        std::cerr << "no answer from " << FLAGS_caller_url << ": " << result.failure << "\n";
        return exitFailure;
    }
    const auto &reply = *result.reply;
    const bool good = reply.status == 200 || reply.status == 202;
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    if (FLAGS_output == "json" || !body.is_object()) {
        std::cout << reply.body << "\n";
    } else if (good) {
        std::cout << fmt::format("{}  {}  attempt {}  {}  {}\n", body.value("id", ""),
                                 body.value("state", ""), body.value("attempt", 0),
                                 body.value("worker", ""), body.value("reason", ""));
    } else {
        std::cerr << fmt::format("{}; {}\n", body.value("title", ""), body.value("remedy", ""));
    }
    return good ? exitSuccess : exitFailure;
}

int submitJob()
{
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("{}/v1/queues/{}/jobs", FLAGS_caller_url, FLAGS_queue);
    call.headers.add("Job-Processors", fmt::format("{}", FLAGS_processors));
    call.headers.add("Job-Memory-Mib", fmt::format("{}", FLAGS_memory_mib));
    call.headers.add("Job-Accelerators", fmt::format("{}", FLAGS_accelerators));
    if (!FLAGS_idempotency_key.empty()) {
        call.headers.add("Idempotency-Key", FLAGS_idempotency_key);
    }
    call.body = FLAGS_body;
    if (!FLAGS_body_file.empty()) {
        const auto text = detail::readFile(FLAGS_body_file);
        if (!text) {
            std::cerr << text.error().toString() << "\n";
            return exitUsage;
        }
        call.body = text.value();
    }
    return sendAndPrint(std::move(call));
}

// Through the operators' interface: the jobs of a workspace, or those of one queue of it.
int cancelWorkspace()
{
    nlohmann::json body{{"workspace", FLAGS_workspace}};
    if (!FLAGS_queue.empty()) {
        body["queue"] = FLAGS_queue;
    }
    const auto answer = detail::askEntry("POST", "/v1/jobs/cancel", body.dump());
    const int status = detail::showAnswer(answer, [](const nlohmann::json &count) {
        std::cout << fmt::format("{} cancelled, {} could not be reached\n",
                                 count.value("cancelled", 0), count.value("failed", 0));
    });
    const bool failed =
            answer && answer.value().isSuccess() && answer.value().body.value("failed", 0) != 0;
    return failed ? exitFailure : status;
}

} // namespace

int runJob(int argc, char **argv)
{
    const std::string_view verb = argc > 2 ? argv[2] : "";
    if (verb == "submit") {
        return submitJob();
    }
    if (verb == "cancel" && !FLAGS_workspace.empty()) {
        return cancelWorkspace();
    }
    if (argc > 3 && (verb == "show" || verb == "cancel")) {
        net::HttpCall call;
        call.method = verb == "show" ? "GET" : "DELETE";
        call.url = fmt::format("{}/v1/jobs/{}", FLAGS_caller_url, argv[3]);
        return sendAndPrint(std::move(call));
    }
    std::cerr
            << "usage: cyclamenlatch job submit --caller_url URL --key KEY --queue NAME ...\n"
               "       cyclamenlatch job show|cancel ID --caller_url URL --key KEY\n"
               "       cyclamenlatch job cancel --workspace NAME [--queue NAME] --operator_url URL "
               "--operator_key KEY\n";
    return exitUsage;
}

} // namespace cyclamenlatch::app
