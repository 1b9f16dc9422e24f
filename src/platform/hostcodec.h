// Requests to the platform's host API (list hosts, move a host to another pool, take a host down
// for maintenance) and the decoding of its replies.
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
    // Token to pass to list() for the following page; empty on the last page.
    std::string nextPage;
};

// Stateless. Nothing is sent here: the caller sends the requests and decides on retries.
class HostCodec
{
public:
    explicit HostCodec(const std::string &address)
        : m_base("http://" + address)
    {}

    // page: HostPage::nextPage of the page before; empty for the first page.
    net::HttpCall list(const std::string &page) const;
    net::HttpCall move(const scheduling::HostHolder &holder, const std::string &host,
                       const std::string &pool) const;
    net::HttpCall maintenance(const scheduling::HostHolder &holder, const std::string &host,
                              std::uint64_t wave) const;

    // Returns std::nullopt unless the status is 200 and the body has a list of hosts. Hosts without
    // a name or with an unknown state are left out.
    static std::optional<HostPage> decodeHostPage(const net::HttpCallResult &result);
    // A call without a reply that may have been sent, and the statuses 500, 502 and 504, give
    // OutcomeUnknown.
    static scheduling::HostOrderResult decodeOrderReply(const net::HttpCallResult &result);

private:
    std::string m_base;
};

} // namespace cyclamenlatch::platform
