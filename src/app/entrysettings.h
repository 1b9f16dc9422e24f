// Settings of one entry process.
#pragma once

#include "fleet/mistake.h"
#include "global/ids.h"
#include "membership/peerbus.h"
#include "net/tlssettings.h"
#include "operatorapi/operatorkey.h"
#include "quota/hostlife.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::app {

struct ListenAddress
{
    std::string address;
    std::uint16_t port = 0;
};

struct OperatorSettings
{
    ListenAddress listen;
    std::vector<operatorapi::OperatorKey> keys;
    // Without it the interface speaks plain HTTP.
    std::optional<net::TlsSettings> tls;
};

struct EntrySettings
{
    EntryId entry;
    DataCentreId dataCentre;
    ListenAddress callers;
    // The platform's name for this entry's host and how often it had been replaced when this life
    // of it came. Without it no replaced host proves that this entry is gone.
    quota::HostLife host;
    // Where this entry meets its peers, the secret they share, and those known from the start.
    membership::PeerBusSettings peers;
    // Address of the platform's store, such as "http://127.0.0.1:7000".
    std::string platformUrl;
    // Calls per second to the store that all entries of the data centre may make together.
    double platformCallsPerSecond = 200;
    // Without it there is no operator interface.
    std::optional<OperatorSettings> operators;
    unsigned threads = 4;
    // Time that a caller has to send a whole request, or to take its answer.
    std::chrono::milliseconds callerReadTimeout{30000};
    // Time after a keyed request's own timeout until its owner counts it as unknown when the entry
    // that ran it has not reported its end.
    std::chrono::milliseconds reportGrace{5000};
    // Entries that may run at once over all data centres. The connections to each minion are
    // divided by it, so a value below the true one lets more be open than a minion takes.
    unsigned mostEntries = 8;
    // Time after SIGTERM in which requests are still taken, so that the balancer sees /readyz
    // fail and moves away.
    std::chrono::milliseconds drainDelay{1000};
    // Time that open requests have to finish after SIGTERM.
    std::chrono::milliseconds shutdownDeadline{30000};
    // No work runs longer on a minion. Units of a dead entry are freed this long after the proof
    // that it is dead, so a value below the true one lets more run than a limit.
    std::chrono::milliseconds longestWork{600000};
};

struct EntrySettingsReading
{
    // Whole only when there are no mistakes.
    EntrySettings settings;
    std::vector<fleet::Mistake> mistakes;
};

EntrySettingsReading readEntrySettings(std::string_view yaml);

} // namespace cyclamenlatch::app
