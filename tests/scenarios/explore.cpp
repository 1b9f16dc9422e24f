// Walks at random over scenarios from many seeds: scripts/explore --seeds N --first S.
#include "tests/scenarios/randomwalk.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(first, 1000, "first seed");
DEFINE_uint64(seeds, 100, "number of seeds");
DEFINE_uint32(steps, cyclamenlatch::scenarios::walkSteps, "steps of each walk");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::uint64_t failures = 0;
    for (auto seed = FLAGS_first; seed < FLAGS_first + FLAGS_seeds; ++seed) {
        const auto failure = cyclamenlatch::scenarios::walkAtRandom(seed, FLAGS_steps);
        if (failure) {
            ++failures;
            std::cout << *failure << "\n";
        }
    }
    std::cout << FLAGS_seeds << " seeds from " << FLAGS_first << ", " << failures << " failed\n";
    return failures == 0 ? 0 : 1;
}
