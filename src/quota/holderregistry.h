// The store's record of every holder that may have units, and of the proofs that some are gone.
// A holder registers before it takes its first unit, and a gone one's units are freed only after
// every other registered holder has closed its channels to it and told what crossed them.
#pragma once

#include "quota/hostlife.h"
#include "quota/quotaholder.h"
#include "quota/quotanode.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::quota {

// Why a holder is known never to start work again.
enum class GoneProof : std::uint8_t {
    // It said so after its work had ended.
    Left,
    // A newer life of the same entry holds the same address.
    Restarted,
    // The platform has replaced its host.
    HostReplaced,
    // An operator vouches for it.
    OperatorsWord,
};

inline constexpr NamedValue<GoneProof> goneProofEntries[] = {
        {GoneProof::Left, "left"},
        {GoneProof::Restarted, "restarted"},
        {GoneProof::HostReplaced, "host-replaced"},
        {GoneProof::OperatorsWord, "operators-word"},
};
inline constexpr NameTable goneProofNames{goneProofEntries};

struct RegisteredHolder
{
    DataCentreId dataCentre;
    // "address:port" that one process at a time can hold.
    std::string address;
    HostLife host;
    // Set once it is known never to start work again.
    std::optional<GoneProof> gone;
    // What each other holder exchanged with this gone one.
    std::map<QuotaHolder, QuotaFold> folds;
};

struct HolderRegistry
{
    std::map<QuotaHolder, RegisteredHolder> holders;

    // Adds a holder; earlier lives of its entry at the same address are gone by that.
    void enter(const QuotaHolder &holder, DataCentreId dataCentre, std::string address,
               HostLife host);
    // Returns false when the holder is not registered or already known to be gone.
    bool markGone(const QuotaHolder &holder, GoneProof proof);
    // True while the holder may use units.
    bool isActive(const QuotaHolder &holder) const;
    std::vector<QuotaHolder> gone() const;
    // Gone holders that this one has not yet closed.
    std::vector<QuotaHolder> unfoldedBy(const QuotaHolder &holder) const;
    // Every active holder has closed every gone one, so all of these can be settled together.
    bool canSettle() const;
    // The folds of all gone holders for one resource.
    std::map<QuotaHolder, std::map<QuotaHolder, std::int64_t>> foldsOf(
            const QuotaResource &resource) const;
};

std::string toJson(const HolderRegistry &registry);
// Returns nothing when the text is not a registry.
std::optional<HolderRegistry> registryFromJson(const std::string &text);

} // namespace cyclamenlatch::quota
