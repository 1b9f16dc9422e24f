// Keys of the system's own records in the platform's store.
#pragma once

#include "platform/targetcodec.h"
#include "scheduling/taskref.h"

#include <string>
#include <string_view>

namespace cyclamenlatch::control {

// Name of the owner and a nonce, attached to the owner's lease. Every write of an owner is
// conditional on this key.
inline constexpr std::string_view ownerKey = "owner";
// Highest fencing token and term of the last owner; see TermRecord.
inline constexpr std::string_view termKey = "term";
// Targets that may have runs; see OrderedTargets.
inline constexpr std::string_view orderedTargetsKey = "ordered-targets";
// Run times that owners have learned; see RunTimeHistory.
inline constexpr std::string_view runTimesKey = "run-times";
// Submissions of jobs that have not ended, one key per job.
inline constexpr std::string_view jobPrefix = "job/";
// Phase and progress of each job, kept for the retention period after its end.
inline constexpr std::string_view statePrefix = "state/";

// Ids whose cancel found no job: a submission that is carried out later does nothing. Apart from
// the states, so that many of them do not delay an owner's start. Without a lease, because leases
// may expire while the store is down and carries nothing out; see TombstoneCollector.
inline constexpr std::string_view tombstonePrefix = "tombstone/";

inline std::string jobKey(scheduling::JobNumber id)
{
    return std::string(jobPrefix) + platform::formatJobId(id);
}

inline std::string stateKey(scheduling::JobNumber id)
{
    return std::string(statePrefix) + platform::formatJobId(id);
}

inline std::string tombstoneKey(scheduling::JobNumber id)
{
    return std::string(tombstonePrefix) + platform::formatJobId(id);
}

// Progress of each wave: its start and the hosts whose maintenance was accepted.
inline constexpr std::string_view waveRecordPrefix = "wave/";

// Initial pool size of each pool, in hosts.
inline constexpr std::string_view initialPoolSizesKey = "pool-bases";

// Hosts to which an owner may have sent an order recently.
inline constexpr std::string_view orderedHostsKey = "ordered-hosts";

inline std::string waveRecordKey(std::uint64_t number)
{
    return std::string(waveRecordPrefix) + std::to_string(number);
}

// Prefix of the marks of a queue's waiting jobs; a mark is removed when its job begins.
inline std::string waitingPrefix(const std::string &queue)
{
    return "waiting/" + queue + "/";
}

inline std::string waitingKey(const std::string &queue, scheduling::JobNumber id)
{
    return waitingPrefix(queue) + platform::formatJobId(id);
}

} // namespace cyclamenlatch::control
