// Any presented key either is refused or is whole: an id and a secret around the first dot.
#include "admission/keysecret.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto key = cyclamenlatch::admission::parseKey(text);
    if (key && key->id.value() + "." + key->secret != text) {
        std::abort();
    }
    return 0;
}
