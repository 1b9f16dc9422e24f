// The headers that a caller's request is admitted by, one "Name: value" a line: no bytes make the
// key or the idempotency key anything but a part of what was sent.
#include "admission/keysecret.h"
#include "dispatch/idempotencykey.h"
#include "net/bearertoken.h"

#include <cstdint>
#include <cstdlib>

namespace {

using namespace cyclamenlatch;

net::HttpHeaders readHeaders(std::string_view text)
{
    net::HttpHeaders headers;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos) {
            headers.add(std::string(line.substr(0, colon)), std::string(line.substr(colon + 2)));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return headers;
}

void check(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto headers = readHeaders({reinterpret_cast<const char *>(data), size});
    const auto token = net::bearerToken(headers);
    if (const auto key = admission::parseKey(token)) {
        check(!key->id.empty() && !key->secret.empty());
        check(key->id.value() + "." + key->secret == token);
        check(admission::hashesEqual(admission::hashSecret(key->secret),
                                     admission::hashSecret(key->secret)));
    }
    const auto text = headers.find("Idempotency-Key").value_or("");
    const auto key = dispatch::parseIdempotencyKey(text);
    if (!key) {
        check(!key.error().message.empty() && !key.error().remedy.empty());
        return 0;
    }
    check(key.value().text == text);
    check(!key.value().home.empty());
    check(text.starts_with(key.value().home.value() + "-"));
    check(key.value().mintedAt.time_since_epoch().count() >= 0);
    return 0;
}
