// Carries messages between entries in virtual time: cuts, losses, repeats, delays, and so
// reordering.
#pragma once

#include "configuration/configmessage.h"
#include "dispatch/outcomemessage.h"
#include "global/ids.h"
#include "global/random.h"
#include "global/time.h"
#include "maintenance/maintenancemessages.h"
#include "quota/quotamessage.h"
#include "tests/scenarios/scenario.h"

#include <list>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace cyclamenlatch::scenarios {

using Body = std::variant<quota::QuotaMessage, configuration::ConfigMessage,
                          dispatch::OutcomeMessage, maintenance::MaintenanceMessage>;

struct Envelope
{
    EntryId from;
    DataCentreId fromDataCentre;
    std::uint64_t incarnation = 0;
    EntryId to;
    DataCentreId toDataCentre;
    Body body;
    TimePoint due;
};

class VirtualNetwork
{
public:
    // The place of the platform's store in cuts.
    inline static const std::string platformPlace = "platform";

    void cut(const std::string &from, const std::string &to, bool oneWay)
    {
        m_cuts.insert({from, to});
        if (!oneWay) {
            m_cuts.insert({to, from});
        }
    }
    void heal() { m_cuts.clear(); }
    void setQuality(NetworkStep quality) { m_quality = quality; }

    bool losesNothing() const { return m_quality.lossPercent == 0; }

    bool carries(const std::string &from, const std::string &to) const
    {
        return from == to || !m_cuts.contains({from, to});
    }

    void send(Envelope envelope, TimePoint now, Random &random)
    {
        if (uniformBelow(random, 100) < m_quality.lossPercent) {
            return;
        }
        const bool repeat = uniformBelow(random, 100) < m_quality.repeatPercent;
        for (int copy = repeat ? 2 : 1; copy > 0; --copy) {
            envelope.due = now + delay(random);
            m_envelopes.push_back(envelope);
        }
    }

    // Takes out what has arrived. What meets a cut on arrival is lost.
    std::vector<Envelope> arrivals(TimePoint now)
    {
        std::vector<Envelope> arrived;
        for (auto envelope = m_envelopes.begin(); envelope != m_envelopes.end();) {
            if (envelope->due > now) {
                ++envelope;
                continue;
            }
            if (carries(envelope->fromDataCentre.value(), envelope->toDataCentre.value())) {
                arrived.push_back(std::move(*envelope));
            }
            envelope = m_envelopes.erase(envelope);
        }
        return arrived;
    }

    // Keeps a message for a process that is paused.
    void keep(Envelope envelope) { m_envelopes.push_back(std::move(envelope)); }

private:
    Duration delay(Random &random) const
    {
        const auto most = toMilliseconds(m_quality.maxDelay).count();
        return std::chrono::milliseconds(
                uniformBelow(random, static_cast<std::uint32_t>(most) + 1));
    }

    NetworkStep m_quality;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::list<Envelope> m_envelopes;
};

} // namespace cyclamenlatch::scenarios
