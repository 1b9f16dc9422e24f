// Writes this entry's record.
#include "maintenance/entryregistrar.h"

#include "maintenance/maintenanceevents.h"
#include "maintenance/recordjson.h"

#include <asio/post.hpp>

#include <utility>

namespace cyclamenlatch::maintenance {

EntryRegistrar::EntryRegistrar(asio::io_context &context, EntryRecord self,
                               store::StoreClient &store, Listener listener,
                               std::function<void()> onFailedTry)
    : m_strand(asio::make_strand(context))
    , m_self(std::move(self))
    , m_store(store)
    , m_listener(std::move(listener))
    , m_onFailedTry(std::move(onFailedTry))
    , m_retryTimer(m_strand)
    , m_waitTimer(m_strand)
{}

void EntryRegistrar::start()
{
    asio::post(m_strand, [this] {
        m_waitTimer.expires_after(longestWait);
        m_waitTimer.async_wait([this](const asio::error_code &error) {
            if (!error && !m_stopped && !m_told) {
                logEvent(entryNotRecorded, "{}", m_self.entry.value());
                tell(false);
            }
        });
        tryToRecord();
    });
}

void EntryRegistrar::leave(std::function<void()> completion)
{
    asio::post(m_strand, [this, completion = std::move(completion)] {
        m_stopped = true;
        write(EntryPresence::Left, [completion](bool) { completion(); });
    });
}

void EntryRegistrar::stop()
{
    asio::post(m_strand, [this] {
        m_stopped = true;
        m_retryTimer.cancel();
        m_waitTimer.cancel();
    });
}

void EntryRegistrar::tryToRecord()
{
    write(EntryPresence::Present, [this](bool written) {
        if (m_stopped) {
            return;
        }
        if (written) {
            return tell(true);
        }
        m_onFailedTry();
        m_retryTimer.expires_after(retryInterval);
        m_retryTimer.async_wait([this](const asio::error_code &error) {
            if (!error && !m_stopped) {
                tryToRecord();
            }
        });
    });
}

// A write after this one's answer was lost is no harm: it says the same.
void EntryRegistrar::write(EntryPresence presence, Written written)
{
    const auto done = [this, written = std::move(written)](bool good) {
        asio::post(m_strand, [written, good] { written(good); });
    };
    const auto key = entryKey(m_self.entry);
    m_store.get(
            key, [this, key, presence, done](const Result<std::optional<store::StoreItem>> &found) {
                if (!found) {
                    return done(false);
                }
                const auto &item = found.value();
                auto record = m_self;
                record.presence = presence;
                record.since = wallNow().time_since_epoch().count();
                if (item && presence == EntryPresence::Left) {
                    const auto known = readEntryRecord(item->value);
                    // A process that was started meanwhile speaks for itself.
                    if (known && known.value().incarnation != record.incarnation) {
                        return done(false);
                    }
                }
                m_store.compareAndSwap({key, writeRecord(record), item ? item->revision : 0, ""},
                                       [done](const Result<store::StoreRevision> &result) {
                                           done(result.has_value());
                                       });
            });
}

void EntryRegistrar::tell(bool isRecorded)
{
    m_waitTimer.cancel();
    if (!m_told) {
        m_told = true;
        m_listener(isRecorded);
    }
}

} // namespace cyclamenlatch::maintenance
