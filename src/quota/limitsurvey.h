// Asks every entry that is alive what it holds and runs, for an operator. What comes back is a
// view and decides nothing.
// Lock order: m_mutex is the only lock and is never held while the table, the bus or a
// completion is called.
#pragma once

#include "membership/member.h"
#include "membership/peerbus.h"
#include "quota/limituse.h"
#include "quota/quotatable.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cyclamenlatch::quota {

class LimitSurvey
{
public:
    using Completion = std::function<void(const std::vector<EntryLimits> &)>;

    // Subscribes to its topic: create it before the peer bus starts.
    LimitSurvey(asio::io_context &context, membership::PeerBus &bus, QuotaTable &table);

    // Calls back once, when all have answered or after a second.
    void ask(const std::vector<membership::Member> &live, Completion completion);

private:
    struct Survey
    {
        explicit Survey(asio::io_context &context)
            : timer(context)
        {}

        std::vector<EntryLimits> entries;
        std::size_t missing = 0;
        asio::steady_timer timer;
        Completion completion;
    };

    void receive(const membership::PeerMessage &message);
    void takeAnswer(const EntryId &from, std::uint64_t number, std::vector<LimitUse> uses);
    void finish(std::uint64_t number);
    std::vector<LimitUse> ownUses() const;

    asio::io_context &m_context;
    membership::PeerBus &m_bus;
    QuotaTable &m_table;
    std::mutex m_mutex;
    // Both guarded by m_mutex.
    std::uint64_t m_last = 0;
    std::map<std::uint64_t, std::shared_ptr<Survey>> m_open;
};

} // namespace cyclamenlatch::quota
