// The calls of the platform that list machines, move them between pools and take them down.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "scheduling/hostinfo.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::platform {

struct HostPage
{
    std::vector<scheduling::HostInfo> hosts;
    // Empty: this is the last page.
    std::string nextPage;
};

class HostCodec
{
public:
    explicit HostCodec(const std::string &address)
        : m_base("http://" + address)
    {}

    net::HttpCall list(const std::string &page) const;
    net::HttpCall move(const scheduling::HostHolder &holder, const std::string &machine,
                       const std::string &pool) const;
    net::HttpCall maintenance(const scheduling::HostHolder &holder, const std::string &machine,
                              std::uint64_t wave) const;

    static std::optional<HostPage> decodeHostPage(const net::HttpCallResult &result);
    static scheduling::HostOrderResult decodeOrderReply(const net::HttpCallResult &result);

private:
    std::string m_base;
};

} // namespace cyclamenlatch::platform
