// The platform's store and its list of machines, as the users' pages describe them.
#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

// Writes lines with the milliseconds since the start to record.txt.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    std::int64_t milliseconds() const;

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
    const Clock::time_point m_began = Clock::now();
};

class Store
{
public:
    // Milliseconds after which a transaction is carried out, if its condition still holds then;
    // such a transaction gets no answer. Negative: it is carried out and answered at once.
    using LateHook = std::function<int(const json &transaction)>;

    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    std::string address() const { return m_address; }
    void setLateHook(LateHook hook);
    // Writes of the operator, of minions and of the platform itself.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    // Empty: no such key.
    std::string get(const std::string &key);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        std::chrono::milliseconds timeToLive{};
        Clock::time_point end;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        json event;
    };

    std::optional<Reply> handle(const Request &request);
    Reply transact(const json &transaction);
    Reply watch(const Request &request);
    Reply range(const Request &request);
    Reply grant(const Request &request);
    void endLeases();
    // With the lock held.
    void writeLocked(const std::string &key, const std::string &value, std::uint64_t lease);
    void removeLocked(const std::string &key);
    void revokeLocked(std::uint64_t lease);
    json itemLocked(const std::string &key) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 1000;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_events;
    LateHook m_lateHook;
    bool m_isStopped = false;
    std::string m_address;
    std::thread m_leaseThread;
    std::unique_ptr<HttpServer> m_server;
};

// Standard base64 with padding.
std::string toBase64(const std::string &bytes);
std::string fromBase64(const std::string &text);

} // namespace review
