// Checks a presented key against the fleet document.
#include "admission/admission.h"

#include "admission/keysecret.h"

#include <algorithm>

namespace cyclamenlatch::admission {

namespace {

boost::outcome_v2::failure_type<Error> keyRefused()
{
    return failure(ErrorKind::Unauthorized, "the key is missing, wrong or withdrawn",
                   "send \"Authorization: Bearer <key>\" with a key that an operator gave you");
}

const fleet::Key *findKey(const fleet::FleetDocument &fleet, const KeyId &id)
{
    const auto found = std::find_if(fleet.keys.begin(), fleet.keys.end(),
                                    [&id](const fleet::Key &key) { return key.id == id; });
    return found == fleet.keys.end() ? nullptr : &*found;
}

} // namespace

Result<WorkspaceId> admit(const fleet::FleetDocument &fleet, const fleet::Queue &queue,
                          std::string_view presentedKey)
{
    if (presentedKey.empty() && queue.open) {
        return WorkspaceId();
    }
    const auto presented = parseKey(presentedKey);
    if (!presented) {
        return keyRefused();
    }
    static const std::string absentHash = hashSecret("no key has this hash");
    const auto *key = findKey(fleet, presented->id);
    const auto &stored = key == nullptr ? absentHash : key->hash;
    const bool equal = hashesEqual(hashSecret(presented->secret), stored);
    if (key == nullptr || !equal) {
        return keyRefused();
    }
    return key->workspace;
}

} // namespace cyclamenlatch::admission
