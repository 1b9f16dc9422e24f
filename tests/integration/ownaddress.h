// What a test process has for itself, so that tests run side by side without meeting: a port that
// the kernel gave and took back may be another test's a moment later.
#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <unistd.h>

namespace cyclamenlatch::testing {

// A loopback address of this process's own, for its host number index.
inline std::string ownAddress(std::size_t index)
{
    constexpr unsigned firstNet = 20;
    constexpr unsigned nets = 200;
    constexpr unsigned hosts = 250;
    const auto pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", firstNet + pid / hosts % nets, 1 + pid % hosts, index + 1);
}

// The peers' secret: entries of other tests are refused.
inline std::string ownSecret()
{
    return fmt::format("secret-{}", getpid());
}

} // namespace cyclamenlatch::testing
