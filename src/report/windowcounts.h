// Counts of good and bad outcomes over one sliding window, in a ring of buckets. Precise to one
// bucket: a twelfth of the window.
#pragma once

#include "global/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenlatch::report {

struct OutcomeCounts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    OutcomeCounts &operator+=(const OutcomeCounts &other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
    bool operator==(const OutcomeCounts &) const = default;

    std::uint64_t total() const { return good + bad; }
    // Share of bad outcomes; 0 without any.
    double badRatio() const
    {
        return total() == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(total());
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(good, bad);
    }
};

class WindowCounts
{
public:
    static constexpr std::size_t bucketCount = 12;

    // Times before the newest one that was added count for the newest.
    void add(const OutcomeCounts &counts, std::chrono::milliseconds window, WallTime now)
    {
        advance(window, now);
        m_buckets[slotOf(m_newest)] += counts;
    }

    OutcomeCounts sum(std::chrono::milliseconds window, WallTime now) const
    {
        const auto current = bucketOf(window, now);
        OutcomeCounts sum;
        for (std::size_t age = 0; age < bucketCount; ++age) {
            const auto bucket = m_newest - static_cast<std::int64_t>(age);
            if (bucket >= 0 && bucket + static_cast<std::int64_t>(bucketCount) > current) {
                sum += m_buckets[slotOf(bucket)];
            }
        }
        return sum;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_newest);
        for (auto &bucket : m_buckets) {
            archive(bucket);
        }
    }

private:
    static std::int64_t bucketOf(std::chrono::milliseconds window, WallTime now)
    {
        return now.time_since_epoch() / (window / static_cast<std::int64_t>(bucketCount));
    }
    static std::size_t slotOf(std::int64_t bucket)
    {
        return static_cast<std::size_t>(bucket % static_cast<std::int64_t>(bucketCount));
    }

    void advance(std::chrono::milliseconds window, WallTime now)
    {
        const auto current = bucketOf(window, now);
        if (current - m_newest >= static_cast<std::int64_t>(bucketCount)) {
            m_buckets = {};
            m_newest = current;
        }
        while (m_newest < current) {
            m_buckets[slotOf(++m_newest)] = {};
        }
    }

    // Number of the newest bucket since the epoch. Invariant: slots hold the buckets
    // (m_newest - bucketCount, m_newest].
    std::int64_t m_newest = 0;
    std::array<OutcomeCounts, bucketCount> m_buckets{};
};

} // namespace cyclamenlatch::report
