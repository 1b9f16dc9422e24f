// What finished runs tell about how long the next ones will take. No input or output, no clock.
//
// Runs are remembered at three levels: by image, by step of a queue, and by queue. An estimate
// starts from the declared run time and is drawn towards what each level has seen, coarse levels
// first; a level with few runs counts for little. Each level remembers its latest runs only, so
// that a kind of work that changes is learned anew within as many runs.
#pragma once

#include "global/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::scheduling {

// What is known of a run before it starts.
struct RunKind
{
    std::string_view queue;
    std::uint32_t step = 0;
    // Empty: not given.
    std::string_view image;
    // The caller's estimate; 0: none.
    std::chrono::milliseconds declared{};
};

struct RunTimeEstimate
{
    Duration median{};
    // Longer than the median where a few runs take very long; for sums of work.
    Duration mean{};
    // Nineteen of twenty runs take no longer.
    Duration high{};
    // Runs remembered at the finest level that has any; 0: the declared time stands.
    std::size_t runs = 0;
};

class RunTimeHistory
{
public:
    // Number of runs that a level remembers of each kind.
    static constexpr std::size_t maxRuns = 32;

    // maxKinds: kinds of all levels that are remembered; the least recently run are forgotten.
    explicit RunTimeHistory(std::size_t maxKinds);

    // A run that did all of its work, at full speed and beside its data.
    void addEnd(const RunKind &kind, Duration runTime);
    // A run that was cut short after this time, and would have gone on for an unknown time. It
    // counts only if it had already run for longer than is usual, as one of the longer runs that
    // are known.
    void addCut(const RunKind &kind, Duration ranFor);

    RunTimeEstimate estimate(const RunKind &kind) const;

    // Mean absolute errors of the learned and the declared run times of a queue, as natural
    // logarithms of the ratio to the real ones: 0.7 is a factor of two. Older runs count less.
    struct Accuracy
    {
        double learnedError = 0;
        double declaredError = 0;
        std::uint64_t runs = 0;
    };
    const std::map<std::string, Accuracy> &accuracy() const { return m_accuracy; }

    // For a later owner. Each value is a hundred times a natural logarithm.
    struct Record
    {
        std::string kind;
        // Of the ratio of the real to the declared run time; empty where none was declared.
        std::vector<std::int16_t> ratios;
        // Of the run time in seconds, in the order of the runs.
        std::vector<std::int16_t> times;

        bool operator==(const Record &) const = default;
    };
    // The most recently run kinds first, this many at most.
    std::vector<Record> records(std::size_t maxRecords) const;
    // Adds the kinds that are not known yet. A record that can't be one of records() is left out.
    void restore(const std::vector<Record> &records);
    // Runs added since the creation; tells whether records() has changed.
    std::uint64_t runsAdded() const { return m_runsAdded; }

private:
    // Natural logarithms of the latest values, and their distribution.
    struct Samples
    {
        std::vector<double> values;
        std::size_t next = 0;
        double median = 0;
        double logOfMean = 0;
        double high = 0;
        // Mean absolute distance from the median.
        double spread = 0;

        void add(double value);
        void summarize();
    };
    struct Kind
    {
        std::string name;
        Samples ratios;
        Samples times;
    };
    using Kinds = std::list<Kind>;

    const Kind *find(const std::string &name) const;
    Kind &touch(const std::string &name);
    void forgetOldKinds();
    void add(const RunKind &kind, double seconds);
    static std::vector<std::string> levels(const RunKind &kind);

    const std::size_t m_maxKinds;
    // The most recently run first.
    Kinds m_kinds;
    std::unordered_map<std::string, Kinds::iterator> m_kindByName;
    std::map<std::string, Accuracy> m_accuracy;
    std::uint64_t m_runsAdded = 0;
};

} // namespace cyclamenlatch::scheduling
