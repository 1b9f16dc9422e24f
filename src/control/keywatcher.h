// Follows the keys under a prefix of the platform's store: reports a snapshot first, then every
// change. Takes a new snapshot when the store has compacted the history that a watch needs. Failed
// calls are retried without end. Runs on the event loop's thread.
#pragma once

#include "control/platformstoreclient.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

class KeyWatcher
{
public:
    // storeRevision: the items are complete up to this revision. isSnapshot: the items are all keys
    // under the prefix; other keys do not exist, unless they were written after storeRevision.
    using Listener = std::function<void(const std::vector<platform::StoreItem> &items,
                                        platform::StoreRevision storeRevision, bool isSnapshot)>;

    // wait: longest time that a watch call waits for a change; it also bounds how long a dead
    // connection goes unnoticed.
    KeyWatcher(asio::io_context &context, PlatformStoreClient &store, std::string prefix,
               std::chrono::milliseconds wait, Listener listener);
    ~KeyWatcher();
    KeyWatcher(const KeyWatcher &) = delete;
    KeyWatcher &operator=(const KeyWatcher &) = delete;

    void start();
    // Replaces the current watch call, on a new connection: one that was sent while the store was
    // unavailable may never be answered, and neither may one on a connection of that time.
    void restartWatch();

private:
    void list();
    void watch(bool onNewConnection = false);
    void retryLater(bool withList);

    PlatformStoreClient &m_store;
    const std::string m_prefix;
    const std::chrono::milliseconds m_wait;
    const Listener m_listener;
    asio::steady_timer m_timer;
    platform::StoreRevision m_revision = 0;
    bool m_isWatching = false;
    // Number of the current watch call; replies to earlier ones are ignored.
    unsigned m_watchNumber = 0;
    // Expires with this object, so that replies that arrive later are ignored.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cyclamenlatch::control
