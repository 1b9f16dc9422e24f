// Merges outcomes by the growth of each source's totals.
#include "report/burntable.h"

#include <algorithm>

namespace cyclamenlatch::report {

namespace {

// What the totals grew by; nothing when they are older than those seen.
OutcomeCounts growth(const OutcomeCounts &newer, const OutcomeCounts &seen)
{
    if (newer.good < seen.good || newer.bad < seen.bad) {
        return {};
    }
    return {newer.good - seen.good, newer.bad - seen.bad};
}

} // namespace

void BurnTable::add(Rings &rings, const OutcomeCounts &counts, WallTime now)
{
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        rings[window].add(counts, burnWindows[window].length, now);
    }
}

void BurnTable::record(const BurnKey &key, bool good, WallTime now)
{
    const OutcomeCounts one{good ? 1U : 0U, good ? 0U : 1U};
    m_own[key] += one;
    add(m_rings[key], one, now);
}

void BurnTable::noteDigest(const BurnDigest &digest, WallTime now)
{
    if (digest.source == m_self) {
        return;
    }
    auto &source = m_sources[digest.source];
    source.lastDigest = std::max(source.lastDigest, now);
    for (const auto &total : digest.totals) {
        auto &seen = source.seen[total.key];
        const auto grown = growth(total.counts, seen);
        if (grown.total() > 0) {
            add(m_rings[total.key], grown, now);
            seen += grown;
        }
    }
}

BurnDigest BurnTable::makeDigest(bool all)
{
    BurnDigest digest{m_self, {}};
    for (const auto &[key, counts] : m_own) {
        auto &told = m_told[key];
        if (all || told != counts) {
            digest.totals.push_back({key, counts});
            told = counts;
        }
    }
    return digest;
}

std::vector<BurnSnapshot> BurnTable::makeSnapshots(std::size_t maxRows) const
{
    std::vector<BurnSnapshot> snapshots;
    for (const auto &[key, rings] : m_rings) {
        if (snapshots.empty() || snapshots.back().rows.size() >= maxRows) {
            snapshots.emplace_back();
        }
        auto &snapshot = snapshots.back();
        snapshot.rows.push_back({key, rings});
        const auto own = m_own.find(key);
        if (own != m_own.end()) {
            snapshot.sources.push_back({m_self, {key, own->second}});
        }
        for (const auto &[id, source] : m_sources) {
            const auto seen = source.seen.find(key);
            if (seen != source.seen.end()) {
                snapshot.sources.push_back({id, {key, seen->second}});
            }
        }
    }
    return snapshots;
}

void BurnTable::noteSnapshot(const BurnSnapshot &snapshot, WallTime now)
{
    for (const auto &row : snapshot.rows) {
        // The windows of a key that others have told of already would count twice.
        const bool known =
                std::any_of(m_sources.begin(), m_sources.end(), [&row](const auto &item) {
                    return item.second.seen.contains(row.key);
                });
        if (known) {
            continue;
        }
        auto rings = row.windows;
        const auto own = m_own.find(row.key);
        if (own != m_own.end()) {
            add(rings, own->second, now);
        }
        m_rings[row.key] = rings;
        for (const auto &part : snapshot.sources) {
            if (part.total.key == row.key && part.source != m_self) {
                m_sources[part.source].seen[row.key] = part.total.counts;
            }
        }
    }
}

std::map<BurnKey, BurnWindows> BurnTable::windows(WallTime now) const
{
    std::map<BurnKey, BurnWindows> result;
    for (const auto &[key, rings] : m_rings) {
        auto &windows = result[key];
        for (std::size_t window = 0; window < burnWindows.size(); ++window) {
            windows.counts[window] = rings[window].sum(burnWindows[window].length, now);
        }
    }
    return result;
}

std::vector<SourceAge> BurnTable::sourceAges(WallTime now) const
{
    std::vector<SourceAge> ages;
    for (const auto &[id, source] : m_sources) {
        const bool replaced =
                std::any_of(m_sources.begin(), m_sources.end(), [&id = id](const auto &other) {
                    return other.first.entry == id.entry
                           && other.first.incarnation > id.incarnation;
                });
        ages.push_back({id, now - source.lastDigest, replaced});
    }
    std::sort(ages.begin(), ages.end(), [](const SourceAge &left, const SourceAge &right) {
        return left.sinceDigest > right.sinceDigest;
    });
    return ages;
}

} // namespace cyclamenlatch::report
