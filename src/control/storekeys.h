// Where the system's own records lie in the platform's store.
#pragma once

#include "platform/targetcodec.h"
#include "scheduling/taskref.h"

#include <string>
#include <string_view>

namespace cyclamenlatch::control {

// The owner's name and nonce, on the owner's lease. Every write of an owner is conditional on it.
inline constexpr std::string_view ownerKey = "owner";
// How often the ownership has changed hands.
inline constexpr std::string_view termKey = "term";
// Ids of targets that may run something.
inline constexpr std::string_view orderedTargetsKey = "ordered-targets";
// Submissions of jobs that have not ended.
inline constexpr std::string_view jobPrefix = "job/";
// Phase and progress of every job, kept for a while after its end.
inline constexpr std::string_view statePrefix = "state/";

inline std::string jobKey(scheduling::JobNumber id)
{
    return std::string(jobPrefix) + platform::formatJobId(id);
}

inline std::string stateKey(scheduling::JobNumber id)
{
    return std::string(statePrefix) + platform::formatJobId(id);
}

// Hosts of each wave whose upkeep was accepted.
inline constexpr std::string_view waveRecordPrefix = "wave/";

// Hosts that each pool began with.
inline constexpr std::string_view initialPoolSizesKey = "pool-bases";

// Hosts that an owner may have ordered lately.
inline constexpr std::string_view orderedHostsKey = "ordered-hosts";

inline std::string waveRecordKey(std::uint64_t number)
{
    return std::string(waveRecordPrefix) + std::to_string(number);
}

// Marks of a queue's jobs that have not begun.
inline std::string waitingPrefix(const std::string &queue)
{
    return "waiting/" + queue + "/";
}

inline std::string waitingKey(const std::string &queue, scheduling::JobNumber id)
{
    return waitingPrefix(queue) + platform::formatJobId(id);
}

} // namespace cyclamenlatch::control
