// Lists, watches and tries again.
#include "store/storefollower.h"

#include <asio/post.hpp>

#include <utility>

namespace cyclamenlatch::store {

StoreFollower::StoreFollower(Strand strand, StoreClient &store, std::string prefix,
                             Listener listener)
    : m_strand(std::move(strand))
    , m_store(store)
    , m_prefix(std::move(prefix))
    , m_listener(std::move(listener))
    , m_timer(m_strand)
{}

void StoreFollower::start()
{
    ++m_run;
    m_stopped = false;
    m_revision = 0;
    list();
}

void StoreFollower::stop()
{
    ++m_run;
    m_stopped = true;
    m_timer.cancel();
}

void StoreFollower::list()
{
    m_store.list(m_prefix, [this, run = m_run](Result<StoreListing> listing) {
        asio::post(m_strand,
                   [this, run, listing = std::move(listing)] { take(run, true, listing); });
    });
}

void StoreFollower::watch()
{
    m_store.watch(m_prefix, m_revision, watchWait,
                  [this, run = m_run](Result<StoreListing> listing) {
                      asio::post(m_strand, [this, run, listing = std::move(listing)] {
                          take(run, false, listing);
                      });
                  });
}

void StoreFollower::take(unsigned run, bool isWhole, const Result<StoreListing> &listing)
{
    if (run != m_run || m_stopped) {
        return;
    }
    if (!listing) {
        return retry();
    }
    if (listing.value().revision >= m_revision) {
        m_revision = listing.value().revision;
        m_listener(listing.value(), isWhole);
    }
    // The listener may have stopped or begun anew.
    if (run == m_run) {
        watch();
    }
}

void StoreFollower::retry()
{
    m_timer.expires_after(retryInterval);
    m_timer.async_wait([this, run = m_run](const asio::error_code &error) {
        if (!error && run == m_run) {
            list();
        }
    });
}

} // namespace cyclamenlatch::store
