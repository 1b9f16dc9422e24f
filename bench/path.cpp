// The request path against calling the minion directly. An entry process runs on one core and a
// minion process on another; callers with kept connections ask for the smallest work. Figures:
// requests a second of one entry core, entry processor time for a request, and at half of that
// rate the latency which the entry adds, p50 and p99. Baselines: the same calls to the minion.
#include "bench/figure.h"
#include "bench/simulatedfleet.h"
#include "callerapi/callerapi.h"
#include "dispatch/dispatcher.h"
#include "dispatch/outcomeservice.h"
#include "global/quantile.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/workerthreads.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gflags/gflags.h>
#include <sched.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_double(seconds, 3, "how long each measurement takes");
DEFINE_int32(callers, 24, "callers at once in the throughput measurement");

namespace {

using namespace cyclamenlatch;
using namespace cyclamenlatch::bench;
using asio::ip::tcp;

constexpr int entryCore = 0;
constexpr int minionCore = 1;
constexpr unsigned minionSlots = 64;

void stayOnCore(int core)
{
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(core, &set);
    sched_setaffinity(0, sizeof(set), &set);
}

void writePort(int pipe, std::uint16_t port)
{
    if (::write(pipe, &port, sizeof(port)) != sizeof(port)) {
        std::exit(1);
    }
}

[[noreturn]] void runMinion(int pipe)
{
    stayOnCore(minionCore);
    asio::io_context context{1};
    net::HttpServer server(context, {}, [](net::HttpRequest request, net::HttpResponder respond) {
        net::HttpReply reply;
        reply.headers.add("Request-Id",
                          std::string(request.headers.find("Request-Id").value_or("")));
        reply.body = "done";
        respond(std::move(reply));
    });
    if (!server.start()) {
        std::exit(1);
    }
    writePort(pipe, server.port());
    context.run();
    std::exit(0);
}

[[noreturn]] void runEntry(int pipe, std::uint16_t minionPort)
{
    stayOnCore(entryCore);
    auto fleet = makeFleet(1, 1, minionSlots, false, 0);
    fleet.workers[0].minionAddress = "127.0.0.1:" + std::to_string(minionPort);
    fleet.queues[0].open = true;
    const auto shared = std::make_shared<const fleet::FleetDocument>(fleet);

    net::WorkerThreads threads(1);
    membership::PeerBusSettings peers;
    peers.self = {EntryId("e-1"), DataCentreId("dc-a"), "127.0.0.1", 0};
    peers.secret = "bench";
    membership::PeerBus bus(threads.context(), peers);
    dispatch::OutcomeService outcomes(threads.context(), bus, {});
    net::HttpClient http(minionSlots);
    dispatch::Dispatcher dispatcher(threads.context(), http, {}, {}, 1);
    callerapi::CallerApi api(dispatcher, outcomes);
    dispatcher.setFleet(shared);
    api.setFleet(shared);
    net::HttpServer server(threads.context(), {},
                           [&api](net::HttpRequest request, net::HttpResponder respond) {
                               api.handle(std::move(request), std::move(respond));
                           });
    if (!server.start()) {
        std::exit(1);
    }
    writePort(pipe, server.port());
    for (;;) {
        ::pause();
    }
}

// Starts a process that serves, and returns its id and port.
struct Child
{
    pid_t pid = 0;
    std::uint16_t port = 0;
};

template<typename Run>
Child startChild(Run run)
{
    int ends[2];
    if (::pipe(ends) != 0) {
        std::exit(1);
    }
    Child child;
    child.pid = ::fork();
    if (child.pid == 0) {
        run(ends[1]);
    }
    if (::read(ends[0], &child.port, sizeof(child.port)) != sizeof(child.port)) {
        std::cerr << "a bench process did not start\n";
        std::exit(1);
    }
    return child;
}

struct Load
{
    double perSecond = 0;
    std::vector<double> microseconds;
};

// One caller with a kept connection; pauses between calls to keep its rate, 0 for no pause.
void runCaller(std::uint16_t port, const std::string &path, double rate, TimePoint until,
               std::vector<double> &latencies)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    socket.set_option(tcp::no_delay(true));
    const std::string request = "POST " + path
                                + " HTTP/1.1\r\nHost: x\r\nRequest-Id: r-1\r\n"
                                  "Content-Length: 2\r\n\r\n{}";
    std::array<char, 4096> buffer{};
    auto due = steadyNow();
    while (due < until) {
        std::this_thread::sleep_until(due);
        const auto begin = rate > 0 ? due : steadyNow();
        asio::write(socket, asio::buffer(request));
        std::size_t received = 0;
        // The body is four bytes after the empty line.
        for (;;) {
            received += socket.read_some(
                    asio::buffer(buffer.data() + received, buffer.size() - received));
            const std::string_view text(buffer.data(), received);
            const auto end = text.find("\r\n\r\n");
            if (end != std::string_view::npos && received >= end + 8) {
                break;
            }
        }
        if (!std::string_view(buffer.data(), received).starts_with("HTTP/1.1 200")) {
            std::cerr << std::string_view(buffer.data(), received) << "\n";
            std::exit(1);
        }
        const auto now = steadyNow();
        latencies.push_back(toSeconds(now - begin) * 1e6);
        due = rate > 0 ? due + std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / rate))
                       : now;
    }
}

Load measure(std::uint16_t port, const std::string &path, double totalRate)
{
    const auto callers = static_cast<std::size_t>(FLAGS_callers);
    const auto begin = steadyNow();
    const auto until = begin + std::chrono::milliseconds(static_cast<long>(FLAGS_seconds * 1000));
    std::vector<std::vector<double>> latencies(callers);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            runCaller(port, path, totalRate / static_cast<double>(callers), until,
                      latencies[index]);
        });
    }
    Load load;
    for (std::size_t index = 0; index < callers; ++index) {
        threads[index].join();
        load.microseconds.insert(load.microseconds.end(), latencies[index].begin(),
                                 latencies[index].end());
    }
    load.perSecond = static_cast<double>(load.microseconds.size()) / toSeconds(steadyNow() - begin);
    return load;
}

// Processor time that a process has used, in seconds.
double processorSeconds(pid_t pid)
{
    clockid_t clock = 0;
    timespec time{};
    if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return 0;
    }
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto minion = startChild([](int pipe) { runMinion(pipe); });
    const auto entry = startChild([&](int pipe) { runEntry(pipe, minion.port); });
    const std::string path = "/v1/queues/q-0/requests";

    measure(entry.port, path, 1000);
    const double before = processorSeconds(entry.pid);
    const auto full = measure(entry.port, path, 0);
    const double used = processorSeconds(entry.pid) - before;
    const auto fullDirect = measure(minion.port, "/run", 0);
    const auto half = measure(entry.port, path, full.perSecond / 2);
    const auto halfDirect = measure(minion.port, "/run", full.perSecond / 2);
    ::kill(minion.pid, SIGKILL);
    ::kill(entry.pid, SIGKILL);
    ::waitpid(minion.pid, nullptr, 0);
    ::waitpid(entry.pid, nullptr, 0);

    const double direct50 = quantile(halfDirect.microseconds, 0.5);
    const double direct99 = quantile(halfDirect.microseconds, 0.99);
    print({"path", "requests-per-core", full.perSecond, "1/s", fullDirect.perSecond, ">= 15000",
           0});
    print({"path", "entry-cpu", used / static_cast<double>(full.microseconds.size()) * 1e6,
           "us per request", 0, "", 0});
    print({"path", "added-p50", quantile(half.microseconds, 0.5) - direct50, "us", direct50, "",
           0});
    print({"path", "added-p99", quantile(half.microseconds, 0.99) - direct99, "us", direct99,
           "< 1000", 0});
    return 0;
}
