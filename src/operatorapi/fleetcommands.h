// Operators' commands on the fleet document, keys, workers and workspaces. An accepted change is
// in the store and is never taken back; the answer says where it is in force and where pending.
#pragma once

#include "configuration/configuration.h"
#include "operatorapi/operatorapi.h"

#include <functional>

namespace cyclamenlatch::operatorapi {

class FleetCommands
{
public:
    explicit FleetCommands(configuration::Configuration &configuration)
        : m_configuration(configuration)
    {}

    // Adds the routes below /v1/fleet, /v1/keys, /v1/workers, /v1/workspaces and /v1/status.
    void addRoutes(OperatorApi &api);

private:
    // Changes the document, or says why it can't.
    using Edit = std::function<Result<void>(fleet::FleetDocument &)>;

    void getFleet(const net::HttpResponder &respond) const;
    void putFleet(const OperatorRequest &request, const net::HttpResponder &respond);
    void diffFleet(const OperatorRequest &request, const net::HttpResponder &respond) const;
    void giveKey(const OperatorRequest &request, const net::HttpResponder &respond);
    void withdrawKey(const OperatorRequest &request, const net::HttpResponder &respond);
    void labelWorker(const OperatorRequest &request, const net::HttpResponder &respond);
    void listWorkspaces(const net::HttpResponder &respond) const;
    void showStatus(const net::HttpResponder &respond) const;

    // Applies the edited present document; extra fields are added to the answer.
    void edit(const Edit &change, const nlohmann::json &extra, const net::HttpResponder &respond);
    void apply(const fleet::FleetDocument &document, store::StoreRevision from,
               const nlohmann::json &extra, const net::HttpResponder &respond);
    nlohmann::json conflictBody(store::StoreRevision from, const Error &error) const;

    configuration::Configuration &m_configuration;
};

} // namespace cyclamenlatch::operatorapi
