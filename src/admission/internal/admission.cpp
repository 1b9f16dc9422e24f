// Checks a presented key against the fleet document.
#include "admission/admission.h"

#include "admission/keysecret.h"

namespace cyclamenlatch::admission {

namespace {

boost::outcome_v2::failure_type<Error> keyRefused()
{
    return failure(ErrorKind::Unauthorized, "the key is missing, wrong or withdrawn",
                   "send \"Authorization: Bearer <key>\" with a key that an operator gave you");
}

boost::outcome_v2::failure_type<Error> evidenceStale()
{
    return failure(ErrorKind::Unavailable,
                   "this data centre is cut off and can't tell whether the key was withdrawn",
                   "try an entry in another data centre, or again after the delay in Retry-After; "
                   "operators may set serveWhenIsolated for the workspace");
}

} // namespace

Result<WorkspaceId> admit(const fleet::FleetDocument &fleet, const fleet::Queue &queue,
                          std::string_view presentedKey, const KeyGate *gate)
{
    if (presentedKey.empty() && queue.open) {
        return WorkspaceId();
    }
    const auto presented = parseKey(presentedKey);
    if (!presented) {
        return keyRefused();
    }
    static const std::string absentHash = hashSecret("no key has this hash");
    const auto *key = fleet.findKey(presented->id);
    const auto &stored = key == nullptr ? absentHash : key->hash;
    const bool equal = hashesEqual(hashSecret(presented->secret), stored);
    if (key == nullptr || !equal) {
        return keyRefused();
    }
    if (gate == nullptr) {
        return key->workspace;
    }
    if (gate->isWithdrawn(key->id)) {
        return keyRefused();
    }
    const auto *workspace = fleet.findWorkspace(key->workspace);
    const bool mayServeIsolated = workspace != nullptr && workspace->serveWhenIsolated;
    if (!mayServeIsolated && !gate->isFresh(steadyNow())) {
        return evidenceStale();
    }
    return key->workspace;
}

Result<QueueAdmission> admitTo(const fleet::FleetDocument &fleet, const QueueId &queue,
                               std::string_view presentedKey, const KeyGate *gate)
{
    static const fleet::Queue closedQueue;
    const auto *found = fleet.findQueue(queue);
    const auto &entered = found == nullptr ? closedQueue : *found;
    BOOST_OUTCOME_TRY(workspace, admit(fleet, entered, presentedKey, gate));
    if (found == nullptr) {
        return failure(ErrorKind::NotFound, "the queue does not exist",
                       "check the queue's name in the address");
    }
    return QueueAdmission{found, workspace};
}

} // namespace cyclamenlatch::admission
