// One entry process: composes the modules and runs until it is told to stop.
#pragma once

#include "admission/keygate.h"
#include "app/entrysettings.h"
#include "app/internal/fleetkeeping.h"
#include "app/jobservice.h"
#include "app/outcomewatch.h"
#include "callerapi/callerapi.h"
#include "configuration/configuration.h"
#include "dispatch/dispatcher.h"
#include "dispatch/loadexchange.h"
#include "dispatch/outcomeservice.h"
#include "global/result.h"
#include "membership/membership.h"
#include "membership/peerbus.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/workerthreads.h"
#include "operatorapi/fleetcommands.h"
#include "operatorapi/operatorapi.h"
#include "quota/hostwatch.h"
#include "quota/limitsurvey.h"
#include "quota/quotatable.h"
#include "quota/quotatrader.h"
#include "report/reportservice.h"
#include "store/hostclient.h"
#include "store/storeclient.h"

#include <atomic>
#include <memory>

namespace cyclamenlatch::app {

class Entry
{
public:
    explicit Entry(EntrySettings settings);

    Result<void> start();
    // Stops gracefully: unready, finish what is in flight, close.
    void stop();

private:
    void takeFleet(const configuration::FleetRevision &revision);
    // Takes the document with each worker in the pool that it is really in.
    void useFleet(const std::shared_ptr<const fleet::FleetDocument> &fleet);

    EntrySettings m_settings;
    net::WorkerThreads m_threads;
    std::atomic<bool> m_stopping = false;
    membership::PeerBus m_peers;
    membership::Membership m_membership;
    quota::QuotaTable m_quotas;
    dispatch::Dispatcher m_dispatcher;
    dispatch::LoadExchange m_loadExchange;
    dispatch::OutcomeService m_outcomes;
    report::ReportService m_report;
    OutcomeWatch m_outcomeWatch;
    callerapi::CallerApi m_callerApi;
    net::HttpServer m_callerServer;
    operatorapi::OperatorApi m_operatorApi;
    // Absent when the settings name no operator interface.
    std::unique_ptr<net::HttpServer> m_operatorServer;
    store::StoreClient m_store;
    quota::QuotaTrader m_quotaTrader;
    quota::LimitSurvey m_limitSurvey;
    store::HostClient m_hosts;
    quota::HostWatch m_hostWatch;
    admission::KeyGate m_keyGate;
    detail::FleetKeeping m_fleetKeeping;
    configuration::Configuration m_configuration;
    operatorapi::FleetCommands m_fleetCommands;
    JobService m_jobs;
    // Declared last, so that their completions end before what they use does.
    net::HttpClient m_minionHttp;
    net::HttpClient m_platformHttp;
};

} // namespace cyclamenlatch::app
