// A model of the users' store without a network: keys with revisions and leases, and changes under
// conditions. A call waits until the test decides what becomes of it, so that a test can draw the
// order of calls and answers, and carry out a change long after its sender has given it up.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "store/base64.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::platform::tests {

class MemoryStore
{
public:
    using Completion = std::function<void(net::HttpCallResult)>;

    void send(net::HttpCall call, Completion completion)
    {
        m_open.push_back({std::move(call), std::move(completion)});
    }

    // Calls that have neither been answered nor been given up.
    std::size_t openCalls() const { return m_open.size(); }
    bool isOpenChange(std::size_t index) const { return isChange(m_open.at(index).call); }
    bool isOpenChangeOf(std::size_t index, const std::string &key) const
    {
        if (!isOpenChange(index)) {
            return false;
        }
        const auto writes = nlohmann::json::parse(m_open.at(index).call.body)["write"];
        return std::any_of(writes.begin(), writes.end(),
                           [&key](const auto &write) { return write["key"] == key; });
    }
    bool isOpenWatch(std::size_t index) const
    {
        return pathOf(m_open.at(index).call).starts_with("/v1/kv-watch");
    }
    // Carries the call out and answers it.
    void answer(std::size_t index)
    {
        auto open = take(index);
        auto reply = carryOut(open.call);
        finish(open, std::move(reply));
    }
    // Answers that nothing was done.
    void refuse(std::size_t index)
    {
        net::HttpReply reply;
        reply.status = 503;
        finish(take(index), std::move(reply));
    }
    // The sender gets no answer; a change may still be carried out, see carryOutLate().
    void leaveUnanswered(std::size_t index)
    {
        auto open = take(index);
        if (isChange(open.call)) {
            m_late.push_back(open.call);
        }
        net::HttpCallResult result;
        result.sendState = net::SendState::MaybeSent;
        result.failure = "no answer came in time";
        open.completion(std::move(result));
    }
    // Answers all open calls, also those that follow from the answers.
    void answerAll()
    {
        while (!m_open.empty()) {
            answer(0);
        }
    }
    std::size_t lateChanges() const { return m_late.size(); }
    void carryOutLate(std::size_t index)
    {
        const auto call = std::move(m_late.at(index));
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
        carryOut(call);
    }
    // While the store is down, leases either pause or expire.
    void endLeases()
    {
        while (!m_leases.empty()) {
            endLease(*m_leases.begin());
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        m_items[key] = {value, ++m_revision, 0};
    }
    bool contains(const std::string &key) const { return m_items.contains(key); }
    std::uint64_t revision(const std::string &key) const { return m_items.at(key).revision; }
    std::string value(const std::string &key) const { return m_items.at(key).value; }
    std::size_t countKeys(const std::string &prefix) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_items.begin(), m_items.end(),
                              [&](const auto &item) { return item.first.starts_with(prefix); }));
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct OpenCall
    {
        net::HttpCall call;
        Completion completion;
    };

    static std::string pathOf(const net::HttpCall &call)
    {
        return call.url.substr(call.url.find("/v1/"));
    }
    static bool isChange(const net::HttpCall &call)
    {
        return pathOf(call).starts_with("/v1/kv-txn");
    }
    static std::uint64_t leaseOf(const std::string &path)
    {
        return std::stoull(path.substr(path.rfind('/') + 1));
    }
    // The keys of the tests need no escapes in a query.
    static std::string queryField(const net::HttpCall &call, const std::string &name)
    {
        const auto found = call.url.find(name + "=");
        const auto begin = found + name.size() + 1;
        return found == std::string::npos
                       ? std::string{}
                       : call.url.substr(begin, call.url.find('&', begin) - begin);
    }

    OpenCall take(std::size_t index)
    {
        auto open = std::move(m_open.at(index));
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        return open;
    }
    static void finish(const OpenCall &open, net::HttpReply reply)
    {
        net::HttpCallResult result;
        result.sendState = net::SendState::MaybeSent;
        result.reply = std::move(reply);
        open.completion(std::move(result));
    }

    void endLease(std::uint64_t lease)
    {
        m_leases.erase(lease);
        std::erase_if(m_items, [lease](const auto &item) { return item.second.lease == lease; });
    }

    nlohmann::json itemJson(const std::string &key) const
    {
        const auto found = m_items.find(key);
        if (found == m_items.end()) {
            return {{"key", key}, {"revision", 0}};
        }
        return {{"key", key},
                {"value", store::toBase64(found->second.value)},
                {"revision", found->second.revision},
                {"lease", found->second.lease}};
    }

    net::HttpReply carryOut(const net::HttpCall &call)
    {
        const auto path = pathOf(call);
        if (path.starts_with("/v1/kv-txn")) {
            return change(nlohmann::json::parse(call.body));
        }
        nlohmann::json body{{"at", m_revision}};
        if (path == "/v1/kv-lease") {
            m_leases.insert(++m_lastLease);
            body["lease"] = m_lastLease;
            body["ttl_ms"] = nlohmann::json::parse(call.body)["ttl_ms"];
        } else if (path.starts_with("/v1/kv-lease-end/")) {
            endLease(leaseOf(path));
        } else if (path.starts_with("/v1/kv-keep/") && m_leases.contains(leaseOf(path))) {
            body["lease"] = leaseOf(path);
        } else if (path.starts_with("/v1/kv-range")) {
            const auto prefix = queryField(call, "prefix");
            body["items"] = nlohmann::json::array();
            for (const auto &[key, item] : m_items) {
                if (key.starts_with(prefix)) {
                    body["items"].push_back(itemJson(key));
                }
            }
        } else if (path.starts_with("/v1/kv-key") && contains(queryField(call, "key"))) {
            body.update(itemJson(queryField(call, "key")));
        } else {
            return reply(404, nlohmann::json::object());
        }
        return reply(200, body);
    }

    net::HttpReply change(const nlohmann::json &transaction)
    {
        auto current = nlohmann::json::array();
        bool holds = true;
        for (const auto &condition : transaction["expected"]) {
            current.push_back(itemJson(condition["key"]));
            holds = holds && current.back()["revision"] == condition["revision"];
        }
        if (!holds) {
            return reply(412, {{"items", current}});
        }
        for (const auto &write : transaction["write"]) {
            const auto lease = write.value("lease", std::uint64_t{0});
            if (lease != 0 && !m_leases.contains(lease)) {
                return reply(404, nlohmann::json::object());
            }
        }
        ++m_revision;
        for (const auto &write : transaction["write"]) {
            m_items[write["key"]] = {
                    store::fromBase64(write["value"].get<std::string>()).value_or(""), m_revision,
                    write.value("lease", std::uint64_t{0})};
        }
        for (const auto &key : transaction["remove"]) {
            m_items.erase(key.get<std::string>());
        }
        return reply(200, {{"revision", m_revision}});
    }

    static net::HttpReply reply(int status, const nlohmann::json &body)
    {
        net::HttpReply reply;
        reply.status = status;
        reply.body = body.dump();
        return reply;
    }

    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, Item> m_items;
    std::set<std::uint64_t> m_leases;
    std::vector<OpenCall> m_open;
    std::vector<net::HttpCall> m_late;
};

} // namespace cyclamenlatch::platform::tests
