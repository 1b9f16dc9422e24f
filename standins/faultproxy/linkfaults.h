// What a link of the fault proxy does wrong on purpose.
#pragma once

#include <chrono>
#include <cstddef>

namespace cyclamenlatch::standins {

struct LinkFaults
{
    // New connections are closed at once; datagrams are dropped.
    bool cut = false;
    // Connections open now, and later ones, swallow every byte in both directions.
    bool silent = false;
    // Each chunk is held back this long, in both directions.
    std::chrono::milliseconds delay{0};
    // Connections are closed after this many bytes towards the client; 0: never.
    std::size_t truncateAfter = 0;
    // The answers of two connections are exchanged when both have one.
    bool cross = false;
    // Each datagram is delivered twice.
    bool duplicate = false;
    // Drops every n-th datagram; 0: none.
    unsigned dropEvery = 0;
};

} // namespace cyclamenlatch::standins
