// A soak of real entries against stand-ins of the users' platform:
// soak --seed N --seconds S --entry PROGRAM [--directory D] [--most-held MILLISECONDS].
//
// Exits with 1 if the targets saw a rule broken or an entry ended by itself, and with 2 if it could
// not run.
#include "clients.h"

#include "review/standin/cases.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace {

using namespace soak;
using review::Milliseconds;
using review::World;

constexpr int zoneCount = 3;
// A clock may begin up to this far ahead.
constexpr std::int64_t mostClockOffsetMs = 4'000'000;
// Longer than any lease.
constexpr Milliseconds settleTime{12000};

struct Options
{
    std::uint64_t seed = 1;
    int seconds = 40;
    // Calls are held back for this long at most.
    int mostHeldMs = 3000;
    std::string entry;
    std::string directory;
};

bool readOptions(int argc, char **argv, Options &options)
{
    for (int at = 1; at + 1 < argc; at += 2) {
        const std::string name = argv[at];
        if (name == "--seed") {
            options.seed = std::stoull(argv[at + 1]);
        } else if (name == "--seconds") {
            options.seconds = std::stoi(argv[at + 1]);
        } else if (name == "--most-held") {
            options.mostHeldMs = std::stoi(argv[at + 1]);
        } else if (name == "--entry") {
            options.entry = argv[at + 1];
        } else if (name == "--directory") {
            options.directory = argv[at + 1];
        } else {
            return false;
        }
    }
    return argc % 2 == 1 && !options.entry.empty();
}

void printResult(const Options &options, const World &world, const Verdict &verdict,
                 const Faults &faults, const Clients &clients)
{
    const auto &faultCounts = faults.counts();
    const auto &counts = world.counts;
    const auto print = [](const char *name, std::uint64_t value) {
        std::printf(" %s=%llu", name, static_cast<unsigned long long>(value));
    };
    std::printf("seed=%llu", static_cast<unsigned long long>(options.seed));
    print("violations", verdict.violations());
    print("starts", verdict.starts());
    for (const auto &[how, count] : verdict.ends()) {
        print(how.c_str(), count);
    }
    print("jobs", clients.accepted());
    print("completed", clients.completed());
    print("restarts", faultCounts.restarts);
    print("late_starts", counts.heldStarts);
    print("late_holds", counts.heldHolds);
    print("late_others", counts.heldStops);
    print("refused_tokens", counts.refusedFences);
    print("owners", counts.owners);
    print("cuts", faultCounts.cuts);
    print("kills", faultCounts.killedOwners);
    print("freezes", faultCounts.freezes);
    print("resets", faultCounts.resets);
    print("lost_answers", faultCounts.lostAnswers);
    std::printf("\n");
    for (const auto &text : verdict.first()) {
        std::printf("  seed %llu: %s\n", static_cast<unsigned long long>(options.seed),
                    text.c_str());
    }
}

void addFleet(World &world)
{
    const auto zoneOf = [](std::int64_t number) {
        return "z" + std::to_string(number % zoneCount + 1);
    };
    std::vector<std::string> zones;
    const auto entries = world.draw(4, 6);
    for (std::int64_t number = 0; number < entries; ++number) {
        zones.push_back(zoneOf(number));
    }
    world.addEntries(zones);
    const auto targets = world.draw(12, 20);
    for (std::int64_t number = 1; number <= targets; ++number) {
        const auto name = std::to_string(number);
        world.addMinion({"i-" + name, "s1", zoneOf(number), "m-" + name, {"a", "r-" + name}});
    }
    world.putConfig(review::makeConfig(1, {"s1"}, 0));
}

asio::awaitable<int> play(World &world, const Options &options)
{
    addFleet(world);
    Verdict verdict(world);
    Faults faults(world);
    Clients clients(world, verdict, faults);
    verdict.attach();
    world.work = [](const std::string &spec, const std::string &task, std::uint32_t) {
        return workOf(spec, task);
    };
    if (co_await review::startFleet(world, Milliseconds(120000)) < 0) {
        std::fprintf(stderr, "no owner has called all targets\n");
        co_return 2;
    }
    const Milliseconds time(options.seconds * 1000);
    asio::co_spawn(world.context, clients.run(time), [](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    co_await faults.run(time);
    while (!clients.isDone()) {
        co_await world.sleep(Milliseconds(20));
    }
    co_await world.sleep(settleTime);
    co_await clients.countCompleted();
    printResult(options, world, verdict, faults, clients);
    bool hasCrashed = false;
    for (const auto &entry : world.entries) {
        hasCrashed = hasCrashed || entry->hasCrashed();
    }
    if (hasCrashed) {
        std::printf("  seed %llu: an entry ended by itself\n",
                    static_cast<unsigned long long>(options.seed));
    }
    if (verdict.starts() == 0) {
        co_return 2;
    }
    co_return verdict.violations() > 0 || hasCrashed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (!readOptions(argc, argv, options)) {
        std::fprintf(
                stderr,
                "soak --seed N --seconds S --entry PROGRAM [--directory D] [--most-held MS]\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool isTemporary = options.directory.empty();
    if (isTemporary) {
        std::string name = (std::filesystem::temp_directory_path() / "soak.XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) {
            return 2;
        }
        options.directory = name;
    }
    std::filesystem::create_directories(options.directory);
    int code = 2;
    try {
        World world(options.directory, options.directory + "/record.txt");
        world.program = options.entry;
        world.random.seed(options.seed);
        world.mostClockOffset = mostClockOffsetMs;
        world.mostHeld = Milliseconds(options.mostHeldMs);
        code = world.run([&](World &played) { return play(played, options); });
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the soak could not run: %s\n", error.what());
    }
    if (isTemporary && code == 0) {
        std::filesystem::remove_all(options.directory);
    } else {
        std::printf("  record and logs: %s\n", options.directory.c_str());
    }
    return code;
}
