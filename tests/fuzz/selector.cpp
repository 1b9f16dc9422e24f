// Any text either is refused as a selector or prints to a text that parses to the same selector.
#include "fleet/selector.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using cyclamenlatch::fleet::Selector;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto selector = Selector::parse(text);
    if (!selector) {
        return 0;
    }
    const auto again = Selector::parse(selector.value().toString());
    if (!again || !(again.value() == selector.value())) {
        std::abort();
    }
    return 0;
}
