// Hashes and compares keys with libsodium.
#include "admission/keysecret.h"

#include <sodium.h>

#include <array>

namespace cyclamenlatch::admission {

std::optional<KeySecret> parseKey(std::string_view presented)
{
    const auto dot = presented.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == presented.size()) {
        return std::nullopt;
    }
    return KeySecret{KeyId(std::string(presented.substr(0, dot))),
                     std::string(presented.substr(dot + 1))};
}

std::string hashSecret(std::string_view secret)
{
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return text;
}

bool hashesEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace cyclamenlatch::admission
