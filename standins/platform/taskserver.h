// HTTP face of the stand-in platform's tasks. POST /task-control sets faults, GET /task-control
// answers with the ledger.
// Lock order: m_mutex is the only lock and is never held while a reply is sent.
#pragma once

#include "net/httpserver.h"
#include "standins/platform/taskmodel.h"

#include <list>
#include <mutex>

namespace cyclamenlatch::standins {

class TaskServer
{
public:
    // Returns whether the request is about tasks; it then owns the responder.
    bool handle(const net::HttpRequest &request, net::HttpResponder &respond);
    // Lets time pass and answers the waiting calls that are due.
    void tick();

private:
    struct PendingChanges
    {
        store::TaskRevision after = 0;
        TimePoint expiry;
        net::HttpResponder respond;
    };

    net::HttpReply answer(const net::HttpRequest &request);
    net::HttpReply answerControl(const net::HttpRequest &request);
    void startChanges(const net::HttpRequest &request, net::HttpResponder respond);

    std::mutex m_mutex;
    // All below are guarded by m_mutex.
    TaskModel m_tasks;
    std::list<PendingChanges> m_pending;
    bool m_outage = false;
    // The next answers to starts and commands are lost after they took effect.
    unsigned m_loseAnswers = 0;
    std::uint64_t m_calls = 0;
};

} // namespace cyclamenlatch::standins
