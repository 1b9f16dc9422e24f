// Whatever the store answers, reading it gives a value or an error with a remedy. The first line is
// the status, the second the revision header, the rest the body.
#include "store/storeanswer.h"

#include <charconv>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace cyclamenlatch;

std::string_view takeLine(std::string_view &text)
{
    const auto end = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

template<typename Value>
void check(const Result<Value> &result)
{
    if (!result && (result.error().message.empty() || result.error().remedy.empty())) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view text(reinterpret_cast<const char *>(data), size);
    net::HttpCallResult result;
    result.reply.emplace();
    const auto status = takeLine(text);
    std::from_chars(status.data(), status.data() + status.size(), result.reply->status);
    result.reply->headers.add("Store-Revision", std::string(takeLine(text)));
    result.reply->body = std::string(text);
    check(store::judgeListing(result));
    check(store::judgeItem(result));
    check(store::judgeGrant(result));
    check(store::judgeRenewal(result));
    check(store::judgeLeaseEnd(result));
    store::revisionOf(result);
    const auto written = store::judgeRevision(result);
    check(written);
    // A refusal without effect is never read out of an answer that doesn't say so.
    const auto code = result.reply->status;
    const bool saysNotWritten = code == 409 || code == 429 || code == 503;
    if (!written && !saysNotWritten && written.error().kind != ErrorKind::Unknown) {
        std::abort();
    }
    return 0;
}
