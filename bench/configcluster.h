// Entries' configuration in one process, each with its own peer bus and store client, against a
// stand-in platform: what the spread and withdraw benches measure.
#pragma once

#include "configuration/configuration.h"
#include "membership/peerbus.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/workerthreads.h"
#include "standins/platform/platformserver.h"
#include "store/storeclient.h"

#include <fmt/format.h>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <vector>

namespace cyclamenlatch::bench {

class ConfigCluster
{
public:
    explicit ConfigCluster(unsigned entries)
        : m_platform(m_threads.context())
        , m_server(m_threads.context(), {},
                   [this](net::HttpRequest request, net::HttpResponder respond) {
                       m_platform.handle(std::move(request), std::move(respond));
                   })
    {
        static_cast<void>(m_server.start());
        store::StoreClientSettings settings;
        settings.url = fmt::format("http://127.0.0.1:{}", m_server.port());
        std::vector<membership::PeerAddress> addresses;
        for (unsigned index = 0; index < entries; ++index) {
            auto node = std::make_unique<Node>();
            membership::PeerBusSettings peers;
            peers.self = {EntryId(fmt::format("e-{}", index)),
                          DataCentreId(fmt::format("dc-{}", index % dataCentres)), "127.0.0.1", 0};
            peers.secret = "bench";
            node->peers = std::make_unique<membership::PeerBus>(m_threads.context(), peers);
            node->store =
                    std::make_unique<store::StoreClient>(m_threads.context(), m_http, settings);
            node->configuration = std::make_unique<configuration::Configuration>(
                    m_threads.context(), *node->peers, *node->store,
                    configuration::ConfigurationCallbacks{
                            [](const configuration::FleetRevision &) {},
                            [](const std::vector<KeyId> &) {}});
            static_cast<void>(node->peers->start());
            addresses.push_back(node->peers->self());
            m_nodes.push_back(std::move(node));
        }
        for (auto &node : m_nodes) {
            node->peers->setPeers(addresses);
            node->configuration->start();
        }
    }

    ~ConfigCluster()
    {
        for (auto &node : m_nodes) {
            node->configuration->stop();
            node->store->stop();
            node->peers->stop();
        }
        m_server.stop();
        m_threads.stop();
    }
    ConfigCluster(const ConfigCluster &) = delete;
    ConfigCluster &operator=(const ConfigCluster &) = delete;

    configuration::Configuration &at(std::size_t index) { return *m_nodes[index]->configuration; }

    void setOutage(bool isDown)
    {
        net::HttpRequest request;
        request.method = "POST";
        request.path = "/control";
        request.body = isDown ? R"({"outage": true})" : R"({"outage": false})";
        m_platform.handle(std::move(request), [](const net::HttpReply &) {});
    }

    // Returns the accepted revision, or 0.
    store::StoreRevision apply(const fleet::FleetDocument &document, store::StoreRevision from)
    {
        std::promise<store::StoreRevision> promise;
        at(0).apply(document, from, [&promise](const Result<store::StoreRevision> &applied) {
            promise.set_value(applied ? applied.value() : 0);
        });
        return promise.get_future().get();
    }

    // Waits until the revision is in force at every entry; false after the patience.
    bool awaitInForce(store::StoreRevision revision)
    {
        std::promise<bool> promise;
        at(0).whenInForce(revision, patience,
                          [&promise](const configuration::SpreadReport &report) {
                              promise.set_value(report.isEverywhere());
                          });
        return promise.get_future().get();
    }

    bool awaitWithdrawn()
    {
        std::promise<bool> promise;
        at(0).whenWithdrawnEverywhere(patience,
                                      [&promise](const configuration::SpreadReport &report) {
                                          promise.set_value(report.isEverywhere());
                                      });
        return promise.get_future().get();
    }

private:
    static constexpr unsigned dataCentres = 3;
    static constexpr std::chrono::milliseconds patience{18000};

    struct Node
    {
        std::unique_ptr<membership::PeerBus> peers;
        std::unique_ptr<store::StoreClient> store;
        std::unique_ptr<configuration::Configuration> configuration;
    };

    net::WorkerThreads m_threads{4};
    standins::PlatformServer m_platform;
    net::HttpServer m_server;
    std::vector<std::unique_ptr<Node>> m_nodes;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http{256};
};

} // namespace cyclamenlatch::bench
