// Paces digests and picks rows in turn.
#include "dispatch/loadsender.h"

#include "dispatch/namehash.h"

#include <algorithm>
#include <limits>

namespace cyclamenlatch::dispatch {

namespace {

// A demand that has changed by less than this part, or by less than this count, can wait.
constexpr double negligibleChange = 0.25;
constexpr double negligibleCount = 2;

LoadRow makeRow(const LoadKey &key, const LoadValue &value)
{
    constexpr unsigned most = std::numeric_limits<std::uint16_t>::max();
    LoadRow row;
    row.queue = nameHash(key.queue.value());
    row.workspace = nameHash(key.workspace.value());
    row.demand = static_cast<std::uint16_t>(std::min(value.demand, most));
    return row;
}

} // namespace

LoadSender::LoadSender(LoadSenderSettings settings)
    : m_settings(settings)
{}

std::optional<LoadDigest> LoadSender::next(const EntryLoad &load, std::size_t peers, TimePoint now)
{
    if (peers == 0 || now < m_nextAt) {
        return std::nullopt;
    }
    LoadDigest digest;
    addEnded(load, digest);
    const auto begin = load.upper_bound(m_turn);
    addRows(begin, load.end(), now, digest);
    addRows(load.begin(), begin, now, digest);
    if (digest.rows.empty() && m_sentAt && now < *m_sentAt + m_settings.longestGap) {
        return std::nullopt;
    }
    const auto bytes = m_settings.envelopeBytes + m_settings.rowBytes * digest.rows.size();
    const Duration inAll = std::chrono::seconds(bytes * peers);
    const Duration gap = inAll / m_settings.bytesPerSecond;
    m_sentAt = now;
    m_nextAt = now + std::max(m_settings.shortestGap, gap);
    return digest;
}

// Rows of which nothing is left are told once; peers let them expire if that gets lost.
void LoadSender::addEnded(const EntryLoad &load, LoadDigest &digest)
{
    for (auto told = m_told.begin(); told != m_told.end();) {
        if (load.contains(told->first) || digest.rows.size() >= m_settings.rowsPerDigest) {
            ++told;
            continue;
        }
        digest.rows.push_back(makeRow(told->first, {}));
        told = m_told.erase(told);
    }
}

void LoadSender::addRows(EntryLoad::const_iterator begin, EntryLoad::const_iterator end,
                         TimePoint now, LoadDigest &digest)
{
    for (auto item = begin; item != end; ++item) {
        if (digest.rows.size() >= m_settings.rowsPerDigest) {
            return;
        }
        const auto &[key, value] = *item;
        const auto told = m_told.find(key);
        if (!isDue(value, told == m_told.end() ? nullptr : &told->second, now)) {
            continue;
        }
        digest.rows.push_back(makeRow(key, value));
        m_told[key] = {value, now};
        m_turn = key;
    }
}

bool LoadSender::isDue(const LoadValue &value, const Told *told, TimePoint now) const
{
    if (told == nullptr) {
        return true;
    }
    if (value.demand > 0 && now >= told->at + m_settings.refreshAfter) {
        return true;
    }
    const double before = told->value.demand;
    const double change = std::abs(value.demand - before);
    return change >= negligibleCount && change >= before * negligibleChange;
}

} // namespace cyclamenlatch::dispatch
