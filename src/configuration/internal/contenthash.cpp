// Hashes content with libsodium.
#include "configuration/contenthash.h"

#include <sodium.h>

#include <array>

namespace cyclamenlatch::configuration {

std::string contentHash(std::string_view content)
{
    constexpr std::size_t hashBytes = 16;
    std::array<unsigned char, hashBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(content.data()), content.size(),
                       nullptr, 0);
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}

} // namespace cyclamenlatch::configuration
