// Encoding of the system's records in the store: a version, then cereal's portable binary format.
// Decoding a truncated record or one of another version returns an error.
#pragma once

#include "global/result.h"
#include "scheduling/jobrecord.h"
#include "scheduling/runtimehistory.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::control {

std::string encodeSubmission(const scheduling::JobSubmission &submission);
Result<scheduling::JobSubmission> decodeSubmission(const std::string &record);
std::string encodeProgress(const scheduling::JobProgress &progress);
Result<scheduling::JobProgress> decodeProgress(const std::string &record);
std::string encodeCounts(const std::map<std::string, std::size_t> &counts);
Result<std::map<std::string, std::size_t>> decodeCounts(const std::string &record);

// Progress of a maintenance wave.
struct WaveRecord
{
    // When an owner first saw the wave.
    WallTime began{};
    // Hosts whose maintenance the platform has accepted.
    std::vector<std::string> done;
};

std::string encodeWave(const WaveRecord &wave);
Result<WaveRecord> decodeWave(const std::string &record);

// The last ownership, as two decimal numbers. An entry of an earlier version reads and writes one
// number, which was term and fencing token at once, so the token comes first: whichever version
// owns next, its tokens and its term are higher.
struct TermRecord
{
    // The highest token that the owner may use.
    std::uint64_t lastToken = 0;
    std::uint64_t term = 0;
};

std::string encodeTerm(const TermRecord &record);
// A record that can't be read gives zeros.
TermRecord decodeTerm(const std::string &record);

// What a later owner has to know of the targets that may have runs.
struct OrderedTargets
{
    std::vector<std::string> ids;
    // See OwnerCore::settledIncarnations.
    std::map<std::string, std::int64_t> settled;

    bool operator==(const OrderedTargets &) const = default;
};

std::string encodeOrderedTargets(const OrderedTargets &targets);
Result<OrderedTargets> decodeOrderedTargets(const std::string &record);
// The run times that an owner has learned.
std::string encodeRunTimes(const std::vector<scheduling::RunTimeHistory::Record> &records);
Result<std::vector<scheduling::RunTimeHistory::Record>> decodeRunTimes(const std::string &record);
std::string encodeIds(const std::vector<std::string> &ids);
Result<std::vector<std::string>> decodeIds(const std::string &record);

} // namespace cyclamenlatch::control
