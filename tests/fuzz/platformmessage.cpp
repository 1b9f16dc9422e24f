// Whatever the users' platform, its targets or another writer of their entries send, reading it
// ends with a value in bounds or with none. The first byte names the decoder, the rest is the text.
#include "platform/callercodec.h"
#include "platform/configcodec.h"
#include "platform/hostcodec.h"
#include "platform/storecodec.h"
#include "platform/targetcodec.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace cyclamenlatch;

net::HttpCallResult resultOf(const std::string &body)
{
    net::HttpCallResult result;
    result.sendState = net::SendState::MaybeSent;
    result.reply = net::HttpReply{200, {}, body, false};
    return result;
}

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

bool hasControlBytes(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](const char character) {
        return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
    });
}

void checkTarget(const std::string &text)
{
    const auto end = std::min(text.find('\n'), text.size());
    const auto key = std::string(platform::targetsPrefix) + text.substr(0, end);
    const auto target = platform::decodeTarget(key, text.substr(std::min(end + 1, text.size())));
    if (!target) {
        return;
    }
    require(!hasControlBytes(target->id) && !hasControlBytes(target->address));
    require(!hasControlBytes(target->service) && !hasControlBytes(target->host));
    require(target->capacity.processors >= 0 && target->capacity.memoryMib >= 0);
    require(target->incarnation >= 0);
    require(platform::keepAliveCall(*target, {}).url == "http://" + target->address + "/v1/hold");
}

void checkList(const std::string &text)
{
    const auto reply = platform::decodeKeepAliveReply(resultOf(text));
    require(reply.report.has_value() == reply.failure.empty());
    if (reply.report) {
        for (const auto &row : reply.report->running) {
            require(row.percent >= 0 && row.percent <= 100);
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0]) {
    case 't':
        checkTarget(text);
        break;
    case 'l':
        checkList(text);
        break;
    case 'h':
        platform::HostCodec::decodeHostPage(resultOf(text));
        break;
    case 's':
        platform::StoreCodec::decodeReply(resultOf(text));
        break;
    case 'c':
        static_cast<void>(platform::decodeFleetRules(text));
        static_cast<void>(platform::decodeWave(text));
        break;
    case 'j':
        static_cast<void>(platform::decodeJob(text));
        break;
    default:
        platform::decodeAdviceReply(resultOf(text));
        break;
    }
    return 0;
}
