// Encodes and decodes records; a record that can't be decoded is an error, never an exception.
#include "control/records.h"

#include "membership/boundedinputarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <fmt/format.h>

#include <charconv>
#include <sstream>

namespace cyclamenlatch::scheduling {

// NOLINTBEGIN(readability-identifier-naming): cereal looks for these names.
template<typename Archive>
void serialize(Archive &archive, Resources &resources)
{
    archive(resources.processors, resources.memoryMib, resources.accelerators);
}

template<typename Archive>
void save(Archive &archive, const StepSpec &step)
{
    archive(step.count, step.requiredResources, std::int64_t{step.estimate.count()}, step.after,
            step.savesCheckpoints, step.isGang, step.prefersSingleRack, step.allowsCopies,
            step.isLongRunning, step.usesSpareProcessors, step.requiredLabel, step.dataRack,
            step.image, step.maxTasksPerTarget, std::int64_t{step.tailLatencyBound.count()},
            step.maxUnavailable);
}

template<typename Archive>
void load(Archive &archive, StepSpec &step)
{
    std::int64_t estimate = 0;
    std::int64_t tailLatencyBound = 0;
    archive(step.count, step.requiredResources, estimate, step.after, step.savesCheckpoints,
            step.isGang, step.prefersSingleRack, step.allowsCopies, step.isLongRunning,
            step.usesSpareProcessors, step.requiredLabel, step.dataRack, step.image,
            step.maxTasksPerTarget, tailLatencyBound, step.maxUnavailable);
    step.estimate = std::chrono::milliseconds(estimate);
    step.tailLatencyBound = std::chrono::milliseconds(tailLatencyBound);
}

template<typename Archive>
void serialize(Archive &archive, AdviceRule &advice)
{
    archive(advice.decision, advice.perTarget, advice.validity);
}

template<typename Archive>
void save(Archive &archive, const QueueLimits &limits)
{
    archive(limits.priority, limits.maxAttempts, limits.slackFactor, limits.targetLatency,
            limits.advice.has_value(), limits.advice.value_or(AdviceRule{}));
}

template<typename Archive>
void load(Archive &archive, QueueLimits &limits)
{
    bool needsAdvice = false;
    AdviceRule advice;
    archive(limits.priority, limits.maxAttempts, limits.slackFactor, limits.targetLatency,
            needsAdvice, advice);
    limits.advice = needsAdvice ? std::optional(advice) : std::nullopt;
}

template<typename Archive>
void serialize(Archive &archive, WorkspaceLimits &limits)
{
    archive(limits.weight, limits.cap);
}

template<typename Archive>
void serialize(Archive &archive, JobLimits &limits)
{
    archive(limits.version, limits.queue, limits.workspace);
}

// The limits come last: entries that do not know them read the rest of the record.
template<typename Archive>
void save(Archive &archive, const JobSubmission &job)
{
    archive(job.id, job.queue, job.service, job.workspace,
            std::int64_t{job.submitted.time_since_epoch().count()}, job.spec.text, job.spec.steps,
            job.spec.repeatCount, std::int64_t{job.spec.firstDue.time_since_epoch().count()},
            std::int64_t{job.spec.interval.count()});
    if (job.limits) {
        archive(*job.limits);
    }
}

template<typename Archive>
void load(Archive &archive, JobSubmission &job)
{
    std::int64_t submitted = 0;
    std::int64_t firstDue = 0;
    std::int64_t interval = 0;
    archive(job.id, job.queue, job.service, job.workspace, submitted, job.spec.text, job.spec.steps,
            job.spec.repeatCount, firstDue, interval);
    job.submitted = WallTime(std::chrono::milliseconds(submitted));
    job.spec.firstDue = WallTime(std::chrono::milliseconds(firstDue));
    job.spec.interval = std::chrono::milliseconds(interval);
    if (archive.remainingBytes() > 0) {
        archive(job.limits.emplace());
    }
}

template<typename Archive>
void serialize(Archive &archive, StepProgress &progress)
{
    archive(progress.done, progress.failedAttempts, progress.checkpoints);
}

template<typename Archive>
void serialize(Archive &archive, RunTimeHistory::Record &record)
{
    archive(record.kind, record.ratios, record.times);
}

template<typename Archive>
void save(Archive &archive, const JobProgress &progress)
{
    archive(progress.phase, progress.targets, progress.steps);
    if (!progress.doneOccurrences.empty()) {
        archive(progress.doneOccurrences);
    }
}

template<typename Archive>
void load(Archive &archive, JobProgress &progress)
{
    archive(progress.phase, progress.targets, progress.steps);
    if (archive.remainingBytes() > 0) {
        archive(progress.doneOccurrences);
    }
}
// NOLINTEND(readability-identifier-naming)

} // namespace cyclamenlatch::scheduling

namespace cyclamenlatch::control {

// NOLINTBEGIN(readability-identifier-naming): cereal looks for these names.
template<typename Archive>
void save(Archive &archive, const OrderedTargets &targets)
{
    archive(targets.ids, targets.settled);
}

// Entries of earlier versions write the ids alone, and read no more than them.
template<typename Archive>
void load(Archive &archive, OrderedTargets &targets)
{
    archive(targets.ids);
    if (archive.remainingBytes() > 0) {
        archive(targets.settled);
    }
}
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr std::uint8_t recordVersion = 2;

template<typename Value>
std::string encode(const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(recordVersion, value);
    }
    return stream.str();
}

template<typename Value>
Result<Value> decode(const std::string &record)
{
    try {
        membership::BoundedInputArchive archive(record);
        std::uint8_t version = 0;
        Value value;
        archive(version);
        if (version == recordVersion) {
            archive(value);
            return value;
        }
    } catch (const std::exception &) {
        // A truncated record is reported below, like one of another version.
    }
    return failure(ErrorKind::InvalidInput,
                   "a record in the store is corrupt or of another version",
                   "remove the record, or run the version that wrote it");
}

} // namespace

std::string encodeSubmission(const scheduling::JobSubmission &submission)
{
    return encode(submission);
}

Result<scheduling::JobSubmission> decodeSubmission(const std::string &record)
{
    return decode<scheduling::JobSubmission>(record);
}

std::string encodeProgress(const scheduling::JobProgress &progress)
{
    return encode(progress);
}

Result<scheduling::JobProgress> decodeProgress(const std::string &record)
{
    return decode<scheduling::JobProgress>(record);
}

std::string encodeCounts(const std::map<std::string, std::size_t> &counts)
{
    return encode(std::map<std::string, std::uint64_t>(counts.begin(), counts.end()));
}

Result<std::map<std::string, std::size_t>> decodeCounts(const std::string &record)
{
    BOOST_OUTCOME_TRY(counts, (decode<std::map<std::string, std::uint64_t>>(record)));
    return std::map<std::string, std::size_t>(counts.begin(), counts.end());
}

std::string encodeWave(const WaveRecord &wave)
{
    return encode(std::pair(std::int64_t{wave.began.time_since_epoch().count()}, wave.done));
}

Result<WaveRecord> decodeWave(const std::string &record)
{
    BOOST_OUTCOME_TRY(pair, (decode<std::pair<std::int64_t, std::vector<std::string>>>(record)));
    return WaveRecord{WallTime(std::chrono::milliseconds(pair.first)), std::move(pair.second)};
}

std::string encodeTerm(const TermRecord &record)
{
    return fmt::format("{} {}", record.lastToken, record.term);
}

TermRecord decodeTerm(const std::string &record)
{
    TermRecord read;
    const char *end = record.data() + record.size();
    const auto [token, error] = std::from_chars(record.data(), end, read.lastToken);
    read.term = read.lastToken;
    if (error == std::errc{} && token != end && *token == ' ') {
        std::from_chars(token + 1, end, read.term);
    }
    return read;
}

std::string encodeOrderedTargets(const OrderedTargets &targets)
{
    return encode(targets);
}

Result<OrderedTargets> decodeOrderedTargets(const std::string &record)
{
    return decode<OrderedTargets>(record);
}

std::string encodeRunTimes(const std::vector<scheduling::RunTimeHistory::Record> &records)
{
    return encode(records);
}

Result<std::vector<scheduling::RunTimeHistory::Record>> decodeRunTimes(const std::string &record)
{
    return decode<std::vector<scheduling::RunTimeHistory::Record>>(record);
}

std::string encodeIds(const std::vector<std::string> &ids)
{
    return encode(ids);
}

Result<std::vector<std::string>> decodeIds(const std::string &record)
{
    return decode<std::vector<std::string>>(record);
}

} // namespace cyclamenlatch::control
