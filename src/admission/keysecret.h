// Keys as callers present them: "<id>.<secret>". The store holds only the secret's hash.
#pragma once

#include "global/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenlatch::admission {

struct KeySecret
{
    KeyId id;
    std::string secret;
};

std::optional<KeySecret> parseKey(std::string_view presented);

// Returns the BLAKE2b-256 of the secret in hexadecimal.
std::string hashSecret(std::string_view secret);

// Takes the same time wherever the two differ.
bool hashesEqual(std::string_view left, std::string_view right);

} // namespace cyclamenlatch::admission
