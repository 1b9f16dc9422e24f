// Any bytes either are refused as a peer message or encode to a message that decodes again.
#include "membership/peermessage.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cyclamenlatch::membership;
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    const auto message = decode<PeerMessage>(bytes);
    if (!message) {
        return 0;
    }
    const auto again = decode<PeerMessage>(encode(*message));
    if (!again || again->body != message->body || again->from != message->from) {
        std::abort();
    }
    return 0;
}
