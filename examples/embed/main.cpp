// Embeds two coordination parts: selectors on labels, and the choice of a minion within slots.
#include "fleet/selector.h"
#include "routing/minionchoice.h"

#include <iostream>
#include <vector>

int main()
{
    using namespace cyclamenlatch;

    const auto selector = fleet::Selector::parse("tier in (gold, silver), !retired");
    if (!selector) {
        std::cerr << selector.error().toString() << "\n";
        return 1;
    }

    const std::vector<fleet::Labels> labels{
            {{"tier", "gold"}}, {{"tier", "bronze"}}, {{"tier", "silver"}, {"retired", "yes"}}};
    std::vector<routing::MinionLoad> candidates;
    for (std::size_t index = 0; index < labels.size(); ++index) {
        if (selector.value().matches(labels[index])) {
            candidates.push_back({WorkerId("w-" + std::to_string(index)), 8, 0});
        }
    }

    Random random(42);
    const auto chosen = routing::chooseMinion(candidates, random);
    if (!chosen) {
        std::cerr << "no worker has a free slot\n";
        return 1;
    }
    std::cout << "chosen " << candidates[*chosen].worker.value() << " of " << candidates.size()
              << "\n";
    return candidates.size() == 1 ? 0 : 1;
}
