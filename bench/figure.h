// Prints one measured figure as a JSON line.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iostream>
#include <string>

namespace cyclamenlatch::bench {

struct Figure
{
    std::string bench;
    std::string figure;
    double value = 0;
    std::string unit;
    // The same figure for the plain way, measured in the same run.
    double baseline = 0;
    // What the figure has to reach, such as "<= 1.1"; empty when there is no target.
    std::string target;
    std::uint64_t seed = 0;
};

inline void print(const Figure &figure)
{
    const nlohmann::ordered_json line{
            {"bench", figure.bench}, {"figure", figure.figure},     {"value", figure.value},
            {"unit", figure.unit},   {"baseline", figure.baseline}, {"target", figure.target},
            {"seed", figure.seed},
    };
    std::cout << line.dump() << std::endl;
}

} // namespace cyclamenlatch::bench
