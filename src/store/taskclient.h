// Client of the platform's tasks (docs/platform-protocol.md). Every completion runs on the HTTP
// client's own thread. All calls are idempotent: repeat one whose answer was lost.
#pragma once

#include "global/result.h"
#include "net/httpclient.h"
#include "store/taskcommand.h"
#include "store/taskstart.h"
#include "store/taskstatus.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenlatch::store {

class TaskClient
{
public:
    using Completion = std::function<void(Result<void>)>;
    using ListCompletion = std::function<void(Result<TaskListing>)>;

    TaskClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout);

    void start(const TaskStart &start, Completion completion);
    // One call for any number of tasks, so that a wave of cancellations costs few.
    void command(TaskCommand command, const std::vector<std::string> &tasks, Completion completion);
    // Answers with the tasks changed after the revision, or with none after wait.
    void changes(TaskRevision after, std::chrono::milliseconds wait, ListCompletion completion);

private:
    net::HttpClient &m_http;
    std::string m_url;
    std::chrono::milliseconds m_timeout;
};

} // namespace cyclamenlatch::store
