// Records this entry's presence before it takes requests, and its end once it has none any more.
// While the store is out of reach the entry waits for some seconds, learns what is leaving from
// its peers, and then serves unrecorded: a store that is down starts no reboot, and peers know of
// those that were begun. All state is touched on the strand only.
#pragma once

#include "maintenance/entryrecord.h"
#include "store/storeclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>

namespace cyclamenlatch::maintenance {

class EntryRegistrar
{
public:
    // Runs once: when the record is written, or when the wait for the store is over.
    using Listener = std::function<void(bool isRecorded)>;

    // onFailedTry runs at each try that the store did not take.
    EntryRegistrar(asio::io_context &context, EntryRecord self, store::StoreClient &store,
                   Listener listener, std::function<void()> onFailedTry);

    void start();
    // Says that the process has nothing in flight and ends; the completion runs when that is
    // recorded or can't be.
    void leave(std::function<void()> completion);
    void stop();

private:
    using Strand = asio::strand<asio::io_context::executor_type>;
    using Written = std::function<void(bool)>;

    static constexpr std::chrono::milliseconds retryInterval{500};
    static constexpr std::chrono::milliseconds longestWait{5000};

    void tryToRecord();
    void write(EntryPresence presence, Written written);
    void tell(bool isRecorded);

    Strand m_strand;
    EntryRecord m_self;
    store::StoreClient &m_store;
    const Listener m_listener;
    const std::function<void()> m_onFailedTry;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_waitTimer;
    bool m_told = false;
    bool m_stopped = false;
};

} // namespace cyclamenlatch::maintenance
