// The fault proxy as a process: joins links given on the command line and takes orders over HTTP.
//
//   faultproxy --port 7500 --links "minion=tcp:127.0.0.1:7501:127.0.0.1:9001,peer=udp:..."
//   POST /links/minion {"delayMs": 50}      sets faults
//   POST /links/minion/silence, .../reset   acts on the open connections
//
// A link's listening port may be 0; GET /links tells which one it got.
#include "standins/faultproxy/tcplink.h"
#include "standins/faultproxy/udplink.h"
#include "standins/jsonreply.h"
#include "standins/runserver.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <variant>

DEFINE_string(address, "127.0.0.1", "address to take orders on");
DEFINE_int32(port, 0, "port to take orders on; 0 chooses a free one");
DEFINE_string(links, "", "links as name=tcp|udp:listenIp:listenPort:targetIp:targetPort,...");

namespace cyclamenlatch::standins {
namespace {

using nlohmann::json;
using Link = std::variant<std::unique_ptr<TcpLink>, std::unique_ptr<UdpLink>>;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

template<typename Protocol>
auto makeEndpoint(const std::string &address, const std::string &port)
{
    return typename Protocol::endpoint(asio::ip::make_address(address),
                                       static_cast<std::uint16_t>(std::stoul(port)));
}

Link makeLink(asio::io_context &context, const std::vector<std::string> &fields)
{
    if (fields.at(0) == "udp") {
        return std::make_unique<UdpLink>(context,
                                         makeEndpoint<asio::ip::udp>(fields.at(1), fields.at(2)),
                                         makeEndpoint<asio::ip::udp>(fields.at(3), fields.at(4)));
    }
    return std::make_unique<TcpLink>(context,
                                     makeEndpoint<asio::ip::tcp>(fields.at(1), fields.at(2)),
                                     makeEndpoint<asio::ip::tcp>(fields.at(3), fields.at(4)));
}

void setFaults(LinkFaults &faults, const json &order)
{
    faults.cut = order.value("cut", faults.cut);
    faults.silent = order.value("silent", faults.silent);
    faults.delay = std::chrono::milliseconds(order.value("delayMs", faults.delay.count()));
    faults.truncateAfter = order.value("truncateAfter", faults.truncateAfter);
    faults.cross = order.value("cross", faults.cross);
    faults.duplicate = order.value("duplicate", faults.duplicate);
    faults.dropEvery = order.value("dropEvery", faults.dropEvery);
}

// The links by name, and the orders that they take.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, const std::string &links)
    {
        for (const auto &text : split(links, ',')) {
            const auto equals = text.find('=');
            const auto name = text.substr(0, equals);
            m_links.emplace(name, makeLink(context, split(text.substr(equals + 1), ':')));
        }
        for (auto &[name, link] : m_links) {
            std::visit([](auto &one) { one->start(); }, link);
        }
    }

    net::HttpReply handle(const net::HttpRequest &request)
    {
        const auto fields = split(request.path, '/');
        if (fields.size() == 2 && fields[1] == "links") {
            return describe();
        }
        if (fields.size() < 3 || fields[1] != "links" || !m_links.contains(fields[2])) {
            return jsonReply(404, {{"error", "no such link"}});
        }
        auto &link = m_links.at(fields[2]);
        if (fields.size() == 4) {
            return act(link, fields[3]);
        }
        const auto order = json::parse(request.body, nullptr, false);
        if (!order.is_object()) {
            return jsonReply(400, {{"error", "send a JSON object"}});
        }
        std::visit([&order](auto &one) { setFaults(one->faults(), order); }, link);
        return jsonReply(200, json::object());
    }

private:
    net::HttpReply describe()
    {
        json links = json::object();
        for (auto &[name, link] : m_links) {
            links[name] = std::visit([](auto &one) { return one->port(); }, link);
        }
        return jsonReply(200, links);
    }

    static net::HttpReply act(Link &link, const std::string &action)
    {
        auto *tcp = std::get_if<std::unique_ptr<TcpLink>>(&link);
        if (tcp == nullptr) {
            return jsonReply(400, {{"error", "only TCP links have connections"}});
        }
        if (action == "silence") {
            (*tcp)->silenceOpenConnections();
        } else if (action == "reset") {
            (*tcp)->resetOpenConnections();
        } else {
            return jsonReply(404, {{"error", "use silence or reset"}});
        }
        return jsonReply(200, {{"connections", (*tcp)->openConnections()}});
    }

    std::map<std::string, Link> m_links;
};

} // namespace
} // namespace cyclamenlatch::standins

int main(int argc, char **argv)
{
    using namespace cyclamenlatch;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context;
    standins::FaultProxy proxy(context, FLAGS_links);
    net::HttpServerSettings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    // One thread: links and orders share state without locks.
    return standins::runServer(
            context, settings,
            [&proxy](net::HttpRequest request, net::HttpResponder respond) {
                respond(proxy.handle(request));
            },
            1);
}
