// Adds the attempt's id to a stored value and takes it off again.
#include "store/attempt.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>

namespace cyclamenlatch::store {

namespace {

constexpr std::string_view marker = "#attempt:";
constexpr std::size_t idBytes = 16;

} // namespace

std::string makeAttemptId()
{
    std::array<unsigned char, idBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

std::string joinAttempt(const AttemptedValue &value)
{
    return fmt::format("{}{}\n{}", marker, value.attempt, value.value);
}

AttemptedValue splitAttempt(std::string_view stored)
{
    const auto lineEnd = stored.find('\n');
    if (!stored.starts_with(marker) || lineEnd == std::string_view::npos) {
        return {"", std::string(stored)};
    }
    return {std::string(stored.substr(marker.size(), lineEnd - marker.size())),
            std::string(stored.substr(lineEnd + 1))};
}

} // namespace cyclamenlatch::store
